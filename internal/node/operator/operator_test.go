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

// allChanges queries every change in the log.
var allChanges = protocol.StatusQuery{ChangesSince: time.Unix(1, 0)}

func TestSilentDaemonHidesInTheFleetView(t *testing.T) {
	n := newTestNode(t)
	n.peers.peers = []peer.Peer{{ID: "d3"}, {ID: "d2"}}
	n.peers.status = func(to peer.Peer) (protocol.DaemonStatus, *protocol.Error) {
		if to.ID == "d3" {
			return protocol.DaemonStatus{}, protocol.Errorf(protocol.KindUnavailable, "ask", protocol.OutcomeUnknown, "timeout")
		}
		return protocol.DaemonStatus{Daemon: "d2", Upstreams: []protocol.OwnedUpstream{{ID: "far"}}}, nil
	}
	n.fleet.Put(state.Upstream{ID: "lost", Zone: "z2", Owner: "d3"})
	n.fleet.Put(state.Upstream{ID: "far", Zone: "z2", Owner: "d2"})
	view := n.Collect(t.Context(), protocol.StatusQuery{})
	qt.Assert(t, view.Partial(), qt.IsTrue)
	qt.Assert(t, view.Missing, qt.DeepEquals, []protocol.MissingDaemon{{Daemon: "d3", Zone: "z2", Reason: "timeout"}})
	qt.Assert(t, len(view.Daemons), qt.Equals, 2)
	qt.Assert(t, view.Daemons[0].Daemon, qt.Equals, state.DaemonID("d1"))
	qt.Assert(t, len(view.Unowned), qt.Equals, 1)
	qt.Assert(t, view.Unowned[0].ID, qt.Equals, state.UpstreamID("lost"))
}

func TestRestartOfAnEngineIsNotRecorded(t *testing.T) {
	n := newTestNode(t)
	n.observe(n.now)
	n.owned[0].Boot = "b2"
	n.owned[1].Healthy = false
	n.observe(n.now)
	n.owned[1].Healthy = true
	n.owned = n.owned[:2]
	n.observe(n.now)
	status := n.Status(allChanges)
	qt.Assert(t, status.Upstreams[0].Restarts, qt.Equals, 1)
	var recorded []string
	for _, c := range status.Changes {
		recorded = append(recorded, c.Subject+" "+c.Description)
	}
	qt.Assert(t, recorded, qt.DeepEquals, []string{
		"e1 owned by d1", "e2 owned by d1", "p1 owned by d1",
		"e1 restarted: boot b2 after b1", "e2 stopped answering", "e2 answers again", "p1 no longer owned here",
	})
	n.observe(n.now.Add(2 * time.Hour))
	qt.Assert(t, n.Status(allChanges).Upstreams[0].Restarts, qt.Equals, 0)
	for range 3 * maxChanges {
		n.owned[0].Boot += "x"
		n.observe(n.now.Add(2 * time.Hour))
	}
	qt.Assert(t, len(n.Status(allChanges).Changes), qt.Equals, maxChanges)
	qt.Assert(t, n.Status(protocol.StatusQuery{}).Changes, qt.HasLen, 0)
	qt.Assert(t, n.Status(protocol.StatusQuery{ChangesSince: n.now.Add(3 * time.Hour)}).Changes, qt.HasLen, 0)
}

func TestLostAnswerOfADrainLooksLikeAFailure(t *testing.T) {
	n := newTestNode(t)
	d := protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "lee", At: n.now}
	n.store.lostAnswers = 1
	qt.Assert(t, n.Drain(t.Context(), d), qt.IsNil)
	qt.Assert(t, n.Drained("e1"), qt.IsTrue)
	qt.Assert(t, kindOf(n.Drain(t.Context(), protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "kim"})), qt.Equals, protocol.KindConflict)
	qt.Assert(t, kindOf(n.Drain(t.Context(), protocol.Drain{Kind: protocol.DrainUpstream, Subject: "nothing"})), qt.Equals, protocol.KindNotFound)
	qt.Assert(t, n.Undrain(t.Context(), d), qt.IsNil)
	qt.Assert(t, n.Drained("e1"), qt.IsFalse)
	qt.Assert(t, kindOf(n.Undrain(t.Context(), d)), qt.Equals, protocol.KindNotFound)
	n.store.down = true
	err := n.Drain(t.Context(), d)
	qt.Assert(t, kindOf(err), qt.Equals, protocol.KindUnavailable)
	qt.Assert(t, n.Drained("e1"), qt.IsFalse)
}

func TestDaemonMissesADrainAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(t)
		key := drainKey(protocol.DrainDaemon, "d1")
		_, err := n.store.Put(t.Context(), key, []byte(`{"kind":"daemon","subject":"d1","author":"lee"}`), 0)
		qt.Assert(t, err, qt.IsNil)
		_, err = n.store.Put(t.Context(), drainPrefix+"daemon/other", []byte(`{"kind":"daemon","subject":"d1"}`), 0)
		qt.Assert(t, err, qt.IsNil)
		n.Start()
		synctest.Wait()
		qt.Assert(t, n.draining, qt.DeepEquals, []bool{true})
		qt.Assert(t, len(n.Drains()), qt.Equals, 1)
		n.Close()
	})
}

func TestDrainThatEndedDuringAFailedWatchStays(t *testing.T) {
	n := newTestNode(t)
	d := protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "lee", At: n.now}
	qt.Assert(t, n.Drain(t.Context(), d), qt.IsNil)
	key := drainKey(d.Kind, d.Subject)
	qt.Assert(t, n.store.Delete(t.Context(), key, n.store.objects[key].Version), qt.IsNil)
	_, err := n.updateDrains(0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n.Drained("e1"), qt.IsFalse)
}

func TestOutageOfTheObjectStoreIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(t)
		n.store.down = true
		n.opts.Clock = time.Now
		n.Start()
		time.Sleep(outageConditionDelay + 2500*time.Millisecond) // between two retries
		got := n.Status(allChanges).Conditions
		qt.Assert(t, got, qt.HasLen, 1)
		qt.Assert(t, got[0].Kind, qt.Equals, protocol.ConditionPlatformDown)
		n.store.mu.Lock()
		n.store.down = false
		n.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		qt.Assert(t, n.Status(allChanges).Conditions, qt.HasLen, 0)
		changes := n.Status(allChanges).Changes
		qt.Assert(t, changes[len(changes)-1].Description, qt.Equals, "answers again after 8s")
		n.Close()
	})
}

func TestOneOfTwoConcurrentNotesIsLost(t *testing.T) {
	n := newTestNode(t)
	n.store.beforePut = func() {
		_, err := n.AddNote(t.Context(), "kim", "", "second")
		qt.Check(t, err, qt.IsNil)
	}
	_, err := n.AddNote(t.Context(), "lee", "", "first")
	qt.Assert(t, err, qt.IsNil)
	n.store.lostAnswers = 1
	note, err := n.AddNote(t.Context(), "lee", "", "third")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, note.ID, qt.Equals, uint64(3))
	notes, err := n.Notes(t.Context())
	qt.Assert(t, err, qt.IsNil)
	var texts []string
	for _, note := range notes {
		texts = append(texts, note.Text)
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{"second", "first", "third"})
	n.store.down = true
	_, err = n.Notes(t.Context())
	qt.Assert(t, kindOf(err), qt.Equals, protocol.KindUnavailable)
}

// TestANoteIsStoredOnceIfItsAnswerIsLost guards against a note that a client adds at two daemons because
// the first answer did not arrive.
func TestANoteIsStoredOnceIfItsAnswerIsLost(t *testing.T) {
	n := newTestNode(t)
	first, err := n.AddNote(t.Context(), "lee", "k1", "engine 4 is slow")
	qt.Assert(t, err, qt.IsNil)
	again, err := n.AddNote(t.Context(), "lee", "k1", "engine 4 is slow")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, again.ID, qt.Equals, first.ID)
	for _, other := range []struct{ author, key string }{{"kim", "k1"}, {"lee", "k2"}} {
		_, err = n.AddNote(t.Context(), other.author, other.key, "engine 4 is slow")
		qt.Assert(t, err, qt.IsNil)
	}
	notes, err := n.Notes(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, notes, qt.HasLen, 3)
}

func TestExplanationNamesAnUpstreamThatTakesNoWork(t *testing.T) {
	n := newTestNode(t)
	n.fleet.Update("e1", func(x *state.Upstream) {
		x.Resident = []state.AdapterRef{{Service: "advice", Adapter: "blitz", Version: "v2"}}
	})
	e, err := n.Explain(t.Context(), protocol.ExplainQuery{Model: "advice/blitz"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.Subject, qt.Equals, "advice/blitz@v2")
	qt.Assert(t, e.Chosen, qt.Equals, "e1")
	qt.Assert(t, e.Candidates[0].Reason, qt.Equals, "chosen: the adapter is loaded")
	n.fleet.Update("e1", func(x *state.Upstream) { x.Leaving = true })
	qt.Assert(t, n.Drain(t.Context(), protocol.Drain{Kind: protocol.DrainUpstream, Subject: "e1", Author: "lee", Reason: "disk"}), qt.IsNil)
	e, err = n.Explain(t.Context(), protocol.ExplainQuery{Model: "advice/blitz", Rank: "late"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.Chosen, qt.Equals, "e2")
	qt.Assert(t, e.Candidates[1].Reason, qt.Equals, "drained by operators")
	e, err = n.Explain(t.Context(), protocol.ExplainQuery{Upstream: "e1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Join(e.Facts, "\n"), qt.Contains, "drained by lee: disk")
	e, err = n.Explain(t.Context(), protocol.ExplainQuery{Model: "booking"})
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
		_, err := n.Explain(t.Context(), query)
		qt.Check(t, kindOf(err), qt.Equals, kind, qt.Commentf("%+v", query))
	}
}

// kindOf returns the kind of a protocol error, or "" for any other error.
func kindOf(err error) protocol.ErrorKind {
	var e *protocol.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
