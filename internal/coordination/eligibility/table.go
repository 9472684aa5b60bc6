package eligibility

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// MaxWait bounds the time that an upstream may name. A longer one would keep an upstream
	// unused for what may be a fault of its own.
	MaxWait = 30 * time.Second
	// MaxReported is the maximum number of leaving upstreams that one daemon reports to its peers.
	MaxReported = 16

	// minNewsWait is by how much a wait must end later than the one before to be news. The responses to
	// requests that were on the way together name nearly the same end.
	minNewsWait = 500 * time.Millisecond
	// probeInterval is the time after which a returning upstream gets another request although
	// the earlier ones have not been answered.
	probeInterval = time.Second
	// fullReturn is the number of answered requests after which an upstream has returned. Each one
	// doubles how many may be in flight: 1, 2, 4, 8, 16.
	fullReturn = 5
	// forgetAfter is how long a run stays known after it was last listed. Lists that are older
	// than the latest one may still name it.
	forgetAfter = 10 * time.Minute
	// forgetUnknownAfter replaces forgetAfter for a run without a start time. The next run under
	// that ID can't be told from it otherwise. Such a run is also forgotten forgetAfter after it
	// said that it leaves, and is not reported to peers.
	forgetUnknownAfter = 10 * time.Second
	// maxUnlisted is the maximum number of runs that stay known without being listed.
	maxUnlisted = 4096
)

// belief is what is known of one run from responses.
type belief struct {
	leaving   bool
	leavingAt time.Time // when the first response that says so came, at any daemon
	isOwn     bool      // this daemon received such a response
	wait      *namedWait
	// unlistedSince is when the run was first missing from the list; zero while it is listed.
	unlistedSince time.Time
}

// namedWait is a time for which an upstream wants nothing from this daemon, and the return of
// requests after its end.
type namedWait struct {
	at, until time.Time
	answered  int       // requests sent after the end that were answered
	inFlight  int       // requests sent after the end
	lastSent  time.Time // when the last of them was sent
}

// admits reports whether another request may be sent after the end of the wait.
func (w *namedWait) admits(now time.Time) bool {
	return w.inFlight < 1<<w.answered || now.Sub(w.lastSent) >= probeInterval
}

// untilProbe returns the time until a further request is sent without an answer to the earlier ones.
func (w *namedWait) untilProbe(now time.Time) time.Duration {
	return w.lastSent.Add(probeInterval).Sub(now)
}

// Table keeps what upstreams said in their responses, by run. It is not safe for concurrent use.
type Table struct{ runs map[Run]*belief }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{runs: make(map[Run]*belief)} }

func (t *Table) belief(run Run) *belief {
	b := t.runs[run]
	if b == nil {
		b = &belief{}
		t.runs[run] = b
	}
	return b
}

// Change is how signals changed what is known of a run.
type Change struct {
	Leaving   bool          // the run is now known to leave
	NamedWait time.Duration // the run named a wait that was not in force before, or ends clearly later
}

// Record records the signals of a response of a run to this daemon.
func (t *Table) Record(now time.Time, run Run, s Signals) Change {
	var change Change
	if s.Leaving {
		change.Leaving = t.recordLeaving(now, run)
		t.runs[run].isOwn = true
	}
	if !s.HasRetryAfter {
		return change
	}
	length := min(max(s.RetryAfter, 0), MaxWait)
	b := t.runs[run]
	if length == 0 {
		if b != nil && b.wait != nil { // the upstream takes back its wait
			b.wait.end(now)
		}
		return change
	}
	b = t.belief(run)
	until := now.Add(length)
	if b.wait == nil || until.Sub(b.wait.until) > minNewsWait {
		change.NamedWait = length
	}
	var inFlight int
	if b.wait != nil {
		inFlight = b.wait.inFlight
	}
	b.wait = &namedWait{at: now, until: until, inFlight: inFlight}
	return change
}

// end ends a wait that has not ended yet.
func (w *namedWait) end(now time.Time) {
	if now.Before(w.until) {
		w.until = now
	}
}

// recordLeaving records that a run leaves. It reports whether that is news.
func (t *Table) recordLeaving(at time.Time, run Run) bool {
	b := t.belief(run)
	if b.leaving {
		return false
	}
	b.leaving, b.leavingAt = true, at
	return true
}

// Merge records that a peer knows that a run leaves. It reports whether that is news.
func (t *Table) Merge(now time.Time, run Run) bool { return t.recordLeaving(now, run) }

// Begin counts a request that is being sent to a run. Requests count only once the run has named
// a wait, until it has returned.
func (t *Table) Begin(now time.Time, run Run) {
	if b := t.runs[run]; b != nil && b.wait != nil {
		b.wait.inFlight++
		b.wait.lastSent = now
	}
}

// End removes a request that Begin counted.
func (t *Table) End(run Run) {
	if b := t.runs[run]; b != nil && b.wait != nil && b.wait.inFlight > 0 {
		b.wait.inFlight--
	}
}

// Answered records that a run served a request that was sent at a time. It ends a wait that was
// named before, and lets more requests return after the end of a wait.
func (t *Table) Answered(now time.Time, run Run, sentAt time.Time) {
	b := t.runs[run]
	if b == nil || b.wait == nil || !sentAt.After(b.wait.at) {
		return
	}
	b.wait.end(now)
	if b.wait.answered++; b.wait.answered < fullReturn {
		return
	}
	b.wait = nil
	if !b.leaving {
		delete(t.runs, run)
	}
}

// Retain forgets runs that have not been listed for a while, and waits that ended long ago.
func (t *Table) Retain(now time.Time, isListed func(Run) bool) {
	var unlisted []Run
	for run, b := range t.runs {
		if b.wait != nil && now.Sub(b.wait.until) > MaxWait {
			b.wait = nil
		}
		if isListed(run) {
			b.unlistedSince = time.Time{}
		} else if b.unlistedSince.IsZero() {
			b.unlistedSince = now
		}
		keep := forgetAfter
		if run.StartTime == 0 {
			keep = forgetUnknownAfter
		}
		switch {
		case run.StartTime == 0 && b.leaving && now.Sub(b.leavingAt) > forgetAfter:
			delete(t.runs, run)
		case !b.leaving && b.wait == nil, !b.unlistedSince.IsZero() && now.Sub(b.unlistedSince) > keep:
			delete(t.runs, run)
		case !b.unlistedSince.IsZero():
			unlisted = append(unlisted, run)
		}
	}
	if len(unlisted) <= maxUnlisted {
		return
	}
	slices.SortFunc(unlisted, func(a, b Run) int {
		return cmp.Or(t.runs[a].unlistedSince.Compare(t.runs[b].unlistedSince), cmp.Compare(a.ID, b.ID))
	})
	for _, run := range unlisted[:len(unlisted)-maxUnlisted] {
		delete(t.runs, run)
	}
}

// Reported returns the start times of the listed runs that told this daemon that they leave, the
// newest MaxReported ones.
func (t *Table) Reported() map[state.UpstreamID]int64 {
	var runs []Run
	for run, b := range t.runs {
		if run.StartTime != 0 && b.leaving && b.isOwn && b.unlistedSince.IsZero() {
			runs = append(runs, run)
		}
	}
	if len(runs) == 0 {
		return nil
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(t.runs[b].leavingAt.Compare(t.runs[a].leavingAt), cmp.Compare(a.ID, b.ID))
	})
	list := make(map[state.UpstreamID]int64, min(len(runs), MaxReported))
	for _, run := range runs[:min(len(runs), MaxReported)] {
		list[run.ID] = run.StartTime
	}
	return list
}
