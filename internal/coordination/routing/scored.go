package routing

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// serviceTimeWeight is the weight of a new observation in the mean run time.
const serviceTimeWeight = 1.0 / 64

// MaxPrefixLocations is the most engines that a lookup of a prefix returns.
const MaxPrefixLocations = 4

// PrefixLocation is an engine that has the prefix of a prompt cached.
type PrefixLocation struct {
	Upstream state.UpstreamID
	Tokens   uint32 // length of the cached prefix
}

// PrefixLocations lists engines that have a prefix cached. Unused entries at the end
// have an empty Upstream.
type PrefixLocations [MaxPrefixLocations]PrefixLocation

// PrefixIndex maps prefixes of prompts to the engines that have them cached.
type PrefixIndex interface {
	Locations(adapter state.AdapterRef, prefix uint64) PrefixLocations
}

// Options holds the settings and dependencies of a Scored router.
type Options struct {
	Fleet       *state.Fleet
	Weights     Weights
	Rand        *rand.Rand  // source of the seed; used by NewScored only
	PrefixIndex PrefixIndex // optional
}

// Scored is the Router used in production. It chooses the candidate with the lowest sum of
// the expected time to the first token and the costs of the choice. The candidates for an
// adapter are its replicas and the first engines of its rendezvous order. The time that a
// choice takes does not depend on the number of upstreams. Scored is safe for concurrent
// use.
type Scored struct {
	fleet       *state.Fleet
	weights     Weights
	costs       costs
	prefixIndex PrefixIndex

	seed        uint64
	sequence    atomic.Uint64
	daemons     atomic.Int64
	serviceTime atomic.Uint64 // mean run time in seconds, as the bits of a float64
}

// NewScored returns a router over the upstreams of opts.Fleet.
func NewScored(opts Options) *Scored {
	s := &Scored{
		fleet:       opts.Fleet,
		weights:     opts.Weights,
		costs:       opts.Weights.seconds(),
		prefixIndex: opts.PrefixIndex,
		seed:        opts.Rand.Uint64(),
	}
	s.daemons.Store(1)
	s.serviceTime.Store(math.Float64bits(opts.Weights.InitialServiceTime.Seconds()))
	return s
}

// SetDaemons sets the number of daemons that choose among the same upstreams.
func (s *Scored) SetDaemons(n int) { s.daemons.Store(int64(max(n, 1))) }

// Pick implements Router.
func (s *Scored) Pick(now time.Time, req *Request) Choice {
	p := s.newSelection(now, req)
	p.collect()
	if c, ok := p.best(); ok {
		return c
	}
	return s.lastResort(now, req)
}

// lastResort returns the first usable upstream of the whole group in the rendezvous order
// of the request. It ignores ejection if every usable upstream is ejected. Pick calls it
// when no candidate can be chosen.
func (s *Scored) lastResort(now time.Time, req *Request) Choice {
	group := s.group(req)
	if group == nil {
		return Choice{}
	}
	usable := func(e *state.Entry) bool {
		return s.usable(now, req, e.Upstream())
	}
	e := group.First(req.key(), func(e *state.Entry) bool {
		return e.Gate() == state.GateOpen && usable(e)
	})
	if e == nil {
		e = group.First(req.key(), usable)
	}
	if e == nil {
		return Choice{}
	}
	u := e.Upstream()
	return Choice{Upstream: u, Resident: u.HasResident(req.Adapter)}
}

func (s *Scored) group(req *Request) *state.Group {
	if req.Adapter.IsZero() {
		return s.fleet.Services(req.Service, req.Region, "")
	}
	return s.fleet.Engines(req.Base, req.Region)
}

// usable reports whether u can serve the request, regardless of the load and the ejection of
// u. An upstream whose last report is stale is not usable.
func (s *Scored) usable(now time.Time, req *Request, u *state.Upstream) bool {
	if !eligible(u, req) || u.Region != req.Region {
		return false
	}
	if u.Role == state.RolePrefill {
		return false
	}
	return u.ReportedAt.IsZero() || now.Sub(u.ReportedAt) <= s.weights.StaleAfter
}

// Sent implements Tracker.
func (s *Scored) Sent(now time.Time, req *Request, c Choice) {
	if req.Excess {
		return // an excess request yields to other requests and does not delay them
	}
	if e := s.fleet.Entry(c.Upstream.ID); e != nil {
		e.RequestSent(now)
	}
}

// Ended implements Tracker.
func (s *Scored) Ended(_ time.Time, req *Request, c Choice, result Result) {
	if e := s.fleet.Entry(c.Upstream.ID); e != nil && !req.Excess {
		e.RequestEnded()
	}
	if result.Outcome == OutcomeOK {
		s.observeServiceTime(result)
	}
}

// observeServiceTime updates the mean run time. The run time counts from the first token,
// because the mean is used to predict the time until the first token.
func (s *Scored) observeServiceTime(result Result) {
	run := (result.Total - result.FirstToken).Seconds()
	for {
		old := s.serviceTime.Load()
		mean := math.Float64frombits(old)
		next := math.Float64bits(mean + (run-mean)*serviceTimeWeight)
		if s.serviceTime.CompareAndSwap(old, next) {
			return
		}
	}
}

// random returns a pseudo-random number that is uniform over uint64.
func (s *Scored) random() uint64 {
	const increment = 0x9e3779b97f4a7c15
	return state.Mix(s.seed + s.sequence.Add(1)*increment)
}

// key returns the rendezvous key of the request.
func (r *Request) key() uint64 {
	if r.Adapter.IsZero() {
		return r.Prefix
	}
	return r.Adapter.Hash()
}
