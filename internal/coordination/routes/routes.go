// Package routes defines the routing configuration and finds the route of a request.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

// Kind determines whether the requests of a route may be sent again, and whether their
// responses are streams.
type Kind uint8

// Kinds of routes.
const (
	Idempotent Kind = iota
	NonIdempotent
	Stream
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	default:
		return "stream"
	}
}

// Target is a service that receives a share of a route's requests, in proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Route defines to which services the requests for a host and path prefix are sent, and the
// limits and latency objectives of these requests.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable is set if a broken stream may continue at another upstream after its last
	// complete event.
	Resumable bool
	Timeout   time.Duration // maximum time from the arrival of a request to its response
	Goal      time.Duration // latency objective for the response; of a stream, for its first event
	GapGoal   time.Duration // latency objective for the pauses between the events of a stream
	Rank      int           // 0 is the most urgent
	Attempts  int           // maximum number of upstreams that may run one request
	Targets   []Target
	Public    bool // requests carry no API key although the configuration has client accounts
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns one of the route's services, in proportion to the weights, or "" if all weights
// are zero. The draw is a number in [0, 1); an equal draw picks the same service.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is a base model of a service.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	LoadTime  time.Duration // time to load the weights from the weight store
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots        int     // number of requests that an engine runs at the same time
	KVTokens     int     // KV memory of an engine, in tokens
	WeightsMB    float64 // memory of an engine for the weights of models and for adapters
	AdapterSlots int     // maximum number of adapters on an engine
	LoadsPerSec  float64 // loads of model weights per second that the weight store allows all engines together
	Models       []Model
}

// MaxAdapters returns how many adapters fit on an engine beside its resident models.
func (s *EngineSpec) MaxAdapters(resident []string) int {
	free, size := s.WeightsMB, 0.0
	for _, m := range s.Models {
		if slices.Contains(resident, m.Name) {
			free -= m.WeightsMB
			size = max(size, m.AdapterMB)
		}
	}
	if size <= 0 {
		return s.AdapterSlots
	}
	return min(s.AdapterSlots, max(0, int(free/size)))
}

// Service is a group of equivalent upstreams.
type Service struct {
	Name     string
	MaxConns int // connections that one upstream accepts from all daemons
	Engine   *EngineSpec
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	Accounts []accounts.Account // client accounts; without any, requests carry no API key
}

// Table finds routes by host and path. It is immutable.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // longest prefix first
	accounts *accounts.Catalogue

	precedences *precedences // nil if no account has a priority
}

// NewTable builds the table of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]*Route), accounts: accounts.NewCatalogue(c.Accounts), precedences: newPrecedences(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Accounts returns the client accounts, or nil if the configuration has none.
func (t *Table) Accounts() *accounts.Catalogue { return t.accounts }

// Lookup returns the route with the longest prefix of a path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
