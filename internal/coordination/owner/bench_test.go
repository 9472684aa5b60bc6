package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// BenchmarkEnqueue measures a request from arrival to end, including the load and the
// eviction that it causes. Requests cycle through the given number of adapters.
func BenchmarkEnqueue(b *testing.B) {
	for _, adapters := range []int{3_000, 82_000} {
		refs := make([]state.AdapterRef, adapters)
		for i := range refs {
			refs[i] = state.AdapterRef{Service: "advice", Adapter: fmt.Sprint("a", i), Version: "v1"}
		}
		b.Run(fmt.Sprint("adapters=", adapters), func(b *testing.B) {
			s := NewScheduler(DefaultOptions())
			now := time.Unix(0, 0)
			s.Handle(now, Ranks{Ranks: testRanks})
			s.Handle(now, Permissions{Epoch: 1, MayDispatch: true, MayLoad: true, MayUnload: true})
			s.Handle(now, Report{Boot: "boot", Slots: 8, Batch: 8})
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				ref := refs[i%adapters]
				i++
				r := Request{ID: "r", Class: testClass(0, 1), Adapter: ref, Deadline: now.Add(time.Minute)}
				carryOut(s, now, s.Handle(now, Enqueue{Request: r}))
			}
		})
	}
}

// carryOut completes the actions and the actions that result from their completion.
func carryOut(s *Scheduler, now time.Time, actions []Action) {
	for len(actions) > 0 {
		var next []Action
		for _, action := range actions {
			switch a := action.(type) {
			case Load:
				next = append(next, s.Handle(now, LoadDone{Adapter: a.Adapter, Order: a.Order, Boot: "boot"})...)
			case Unload:
				next = append(next, s.Handle(now, UnloadDone{Adapter: a.Adapter})...)
			case Dispatch:
				next = append(next, s.Handle(now, Ended{ID: a.ID})...)
			}
		}
		actions = next
	}
}
