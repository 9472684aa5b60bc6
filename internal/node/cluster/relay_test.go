package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// chain is the relay of zone a, the relay of zone b and another daemon of zone b.
type chain struct {
	now            time.Time
	a, b, zoneMate *Cluster
	lastSizeOfA    int // size in bytes of the last message of a
}

// newChain returns a chain of daemons with n engines of zone a in their fleets.
func newChain(n int) *chain {
	ch := &chain{now: time.Unix(1000, 0)}
	build := func(id state.DaemonID, zone state.Zone) *Cluster {
		c := New(Options{
			Self: peer.Peer{ID: id}, Incarnation: "1", Zone: zone, Region: "r", Fleet: state.NewFleet(),
			Config: noConfig{}, Clock: func() time.Time { return ch.now },
		})
		for _, m := range []struct {
			id   state.DaemonID
			zone state.Zone
		}{{"a1", "a"}, {"b1", "b"}, {"b2", "b"}} {
			if m.id != id {
				c.members[m.id] = &member{peer: peer.Peer{ID: m.id}, zone: m.zone}
			}
		}
		for i := range n {
			c.opts.Fleet.Put(state.Upstream{ID: state.UpstreamID(fmt.Sprintf("engine-%04d", i)), Zone: "a", Region: "r"})
		}
		return c
	}
	ch.a, ch.b, ch.zoneMate = build("a1", "a"), build("b1", "b"), build("b2", "b")
	return ch
}

// forward sends a message of a feed from one daemon to another and returns the size of the
// message in bytes. If lost is true, the message does not arrive.
func (ch *chain) forward(t testing.TB, from *Cluster, f *feed, to *Cluster, lost bool) int {
	members, upstreams := from.feedContent(f.forwarded)
	memberItems, statusItems, loadItems := feedItems(members, upstreams)
	f.members.Update(memberItems)
	f.statuses.Update(statusItems)
	f.loads.Update(loadItems)
	id := to.opts.Self.ID
	msg := from.feedMessage(f, f.ackedSequences[id], members, upstreams)
	data, err := cbor.Marshal(msg)
	qt.Assert(t, err, qt.IsNil)
	if lost {
		return len(data)
	}
	var decoded protocol.ZoneFeed
	qt.Assert(t, cbor.Unmarshal(data, &decoded), qt.IsNil)
	ack, err := to.HandleFeed(from.opts.Self.ID, &decoded)
	qt.Assert(t, err, qt.IsNil)
	f.ackedSequences[id] = ack.Sequence
	return len(data)
}

// round sends the state of zone a to the relay of zone b, and from the relay to the other
// daemon of zone b.
func (ch *chain) round(t testing.TB, all []protocol.UpstreamStatus, lostFirst, lostSecond bool) {
	ch.now = ch.now.Add(minFeedInterval)
	ch.a.applyOwnStatuses(all)
	ch.lastSizeOfA = ch.forward(t, ch.a, ch.a.zoneFeed, ch.b, lostFirst)
	ch.forward(t, ch.b, ch.b.forwardedFeed, ch.zoneMate, lostSecond)
}

func TestRelayedStateIsCompleteAfterLossAndRestart(t *testing.T) {
	ch := newChain(4)
	for i := range 60 {
		if i == 20 {
			ch.zoneMate.receivedFeeds = make(map[feedKey]*receivedFeed)
		}
		if i == 30 {
			ch.b.opts.Incarnation = "2"
			ch.b.forwardedFeed = newFeed(true)
		}
		ch.round(t, statuses(4-i/20, i), i%3 == 1, i%4 == 2)
	}
	last := statuses(1, 60)
	for range 3 {
		ch.round(t, last, false, false)
	}
	u := ch.zoneMate.opts.Fleet.Get(last[0].ID)
	qt.Assert(t, u.Owner, qt.Equals, state.DaemonID("a1"))
	qt.Assert(t, u.Resident, qt.DeepEquals, last[0].Resident)
	qt.Assert(t, u.Running, qt.Equals, last[0].Running)
	qt.Assert(t, ch.zoneMate.opts.Fleet.Get("engine-0003").Owner, qt.Equals, state.DaemonID(""))
	qt.Assert(t, ch.zoneMate.alive("a1"), qt.IsTrue)
}

func TestDaemonOfAnotherZoneIsNotAliveWhenItsRelayIsSilent(t *testing.T) {
	ch := newChain(1)
	for range 3 {
		ch.round(t, statuses(1, 1), false, false)
	}
	qt.Assert(t, ch.zoneMate.alive("a1"), qt.IsTrue)
	for range 40 {
		ch.round(t, statuses(1, 1), true, false)
	}
	qt.Assert(t, ch.zoneMate.alive("a1"), qt.IsFalse)
}

func TestFeedWithoutChangesIsSmall(t *testing.T) {
	for _, n := range []int{10, 100, 310} {
		ch := newChain(n)
		ch.round(t, statuses(n, 1), false, false)
		first := ch.lastSizeOfA
		ch.round(t, statuses(n, 1), false, false)
		unchanged := ch.lastSizeOfA
		ch.round(t, statuses(n, 2), false, false)
		t.Logf("%d upstreams: %d bytes in the first message, %d without changes, %d when all loads change", n, first, unchanged, ch.lastSizeOfA)
		qt.Assert(t, unchanged < 120, qt.IsTrue, qt.Commentf("%d", unchanged))
	}
}

func TestSmallChangesOfLoadAreNotSentToOtherZones(t *testing.T) {
	load := func(running, queued int) protocol.UpstreamLoad {
		return protocol.UpstreamLoad{ID: "e", Running: running, Queued: queued, QueuedByRank: []int{queued}}
	}
	qt.Assert(t, roundLoad(load(5, 5), 8), qt.DeepEquals, roundLoad(load(6, 8), 8))
	qt.Assert(t, roundLoad(load(6, 8), 8), qt.DeepEquals, load(6, 8))
	qt.Assert(t, roundLoad(load(0, 0), 8), qt.DeepEquals, load(0, 0))
	qt.Assert(t, roundLoad(load(1, 1), 8), qt.DeepEquals, load(2, 1))
}
