package measure

import (
	"container/heap"
	"time"
)

type timer struct {
	at  time.Time
	seq uint64
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// clock is a virtual clock with a heap of callbacks.
type clock struct {
	start   time.Time
	now     time.Time
	seq     uint64
	pending timers
}

func newClock() *clock {
	start := time.Unix(0, 0).UTC()
	return &clock{start: start, now: start}
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.pending, timer{at: c.now.Add(d), seq: c.seq, run: run})
}

// every runs step now and then at each interval.
func (c *clock) every(d time.Duration, step func()) {
	var again func()
	again = func() {
		step()
		c.after(d, again)
	}
	c.after(0, again)
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

// runUntil runs all callbacks up to the given time since the start.
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
