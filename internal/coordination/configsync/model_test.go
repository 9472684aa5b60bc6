package configsync_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
)

// The model explores every interleaving of two daemons that run the real Submitter
// and Replica. Answers get lost, creates take effect late, one submission is sent
// through both daemons, and a compaction deletes records.

// modelFault breaks the protocol, to prove that the model detects the fault.
type modelFault struct {
	skipManifestRead     bool // accept without reading the compaction mark
	ignoreCompactionMark bool // apply records without checking the compaction mark
}

// modelDaemon submits its submissions one after the other.
type modelDaemon struct {
	replica  *configsync.Replica
	subs     []configsync.Submission
	current  *configsync.Submitter // nil between submissions
	sub      int                   // index of the current submission
	action   configsync.SubmitterAction
	read     []*configsync.ChangeRecord // records that the refresh in progress has read
	reading  bool                       // a refresh has read records and not applied them yet
	outcomes []configsync.FinishSubmission
}

// modelWorld is the object store and the daemons.
type modelWorld struct {
	records   []*configsync.ChangeRecord // stored records by revision - 1; nil if absent
	inFlight  []configsync.ChangeRecord  // creates that may still take effect
	snapshot  *configsync.Snapshot
	compacted uint64 // compaction mark
	daemons   [2]*modelDaemon
	losses    int // answers that may still get lost
}

var modelTime = time.Unix(1_000_000, 0)

// modelSub returns a submission that changes the customer called name from the value
// base to a new value.
func modelSub(id, name, base, value string) configsync.Submission {
	key := configsync.ObjectKey{Kind: configsync.ObjectCustomer, Name: name}
	return configsync.Submission{ID: id, Changes: []configsync.Change{{
		Key:   key,
		Base:  configsync.DigestOf([]byte(base)),
		Value: json.RawMessage(value),
	}}}
}

// newModelWorld returns a world in which two daemons race to change customer x.
// Submission a is sent through both daemons.
func newModelWorld() *modelWorld {
	a := modelSub("a", "x", "", `"a"`)
	b := modelSub("b", "x", "", `"b"`)
	c := modelSub("c", "y", "", `"c"`)
	w := &modelWorld{losses: 2, snapshot: configsync.NewReplica().Snapshot()}
	w.daemons[0] = &modelDaemon{replica: configsync.NewReplica(), subs: []configsync.Submission{a, c}}
	w.daemons[1] = &modelDaemon{replica: configsync.NewReplica(), subs: []configsync.Submission{b, a}}
	return w
}

// modelView implements configsync.ReplicaView.
type modelView struct{ r *configsync.Replica }

func (v modelView) Prepare(s *configsync.Submission, at time.Time) (configsync.ChangeRecord, error) {
	if err := v.r.Check(s); err != nil {
		return configsync.ChangeRecord{}, err
	}
	return v.r.NextRecord(s, at), nil
}

func (v modelView) Accepted(s *configsync.Submission) (uint64, bool) { return v.r.Accepted(s) }

// get returns the stored record of a revision, or nil.
func (w *modelWorld) get(revision uint64) *configsync.ChangeRecord {
	if revision == 0 || revision > uint64(len(w.records)) {
		return nil
	}
	return w.records[revision-1]
}

// create stores a record unless one of the same revision exists. It reports whether it
// stored the record.
func (w *modelWorld) create(rec configsync.ChangeRecord) bool {
	for uint64(len(w.records)) < rec.Revision {
		w.records = append(w.records, nil)
	}
	if w.records[rec.Revision-1] != nil {
		return false
	}
	w.records[rec.Revision-1] = &rec
	return true
}

// refresh restores the snapshot in a replica and applies the stored records that
// follow the replica's revision.
func (w *modelWorld) refresh(r *configsync.Replica) {
	if err := r.Restore(w.snapshot); err != nil {
		panic(err)
	}
	for {
		rec := w.get(r.Revision() + 1)
		if rec == nil {
			return
		}
		if err := r.Apply(rec); err != nil {
			panic(err)
		}
	}
}

// readRecords is the first half of a daemon's refresh. It reads the stored records
// that follow the replica's revision, but does not apply them.
func (w *modelWorld) readRecords(d *modelDaemon) {
	d.reading, d.read = true, nil
	for {
		rec := w.get(d.replica.Revision() + 1 + uint64(len(d.read)))
		if rec == nil {
			return
		}
		d.read = append(d.read, rec)
	}
}

// applyRead is the second half of a daemon's refresh. It applies the records that
// readRecords has read. If there are none, or if the compaction mark is above the
// replica's revision, it reads the snapshot instead.
func (w *modelWorld) applyRead(d *modelDaemon, fault modelFault) {
	compacted := w.compacted
	if fault.ignoreCompactionMark {
		compacted = 0
	}
	d.reading = false
	if compacted > d.replica.Revision() || len(d.read) == 0 {
		w.refresh(d.replica)
		return
	}
	for _, rec := range d.read {
		if err := d.replica.Apply(rec); err != nil {
			panic(err)
		}
	}
}

// step executes the nth possible transition. It reports whether there is one.
func (w *modelWorld) step(n int, fault modelFault) bool {
	for _, d := range w.daemons {
		choices := w.daemonChoices(d, fault)
		if n < len(choices) {
			choices[n]()
			return true
		}
		n -= len(choices)
	}
	for i, rec := range w.inFlight {
		if n == 0 {
			w.create(rec)
			w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
			return true
		}
		n--
	}
	if n == 0 && w.canCompact() {
		w.compact()
		return true
	}
	return false
}

// canCompact reports whether a compaction may happen now. Each run has at most one.
func (w *modelWorld) canCompact() bool {
	r := configsync.NewReplica()
	w.refresh(r)
	return r.Revision() > w.compacted && w.compacted == 0
}

// compact writes a snapshot of the newest stored revision, sets the compaction mark
// to it and deletes the records up to the mark.
func (w *modelWorld) compact() {
	r := configsync.NewReplica()
	w.refresh(r)
	w.snapshot = r.Snapshot()
	w.compacted = r.Revision()
	for i := range w.records {
		if uint64(i) < w.compacted {
			w.records[i] = nil
		}
	}
}

// daemonChoices returns the possible transitions of a daemon.
func (w *modelWorld) daemonChoices(d *modelDaemon, fault modelFault) []func() {
	if d.current == nil {
		if d.sub == len(d.subs) {
			return nil
		}
		return []func(){func() {
			d.current = configsync.NewSubmitter(&d.subs[d.sub], modelView{d.replica})
			d.handle(configsync.SubmissionStarted{})
		}}
	}
	switch a := d.action.(type) {
	case configsync.RefreshReplica:
		if !d.reading {
			return []func(){func() { w.readRecords(d) }}
		}
		return []func(){func() {
			w.applyRead(d, fault)
			d.handle(configsync.ReplicaRefreshed{})
		}}
	case configsync.CreateRecord:
		choices := []func(){func() { w.createAnswered(d, a.Record) }}
		if w.losses > 0 {
			choices = append(choices,
				func() { w.losses--; w.create(a.Record); d.handle(configsync.CreateOutcomeUnknown{}) },
				func() {
					w.losses--
					w.inFlight = append(w.inFlight, a.Record)
					d.handle(configsync.CreateOutcomeUnknown{})
				})
		}
		return choices
	case configsync.ReadRecord:
		return []func(){func() { d.handle(configsync.RecordRead{Record: w.get(a.Revision)}) }}
	case configsync.ReadManifest:
		return []func(){func() {
			compacted := w.compacted
			if fault.skipManifestRead {
				compacted = 0
			}
			d.handle(configsync.ManifestRead{CompactedThrough: compacted})
		}}
	}
	panic(fmt.Sprintf("unexpected action %T", d.action))
}

// createAnswered executes a create of the object store and delivers its answer to the
// daemon's submitter: the record was created, or its revision exists already.
func (w *modelWorld) createAnswered(d *modelDaemon, rec configsync.ChangeRecord) {
	if w.create(rec) {
		d.handle(configsync.RecordCreated{})
		return
	}
	d.handle(configsync.RecordExists{})
}

// handle passes an event to the current submitter. When the submission ends, handle
// records its outcome and moves on to the daemon's next submission.
func (d *modelDaemon) handle(event configsync.SubmitterEvent) {
	d.action = d.current.Handle(modelTime, event)
	if finish, ok := d.action.(configsync.FinishSubmission); ok {
		d.outcomes = append(d.outcomes, finish)
		d.current = nil
		d.sub++
	}
}

// check verifies the invariants that hold in every state:
//   - An accepted submission is part of the stored configuration.
//   - No two submissions are accepted that change an object from the same base.
//   - A replica at the newest stored revision equals the stored configuration.
func (w *modelWorld) check() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("a reader of the stored configuration diverged: %v", r)
		}
	}()
	reader := configsync.NewReplica()
	w.refresh(reader)
	for _, d := range w.daemons {
		if d.replica.Revision() == reader.Revision() && d.replica.Digest() != reader.Digest() {
			return fmt.Errorf("two replicas differ at revision %d", reader.Revision())
		}
	}
	winners := make(map[configsync.ObjectKey]string)
	for _, d := range w.daemons {
		for i, o := range d.outcomes {
			if o.Err != nil {
				continue
			}
			sub := d.subs[i]
			c := sub.Changes[0]
			stored, ok := reader.Get(c.Key)
			if !ok || string(stored.Value) != string(c.Value) {
				return fmt.Errorf("submission %s was accepted at revision %d but is not in force", sub.ID, o.Accepted.Revision)
			}
			if other := winners[c.Key]; other != "" && other != sub.ID {
				return fmt.Errorf("submissions %s and %s were both accepted from the same base", other, sub.ID)
			}
			winners[c.Key] = sub.ID
		}
	}
	return nil
}

// key returns a string that identifies the state of the world.
func (w *modelWorld) key() string {
	var b strings.Builder
	for _, rec := range w.records {
		if rec == nil {
			b.WriteString("-;")
			continue
		}
		b.WriteString(rec.Submission.ID + ";")
	}
	for _, rec := range w.inFlight {
		fmt.Fprintf(&b, "f%s%d;", rec.Submission.ID, rec.Revision)
	}
	fmt.Fprintf(&b, "c%d l%d ", w.compacted, w.losses)
	for _, d := range w.daemons {
		for _, rec := range d.read {
			fmt.Fprintf(&b, "%s", rec.Submission.ID)
		}
		fmt.Fprintf(&b, "%t", d.reading)
		fmt.Fprintf(&b, "|%d r%d %s %s %T", d.sub, d.replica.Revision(), d.replica.Digest(), acceptedIDs(d.replica), d.action)
		if c, ok := d.action.(configsync.CreateRecord); ok {
			fmt.Fprintf(&b, "%d", c.Record.Revision)
		}
		if c, ok := d.action.(configsync.ReadRecord); ok {
			fmt.Fprintf(&b, "%d", c.Revision)
		}
		if d.current != nil {
			fmt.Fprintf(&b, "%s", d.current.DebugKey())
		}
		for _, o := range d.outcomes {
			fmt.Fprintf(&b, "o%d%t", o.Accepted.Revision, o.Err == nil)
		}
	}
	return b.String()
}

// acceptedIDs returns the IDs of the submissions that are accepted according to a replica.
func acceptedIDs(r *configsync.Replica) string {
	var ids string
	for _, id := range []string{"a", "b", "c"} {
		if _, ok := r.Accepted(&configsync.Submission{ID: id}); ok {
			ids += id
		}
	}
	return ids
}

// explore searches all reachable states breadth-first and returns their number, or
// the first violation. It replays each path from the start, because the state
// machines can't be copied.
func explore(fault modelFault) (int, error) {
	seen := map[string]bool{}
	queue := [][]int{nil}
	for len(queue) > 0 {
		path := queue[0]
		queue = queue[1:]
		for n := 0; ; n++ {
			w := newModelWorld()
			for _, choice := range path {
				w.step(choice, fault)
			}
			if !w.step(n, fault) {
				break
			}
			next := append(path[:len(path):len(path)], n)
			if err := w.check(); err != nil {
				return len(seen), fmt.Errorf("path %v: %w", next, err)
			}
			if key := w.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil
}

func TestAcceptedSubmissionsSurviveRacesLostAnswersAndCompaction(t *testing.T) {
	states, err := explore(modelFault{})
	t.Logf("explored %d states", states)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, states > 500, qt.IsTrue)
}

func TestModelDetectsAcceptanceWithoutReadingTheCompactionMark(t *testing.T) {
	states, err := explore(modelFault{skipManifestRead: true})
	t.Logf("violation after %d states: %v", states, err)
	qt.Assert(t, err, qt.ErrorMatches, ".*accepted at revision .* but is not in force.*")
}

func TestModelDetectsRecordsAppliedWithoutCheckingTheCompactionMark(t *testing.T) {
	states, err := explore(modelFault{ignoreCompactionMark: true})
	t.Logf("violation after %d states: %v", states, err)
	qt.Assert(t, err, qt.IsNotNil)
}

func TestConflictErrorNamesTheAcceptedChange(t *testing.T) {
	r := configsync.NewReplica()
	first := modelSub("a", "x", "", `"a"`)
	first.Author, first.Message = "ana", "new key"
	rec := r.NextRecord(&first, modelTime)
	qt.Assert(t, r.Apply(&rec), qt.IsNil)
	second := modelSub("b", "x", "", `"b"`)
	var conflict *configsync.ConflictError
	qt.Assert(t, errors.As(r.Check(&second), &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Error(), qt.Equals, `customer/x was changed by "ana" in revision 1 (new key)`)
}
