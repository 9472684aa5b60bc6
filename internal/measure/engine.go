package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	stepBase         = 20 * time.Millisecond
	stepPerRequest   = 800 * time.Microsecond
	stepPerAdapter   = 1500 * time.Microsecond
	prefillPerToken  = 50 * time.Microsecond
	prefillChunk     = 512 // prompt tokens of one step
	prefixSlots      = 48  // conversations in the prefix cache
	prefixReuse      = 0.7 // part of the prompt that a cached prefix covers
	unloadTime       = 5 * time.Millisecond
	restartDowntime  = 5 * time.Second
	cachedPromptRest = 1 - prefixReuse
)

// job is a request that an engine runs.
type job struct {
	call    *call
	prefill int // prompt tokens still to compute
	left    int // output tokens still to generate
	ended   func(failed bool)
}

// engine is a fake of a model engine with continuous batching.
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

	busy     time.Duration
	tokens   int
	steps    int
	prefixed int // prompt tokens answered by the prefix cache
}

func (e *engine) bootID() state.BootID { return state.BootID(fmt.Sprintf("%s-%d", e.id, e.boot)) }

func (e *engine) submit(j *job) {
	if e.down || !e.adapters[j.call.adapter] {
		j.ended(true)
		return
	}
	j.prefill = j.call.prompt
	if j.call.prefix != 0 {
		e.touchPrefix(j)
	}
	e.waiting = append(e.waiting, j)
	e.wake()
}

func (e *engine) touchPrefix(j *job) {
	if i := slices.Index(e.prefixes, j.call.prefix); i >= 0 {
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
		j.prefill = int(float64(j.prefill) * cachedPromptRest)
		e.prefixed += j.call.prompt - j.prefill
	}
	e.prefixes = append(e.prefixes, j.call.prefix)
	if len(e.prefixes) > prefixSlots {
		e.prefixes = e.prefixes[1:]
	}
}

func (e *engine) wake() {
	if !e.stepping {
		e.step()
	}
}

// step computes one step of the batch and schedules its end.
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
	room, prompt := prefillChunk, 0
	for _, j := range e.running {
		n := min(j.prefill, room)
		j.prefill -= n
		room -= n
		prompt += n
	}
	took := stepBase + time.Duration(len(e.running))*stepPerRequest +
		time.Duration(e.distinct()-1)*stepPerAdapter + time.Duration(prompt)*prefillPerToken
	boot := e.boot
	e.clock.after(took, func() {
		if e.boot == boot {
			e.finishStep(took)
		}
	})
}

func (e *engine) finishStep(took time.Duration) {
	e.busy += took
	e.steps++
	var done []*job
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.prefill > 0 {
			return false
		}
		e.tokens++
		j.left--
		j.call.token(e.clock.now)
		if j.left > 0 {
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

func (e *engine) distinct() int {
	n := 0
	for i, j := range e.running {
		first := !slices.ContainsFunc(e.running[:i], func(o *job) bool { return o.call.adapter == j.call.adapter })
		if first {
			n++
		}
	}
	return n
}

func (e *engine) serving(a state.AdapterRef) bool {
	uses := func(j *job) bool { return j.call.adapter == a }
	return slices.ContainsFunc(e.running, uses) || slices.ContainsFunc(e.waiting, uses)
}

func (e *engine) unload(a state.AdapterRef) {
	if e.serving(a) {
		panic(fmt.Sprintf("measure: %s unloads %s while it serves", e.id, a))
	}
	delete(e.adapters, a)
}

func (e *engine) cancel(c *call) {
	drop := func(j *job) bool { return j.call == c }
	for _, list := range []*[]*job{&e.running, &e.waiting} {
		i := slices.IndexFunc(*list, drop)
		if i < 0 {
			continue
		}
		j := (*list)[i]
		*list = slices.Delete(*list, i, i+1)
		j.ended(true)
		return
	}
}

// restart loses everything and stays down for a while.
func (e *engine) restart() {
	lost := append(e.running, e.waiting...)
	e.boot++
	e.down = true
	e.stepping = false
	e.adapters = make(map[state.AdapterRef]bool)
	e.running, e.waiting, e.prefixes = nil, nil, nil
	e.clock.after(restartDowntime, func() { e.down = false })
	for _, j := range lost {
		j.ended(true)
	}
}

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
