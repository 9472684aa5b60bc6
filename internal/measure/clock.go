package measure

import (
	"container/heap"
	"time"
)

// timer is a scheduled callback. Timers of the same time run in order of seq.
type timer struct {
	at  time.Time
	seq uint64
	run func()
}

// timerHeap is a heap with the earliest timer first.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// clock is a virtual clock that runs scheduled callbacks.
type clock struct {
	start   time.Time
	now     time.Time
	seq     uint64
	pending timerHeap
}

func newClock() *clock {
	start := time.Unix(0, 0).UTC()
	return &clock{start: start, now: start}
}

// after schedules a callback.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.pending, timer{at: c.now.Add(d), seq: c.seq, run: run})
}

// every schedules a callback for the current time and then at every interval.
func (c *clock) every(d time.Duration, step func()) {
	var again func()
	again = func() {
		step()
		c.after(d, again)
	}
	c.after(0, again)
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

// runUntil runs the callbacks in order of time until the given time since the start.
func (c *clock) runUntil(end time.Duration) {
	for len(c.pending) > 0 {
		if c.pending[0].at.Sub(c.start) > end {
			return
		}
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.run()
	}
}
