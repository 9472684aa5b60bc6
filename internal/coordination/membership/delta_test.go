package membership_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Messages are lost, repeated and late; acknowledgements are lost as well.
func TestReplicaFollowsTheLogOverALossyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, replica := membership.NewChangeLog(), &membership.ReceivedState{}
		now := map[state.UpstreamID]uint64{}
		var confirmed uint64
		type message struct {
			delta membership.Delta
			items []membership.Item
		}
		var network []message
		deliver := func(m message) bool {
			ok := replica.Apply(m.delta, m.items)
			if rapid.Bool().Draw(t, "ack arrives") {
				confirmed = replica.Sequence()
			}
			return ok
		}
		send := func() message {
			var items []membership.Item
			for id, h := range now {
				items = append(items, membership.Item{ID: id, Hash: h})
			}
			log.Update(items)
			m := message{delta: log.DeltaSince(confirmed)}
			for _, id := range m.delta.Changed {
				m.items = append(m.items, membership.Item{ID: id, Hash: now[id]})
			}
			return m
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := state.UpstreamID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id")))
			if rapid.Bool().Draw(t, "remove") {
				delete(now, id)
			} else {
				now[id] = rapid.Uint64Range(1, 3).Draw(t, "hash")
			}
			network = append(network, send())
			k := rapid.IntRange(0, len(network)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "delivered") {
				deliver(network[k])
			}
		}
		confirmed = replica.Sequence()
		for range 2 {
			m := send()
			replica.Apply(m.delta, m.items)
			confirmed = replica.Sequence()
		}
		last := send()
		if !replica.Apply(last.delta, last.items) || replica.Sequence() != last.delta.Sequence {
			t.Fatalf("replica at %d does not follow the log at %d", replica.Sequence(), last.delta.Sequence)
		}
	})
}

func TestUnchangedStateCostsNoItems(t *testing.T) {
	log := membership.NewChangeLog()
	items := []membership.Item{{ID: "a", Hash: 1}, {ID: "b", Hash: 2}}
	first := log.Update(items)
	log.Update(items)
	qt.Assert(t, log.DeltaSince(first).Changed, qt.HasLen, 0)
	qt.Assert(t, log.DeltaSince(0).Changed, qt.HasLen, 2)
}
