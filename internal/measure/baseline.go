package measure

import (
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Baselines returns simple policies for comparison. All of them queue first come, first
// served and evict the least recently used adapter.
func Baselines() []Policy {
	fifo := func(*state.Upstream) owner.Core { return owner.NewRanklessFIFO() }
	return []Policy{
		{
			Name:      "round robin",
			NewRouter: func(env RouterEnv) routing.Router { return &roundRobin{fleet: env.Fleet, next: int(env.Seed)} },
			NewCore:   fifo,
		},
		{
			Name: "least loaded",
			NewRouter: func(env RouterEnv) routing.Router {
				return &leastLoaded{fleet: env.Fleet, inFlight: make(map[state.UpstreamID]int)}
			},
			NewCore: fifo,
		},
		{
			Name:      "rendezvous",
			NewRouter: func(env RouterEnv) routing.Router { return &rendezvous{fleet: env.Fleet} },
			NewCore:   fifo,
		},
	}
}

// eligible returns the engines that a request may be sent to.
func eligible(fleet *state.Fleet, req *routing.Request) []*state.Upstream {
	return slices.DeleteFunc(fleet.All(), func(u *state.Upstream) bool {
		return !u.Healthy || u.Leaving || slices.Contains(req.Exclude, u.ID)
	})
}

// roundRobin selects the engines in rotation.
type roundRobin struct {
	fleet *state.Fleet
	next  int
}

// Pick implements routing.Router.
func (r *roundRobin) Pick(_ time.Time, req *routing.Request) routing.Choice {
	all := eligible(r.fleet, req)
	if len(all) == 0 {
		return routing.Choice{}
	}
	r.next++
	return routing.Choice{Upstream: all[r.next%len(all)]}
}

// leastLoaded selects the engine with the fewest requests. The number for an engine is the
// maximum of the reported requests and the requests in flight from this entry daemon.
type leastLoaded struct {
	fleet    *state.Fleet
	inFlight map[state.UpstreamID]int
}

// Pick implements routing.Router.
func (l *leastLoaded) Pick(_ time.Time, req *routing.Request) routing.Choice {
	var best *state.Upstream
	bestLoad := 0
	for _, u := range eligible(l.fleet, req) {
		load := max(u.Running+u.Queued, l.inFlight[u.ID])
		if best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return routing.Choice{Upstream: best}
}

// Sent implements routing.Tracker.
func (l *leastLoaded) Sent(_ time.Time, _ *routing.Request, c routing.Choice) {
	l.inFlight[c.Upstream.ID]++
}

// Ended implements routing.Tracker.
func (l *leastLoaded) Ended(_ time.Time, _ *routing.Request, c routing.Choice, _ routing.Result) {
	l.inFlight[c.Upstream.ID]--
}

// rendezvous selects the first engine in the rendezvous order of the adapter.
type rendezvous struct{ fleet *state.Fleet }

// Pick implements routing.Router.
func (r *rendezvous) Pick(_ time.Time, req *routing.Request) routing.Choice {
	var best *state.Upstream
	var bestWeight uint64
	key := req.Adapter.String()
	for _, u := range eligible(r.fleet, req) {
		if w := state.RendezvousWeight(key, string(u.ID)); best == nil || w > bestWeight {
			best, bestWeight = u, w
		}
	}
	return routing.Choice{Upstream: best}
}
