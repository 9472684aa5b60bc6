package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	stepBase               = 20 * time.Millisecond
	stepPerRequest         = 800 * time.Microsecond
	stepPerAdapter         = 1500 * time.Microsecond
	prefillPerToken        = 50 * time.Microsecond
	prefillChunk           = 512 // maximum prompt tokens computed in a step
	prefixCacheEntries     = 48  // conversations that the prefix cache holds
	prefixCoverage         = 0.7 // fraction of the prompt that a cached prefix covers
	unloadTime             = 5 * time.Millisecond
	restartDowntime        = 5 * time.Second
	uncachedPromptFraction = 1 - prefixCoverage
)

// job is a request at an engine.
type job struct {
	call       *call
	prefill    int // prompt tokens still to compute
	tokensLeft int // output tokens still to generate
	ended      func(failed bool)
}

// engine simulates a model engine with continuous batching and a prefix cache.
type engine struct {
	clock    *clock
	id       state.UpstreamID
	slots    int
	batch    int
	boot     int
	down     bool
	adapters map[state.AdapterRef]bool
	running  []*job
	waiting  []*job
	prefixes []uint64 // least recently used first
	stepping bool

	busy         time.Duration
	tokens       int
	steps        int
	cachedTokens int // prompt tokens served by the prefix cache
}

func (e *engine) bootID() state.BootID { return state.BootID(fmt.Sprintf("%s-%d", e.id, e.boot)) }

// submit queues a job. It fails at once if the engine is down or the adapter not resident.
func (e *engine) submit(j *job) {
	if e.down || !e.adapters[j.call.adapter] {
		j.ended(true)
		return
	}
	j.prefill = j.call.promptTokens
	if j.call.prefix != 0 {
		e.applyPrefixCache(j)
	}
	e.waiting = append(e.waiting, j)
	e.startStepping()
}

// applyPrefixCache reduces the prefill of a job by its cached prefix and makes the prefix
// the most recently used.
func (e *engine) applyPrefixCache(j *job) {
	if i := slices.Index(e.prefixes, j.call.prefix); i >= 0 {
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
		j.prefill = int(float64(j.prefill) * uncachedPromptFraction)
		e.cachedTokens += j.call.promptTokens - j.prefill
	}
	e.prefixes = append(e.prefixes, j.call.prefix)
	if len(e.prefixes) > prefixCacheEntries {
		e.prefixes = e.prefixes[1:]
	}
}

// startStepping starts a step unless one is running.
func (e *engine) startStepping() {
	if !e.stepping {
		e.step()
	}
}

// step starts a step of the batch and schedules its end.
func (e *engine) step() {
	for len(e.running) < e.batch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	budget, prompt := prefillChunk, 0
	for _, j := range e.running {
		n := min(j.prefill, budget)
		j.prefill -= n
		budget -= n
		prompt += n
	}
	stepTime := stepBase + time.Duration(len(e.running))*stepPerRequest +
		time.Duration(e.distinctAdapters()-1)*stepPerAdapter + time.Duration(prompt)*prefillPerToken
	boot := e.boot
	e.clock.after(stepTime, func() {
		if e.boot == boot {
			e.finishStep(stepTime)
		}
	})
}

// finishStep generates a token for each prefilled job, ends the finished jobs and starts
// the next step.
func (e *engine) finishStep(stepTime time.Duration) {
	e.busy += stepTime
	e.steps++
	var done []*job
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.prefill > 0 {
			return false
		}
		e.tokens++
		j.tokensLeft--
		j.call.recordToken(e.clock.now)
		if j.tokensLeft > 0 {
			return false
		}
		done = append(done, j)
		return true
	})
	for _, j := range done {
		j.ended(false)
	}
	e.step()
}

// distinctAdapters returns the number of different adapters that the running jobs use.
func (e *engine) distinctAdapters() int {
	n := 0
	for i, j := range e.running {
		first := !slices.ContainsFunc(e.running[:i], func(o *job) bool { return o.call.adapter == j.call.adapter })
		if first {
			n++
		}
	}
	return n
}

// serving reports whether a job uses an adapter.
func (e *engine) serving(a state.AdapterRef) bool {
	uses := func(j *job) bool { return j.call.adapter == a }
	return slices.ContainsFunc(e.running, uses) || slices.ContainsFunc(e.waiting, uses)
}

func (e *engine) unload(a state.AdapterRef) {
	if e.serving(a) {
		panic(fmt.Sprintf("measure: %s unloads %s while a request uses it", e.id, a))
	}
	delete(e.adapters, a)
}

// cancel ends the job of a call as failed.
func (e *engine) cancel(c *call) {
	drop := func(j *job) bool { return j.call == c }
	for _, queue := range []*[]*job{&e.running, &e.waiting} {
		i := slices.IndexFunc(*queue, drop)
		if i < 0 {
			continue
		}
		j := (*queue)[i]
		*queue = slices.Delete(*queue, i, i+1)
		j.ended(true)
		return
	}
}

// restart drops all adapters, jobs and cached prefixes. The engine is down for
// restartDowntime.
func (e *engine) restart() {
	aborted := append(e.running, e.waiting...)
	e.boot++
	e.down = true
	e.stepping = false
	e.adapters = make(map[state.AdapterRef]bool)
	e.running, e.waiting, e.prefixes = nil, nil, nil
	e.clock.after(restartDowntime, func() { e.down = false })
	for _, j := range aborted {
		j.ended(true)
	}
}

// resident returns the loaded adapters in sorted order.
func (e *engine) resident() []state.AdapterRef {
	refs := make([]state.AdapterRef, 0, len(e.adapters))
	for a := range e.adapters {
		refs = append(refs, a)
	}
	slices.SortFunc(refs, func(a, b state.AdapterRef) int {
		return compareRefs(a, b)
	})
	return refs
}
