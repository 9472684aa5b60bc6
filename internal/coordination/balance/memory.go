package balance

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// maxMemoryUse is how many times the memory of an engine the requests in flight there may fill by the
// estimate. One memory's worth may run, and engines queue or preempt the rest by themselves. To read a
// further memory's worth of prompts takes 4 s and more (65,000 tokens at prefillTokensPerMS), longer than
// any request waits for its start, so the bound refuses nothing that could start in time.
const maxMemoryUse = 2

// memoryOf estimates the memory that a request fills on average while it is in flight.
func memoryOf(r *Request) int { return r.TokensIn + r.TokensOut/2 }

// SetMemory sets the memory of each engine of a service in tokens, 0 for no bound.
func (t *Tracker) SetMemory(service string, tokens int) {
	if tokens <= 0 {
		delete(t.memory, service)
		return
	}
	t.memory[service] = tokens
}

// overfills reports whether an engine with a memory of kvTokens would hold so many requests with another
// one that it might crash with all of them. It counts the requests of this daemon, which include those on
// the way, and those that peers reported. A request that exceeds the bound by itself may run alone.
func (t *Tracker) overfills(now time.Time, u *upstreams.Upstream, kvTokens int, r *Request) bool {
	if kvTokens <= 0 {
		return false
	}
	w := t.InFlight(now, u.ID)
	return w.Requests > 0 && w.KVTokens+memoryOf(r) > maxMemoryUse*kvTokens
}
