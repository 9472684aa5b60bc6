package operator

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// allChanges asks for every change that is kept.
var allChanges = protocol.StatusQuery{ChangesSince: time.Unix(1, 0)}

func TestSilentDaemonHidesInTheFleetView(t *testing.T) {
	u := start(t)
	u.fleet.peers = []peer.Peer{{ID: "d3"}, {ID: "d2"}}
	u.fleet.ask = func(to peer.Peer) (protocol.DaemonStatus, *protocol.Error) {
		if to.ID == "d3" {
			return protocol.DaemonStatus{}, protocol.Errorf(protocol.KindUnavailable, "ask", protocol.OutcomeUnknown, "timeout")
		}
		return protocol.DaemonStatus{Daemon: "d2", Upstreams: []protocol.OwnedUpstream{{ID: "far"}}}, nil
	}
	u.table.Put(state.Upstream{ID: "lost", Zone: "z2", Owner: "d3"})
	u.table.Put(state.Upstream{ID: "far", Zone: "z2", Owner: "d2"})
	view := u.Collect(t.Context(), protocol.StatusQuery{})
	qt.Assert(t, view.Partial(), qt.IsTrue)
	qt.Assert(t, view.Missing, qt.DeepEquals, []protocol.MissingDaemon{{Daemon: "d3", Zone: "z2", Reason: "timeout"}})
	qt.Assert(t, len(view.Daemons), qt.Equals, 2)
	qt.Assert(t, view.Daemons[0].Daemon, qt.Equals, state.DaemonID("d1"))
	qt.Assert(t, len(view.Unowned), qt.Equals, 1)
	qt.Assert(t, view.Unowned[0].ID, qt.Equals, state.UpstreamID("lost"))
}

func TestRestartOfAnEngineIsForgotten(t *testing.T) {
	u := start(t)
	u.observe(u.now)
	u.owned[0].Boot = "b2"
	u.owned[1].Healthy = false
	u.observe(u.now)
	u.owned[1].Healthy = true
	u.owned = u.owned[:2]
	u.observe(u.now)
	status := u.Status(allChanges)
	qt.Assert(t, status.Upstreams[0].Restarts, qt.Equals, 1)
	var seen []string
	for _, c := range status.Changes {
		seen = append(seen, c.Subject+" "+c.What)
	}
	qt.Assert(t, seen, qt.DeepEquals, []string{
		"e1 owned by d1", "e2 owned by d1", "p1 owned by d1",
		"e1 restarted: boot b2 after b1", "e2 stopped answering", "e2 answers again", "p1 no longer owned here",
	})
	u.observe(u.now.Add(2 * time.Hour))
	qt.Assert(t, u.Status(allChanges).Upstreams[0].Restarts, qt.Equals, 0)
	for range 3 * maxChanges {
		u.owned[0].Boot += "x"
		u.observe(u.now.Add(2 * time.Hour))
	}
	qt.Assert(t, len(u.Status(allChanges).Changes), qt.Equals, maxChanges)
	qt.Assert(t, u.Status(protocol.StatusQuery{}).Changes, qt.HasLen, 0)
	qt.Assert(t, u.Status(protocol.StatusQuery{ChangesSince: u.now.Add(3 * time.Hour)}).Changes, qt.HasLen, 0)
}

func TestLostAnswerOfADrainLooksLikeAFailure(t *testing.T) {
	u := start(t)
	d := protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "lee", At: u.now}
	u.memory.lost = 1
	qt.Assert(t, u.Drain(t.Context(), d), qt.IsNil)
	qt.Assert(t, u.Drained("e1"), qt.IsTrue)
	qt.Assert(t, kindOf(u.Drain(t.Context(), protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "kim"})), qt.Equals, protocol.KindConflict)
	qt.Assert(t, kindOf(u.Drain(t.Context(), protocol.Drain{Kind: protocol.DrainUpstream, Subject: "nothing"})), qt.Equals, protocol.KindNotFound)
	qt.Assert(t, u.Undrain(t.Context(), d), qt.IsNil)
	qt.Assert(t, u.Drained("e1"), qt.IsFalse)
	qt.Assert(t, kindOf(u.Undrain(t.Context(), d)), qt.Equals, protocol.KindNotFound)
	u.memory.down = true
	err := u.Drain(t.Context(), d)
	qt.Assert(t, kindOf(err), qt.Equals, protocol.KindUnavailable)
	qt.Assert(t, u.Drained("e1"), qt.IsFalse)
}

func TestDaemonMissesADrainAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := start(t)
		key := drainKey(protocol.DrainDaemon, "d1")
		_, err := u.memory.Put(t.Context(), key, []byte(`{"kind":"daemon","subject":"d1","author":"lee"}`), 0)
		qt.Assert(t, err, qt.IsNil)
		_, err = u.memory.Put(t.Context(), drainPrefix+"daemon/other", []byte(`{"kind":"daemon","subject":"d1"}`), 0)
		qt.Assert(t, err, qt.IsNil)
		u.Start()
		synctest.Wait()
		qt.Assert(t, u.draining, qt.DeepEquals, []bool{true})
		qt.Assert(t, len(u.Drains()), qt.Equals, 1)
		u.Close()
	})
}

func TestDrainThatEndedDuringAFailedWatchStays(t *testing.T) {
	u := start(t)
	d := protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "lee", At: u.now}
	qt.Assert(t, u.Drain(t.Context(), d), qt.IsNil)
	key := drainKey(d.Kind, d.Subject)
	qt.Assert(t, u.memory.Delete(t.Context(), key, u.memory.objects[key].Version), qt.IsNil)
	_, err := u.nextDrains(0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, u.Drained("e1"), qt.IsFalse)
}

func TestOutageOfThePlatformIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := start(t)
		u.memory.down = true
		u.opts.Clock = time.Now
		u.Start()
		time.Sleep(outageAfter + 2500*time.Millisecond) // between two retries
		got := u.Status(allChanges).Conditions
		qt.Assert(t, got, qt.HasLen, 1)
		qt.Assert(t, got[0].Kind, qt.Equals, protocol.ConditionPlatformDown)
		u.memory.mu.Lock()
		u.memory.down = false
		u.memory.mu.Unlock()
		time.Sleep(2 * time.Second)
		qt.Assert(t, u.Status(allChanges).Conditions, qt.HasLen, 0)
		changes := u.Status(allChanges).Changes
		qt.Assert(t, changes[len(changes)-1].What, qt.Equals, "answers again after 8s")
		u.Close()
	})
}

func TestTwoNotesAtOnceLoseOne(t *testing.T) {
	u := start(t)
	u.memory.beforePut = func() {
		_, err := u.AddNote(t.Context(), "kim", "second")
		qt.Check(t, err, qt.IsNil)
	}
	_, err := u.AddNote(t.Context(), "lee", "first")
	qt.Assert(t, err, qt.IsNil)
	u.memory.lost = 1
	note, err := u.AddNote(t.Context(), "lee", "third")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, note.ID, qt.Equals, uint64(3))
	notes, err := u.Notes(t.Context())
	qt.Assert(t, err, qt.IsNil)
	var texts []string
	for _, n := range notes {
		texts = append(texts, n.Text)
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{"second", "first", "third"})
	u.memory.down = true
	_, err = u.Notes(t.Context())
	qt.Assert(t, kindOf(err), qt.Equals, protocol.KindUnavailable)
}

func TestExplanationNamesAnUpstreamThatTakesNoWork(t *testing.T) {
	u := start(t)
	u.table.Update("e1", func(x *state.Upstream) {
		x.Resident = []state.AdapterRef{{Service: "advice", Adapter: "blitz", Version: "v2"}}
	})
	e, err := u.Explain(t.Context(), protocol.ExplainQuery{Model: "advice/blitz"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.Subject, qt.Equals, "advice/blitz@v2")
	qt.Assert(t, e.Chosen, qt.Equals, "e1")
	qt.Assert(t, e.Candidates[0].Reason, qt.Equals, "chosen: the adapter is loaded")
	u.table.Update("e1", func(x *state.Upstream) { x.Leaving = true })
	qt.Assert(t, u.Drain(t.Context(), protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "lee", Reason: "disk"}), qt.IsNil)
	e, err = u.Explain(t.Context(), protocol.ExplainQuery{Model: "advice/blitz", Rank: "late"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.Chosen, qt.Equals, "e2")
	qt.Assert(t, e.Candidates[1].Reason, qt.Equals, "drained by operators")
	e, err = u.Explain(t.Context(), protocol.ExplainQuery{Upstream: "e1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Join(e.Facts, "\n"), qt.Contains, "drained by lee: disk")
	e, err = u.Explain(t.Context(), protocol.ExplainQuery{Model: "booking"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.Chosen, qt.Equals, "p1")
	for query, kind := range map[protocol.ExplainQuery]protocol.ErrorKind{
		{}:                                     protocol.KindBadRequest,
		{Model: "advice/blitz", Upstream: "e"}: protocol.KindBadRequest,
		{Model: "none"}:                        protocol.KindBadRequest,
		{Model: "advice/none"}:                 protocol.KindNotFound,
		{Model: "advice/blitz", Rank: "none"}:  protocol.KindNotFound,
		{Upstream: "none"}:                     protocol.KindNotFound,
	} {
		_, err := u.Explain(t.Context(), query)
		qt.Check(t, kindOf(err), qt.Equals, kind, qt.Commentf("%+v", query))
	}
}

func kindOf(err error) protocol.ErrorKind {
	var e *protocol.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
