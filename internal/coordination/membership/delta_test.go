package membership_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Messages are lost, repeated and delayed, and acknowledgements are lost. After the losses
// end, the receiver must have the state of the sender within three messages.
func TestReceivedStateConvergesOverALossyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changeLog, received := membership.NewChangeLog(), &membership.ReceivedState{}
		current := map[state.UpstreamID]uint64{}
		var confirmed uint64
		type message struct {
			delta membership.Delta
			items []membership.Item
		}
		var network []message
		deliver := func(m message) bool {
			ok := received.Apply(m.delta, m.items)
			if rapid.Bool().Draw(t, "ack arrives") {
				confirmed = received.Sequence()
			}
			return ok
		}
		send := func() message {
			var items []membership.Item
			for id, h := range current {
				items = append(items, membership.Item{ID: id, Hash: h})
			}
			changeLog.Update(items)
			m := message{delta: changeLog.DeltaSince(confirmed)}
			for _, id := range m.delta.Changed {
				m.items = append(m.items, membership.Item{ID: id, Hash: current[id]})
			}
			return m
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := state.UpstreamID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id")))
			if rapid.Bool().Draw(t, "remove") {
				delete(current, id)
			} else {
				current[id] = rapid.Uint64Range(1, 3).Draw(t, "hash")
			}
			network = append(network, send())
			k := rapid.IntRange(0, len(network)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "delivered") {
				deliver(network[k])
			}
		}
		confirmed = received.Sequence()
		for range 2 {
			m := send()
			received.Apply(m.delta, m.items)
			confirmed = received.Sequence()
		}
		last := send()
		if !received.Apply(last.delta, last.items) || received.Sequence() != last.delta.Sequence {
			t.Fatalf("the received state is at sequence %d, the change log at %d", received.Sequence(), last.delta.Sequence)
		}
	})
}

func TestUnchangedItemsAreNotInADelta(t *testing.T) {
	changeLog := membership.NewChangeLog()
	items := []membership.Item{{ID: "a", Hash: 1}, {ID: "b", Hash: 2}}
	first := changeLog.Update(items)
	changeLog.Update(items)
	qt.Assert(t, changeLog.DeltaSince(first).Changed, qt.HasLen, 0)
	qt.Assert(t, changeLog.DeltaSince(0).Changed, qt.HasLen, 2)
}
