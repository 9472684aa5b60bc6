package routing

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// serviceTimeGain is the share of a new observation in the mean run time.
const serviceTimeGain = 1.0 / 64

// MaxPrefixLocations is the number of engines that a prefix is looked up on.
const MaxPrefixLocations = 4

// PrefixLocation is an engine that has a prefix cached.
type PrefixLocation struct {
	Upstream state.UpstreamID
	Tokens   uint32
}

// PrefixLocations lists engines with a prefix cached. Entries after the last have
// no upstream.
type PrefixLocations [MaxPrefixLocations]PrefixLocation

// PrefixIndex tells where the prefix of a conversation is cached.
type PrefixIndex interface {
	Locations(adapter state.AdapterRef, prefix uint64) PrefixLocations
}

// Options sets up a Scored router.
type Options struct {
	Fleet       *state.Fleet
	Weights     Weights
	Rand        *rand.Rand  // seeds the choices; used by NewScored only
	PrefixIndex PrefixIndex // optional
}

// Scored chooses the upstream with the least expected time until the first
// token among few candidates: the holders of the adapter and the start of its
// rendezvous order. Its cost does not depend on the number of upstreams. It is
// safe for concurrent use.
type Scored struct {
	fleet    *state.Fleet
	weights  Weights
	sec      seconds
	prefixes PrefixIndex

	seed        uint64
	sequence    atomic.Uint64
	daemons     atomic.Int64
	serviceTime atomic.Uint64 // bits of a float64 in seconds
}

// NewScored returns a router over a fleet.
func NewScored(opts Options) *Scored {
	s := &Scored{
		fleet:    opts.Fleet,
		weights:  opts.Weights,
		sec:      opts.Weights.seconds(),
		prefixes: opts.PrefixIndex,
		seed:     opts.Rand.Uint64(),
	}
	s.daemons.Store(1)
	s.serviceTime.Store(math.Float64bits(opts.Weights.InitialServiceTime.Seconds()))
	return s
}

// SetDaemons tells the router how many daemons choose among the same upstreams.
func (s *Scored) SetDaemons(n int) { s.daemons.Store(int64(max(n, 1))) }

// Pick implements Router.
func (s *Scored) Pick(now time.Time, req *Request) Choice {
	p := s.newPick(now, req)
	p.collect()
	if c, ok := p.best(); ok {
		return c
	}
	return s.lastResort(now, req)
}

// lastResort visits every upstream of the group. It is needed only when all
// candidates are gone, and ignores ejection when nothing else is left.
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
	return Choice{Upstream: u, Resident: u.Holds(req.Adapter)}
}

func (s *Scored) group(req *Request) *state.Group {
	if req.Adapter.IsZero() {
		return s.fleet.Services(req.Service, req.Region, "")
	}
	return s.fleet.Engines(req.Base, req.Region)
}

// usable reports whether u may answer the request, whatever its load.
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
		return // gives way to the others and does not delay them
	}
	if e := s.fleet.Entry(c.Upstream.ID); e != nil {
		e.Sent(now)
	}
}

// Ended implements Tracker.
func (s *Scored) Ended(_ time.Time, req *Request, c Choice, result Result) {
	if e := s.fleet.Entry(c.Upstream.ID); e != nil && !req.Excess {
		e.Ended()
	}
	if result.Outcome == OutcomeOK {
		s.observe(result)
	}
}

// observe moves the mean run time. The run time counts from the first token on,
// since the wait before is what the mean is used to predict.
func (s *Scored) observe(result Result) {
	run := (result.Total - result.FirstToken).Seconds()
	for {
		old := s.serviceTime.Load()
		mean := math.Float64frombits(old)
		next := math.Float64bits(mean + (run-mean)*serviceTimeGain)
		if s.serviceTime.CompareAndSwap(old, next) {
			return
		}
	}
}

// random returns a number that is uniform over uint64.
func (s *Scored) random() uint64 {
	const increment = 0x9e3779b97f4a7c15
	return state.Mix(s.seed + s.sequence.Add(1)*increment)
}

// key is the rendezvous key of the request.
func (r *Request) key() uint64 {
	if r.Adapter.IsZero() {
		return r.Prefix
	}
	return r.Adapter.Hash()
}
