package fleet

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
)

// RecordCrashes records crashes of upstreams under requests of this daemon, and queues the new
// ones for the peers.
func (v *View) RecordCrashes(list []quarantine.Crash) {
	now := v.opts.Clock()
	for part := range slices.Chunk(list, recordedTogether) { // other requests need the lock
		v.recordCrashes(now, part)
	}
}

// recordedTogether is the number of crashes that are recorded without a break.
const recordedTogether = 256

func (v *View) recordCrashes(now time.Time, list []quarantine.Crash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range list {
		switch {
		case !v.crashes.RecordCrash(now, c):
		case len(v.newCrashes) >= maxQueuedReports:
			v.droppedReports++
		default:
			v.newCrashes = append(v.newCrashes, crashReport{Crash: c, at: now})
		}
	}
}

// RecordPeerCrash records a crash that a peer observed. It reports whether the crash is new. If a
// run with the trait got past its beginning not long before the crash, or after it, RecordPeerCrash
// queues that for the peers.
func (v *View) RecordPeerCrash(c quarantine.Crash) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	if last, ok := v.crashes.LastSurvival(now, c); ok {
		v.newSurvivals[c.Trait()] = now.Add(-last.Age)
	}
	return v.crashes.RecordCrash(now, c)
}

// RepeatedCrashes returns the crashes that are reported to the peers again and again.
func (v *View) RepeatedCrashes() []quarantine.Crash {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashes.RepeatedCrashes(v.opts.Clock())
}

// RecordSurvival records that a run of a request with the given traits got past its beginning.
func (v *View) RecordSurvival(traits []quarantine.Trait) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	for _, trait := range traits {
		if v.crashes.RecordSurvival(now, trait) {
			v.newSurvivals[trait] = now
		}
	}
	v.logQuarantineChanges()
}

// RecordPeerSurvival records that a run of a peer got past its beginning. It reports whether that
// is new here.
func (v *View) RecordPeerSurvival(report quarantine.Survival) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	isNew := v.crashes.RecordPeerSurvival(v.opts.Clock(), report)
	v.logQuarantineChanges()
	return isNew
}

// AdmitTraits decides whether a request with the given traits may be sent to an upstream, see
// quarantine.Table.Admit.
func (v *View) AdmitTraits(traits []quarantine.Trait) (wait time.Duration, isTrial bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	wait, isTrial = v.crashes.Admit(v.opts.Clock(), traits)
	v.logQuarantineChanges()
	return wait, isTrial
}

// IsQuarantined reports whether a request with the given traits must not be sent to any upstream,
// not even as a trial, because upstreams crashed under requests with one of them.
func (v *View) IsQuarantined(traits []quarantine.Trait) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	isRefused := v.crashes.IsRefused(v.opts.Clock(), traits)
	v.logQuarantineChanges()
	return isRefused
}

// QuarantineTime returns how long requests with the given traits are refused, apart from trials. It
// is zero if they are not.
func (v *View) QuarantineTime(traits []quarantine.Trait) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	wait := v.crashes.RefusalTime(v.opts.Clock(), traits)
	v.logQuarantineChanges()
	return wait
}

// maxLoggedChanges is the number of traits whose changes are logged one by one. Of a long prompt, thousands may change together;
// the report of the daemon names them all.
const maxLoggedChanges = 64

// logQuarantineChanges logs the traits that are refused from now on or no longer. The caller holds
// the lock.
func (v *View) logQuarantineChanges() {
	changes := v.crashes.Changes()
	if more := len(changes) - maxLoggedChanges; more > 0 {
		changes = changes[:maxLoggedChanges]
		v.opts.Log.Event("further quarantine changes", slog.Int("count", more))
	}
	for _, c := range changes {
		event := "quarantine ended"
		if c.Refused {
			event = "quarantined"
		}
		v.opts.Log.Event(event, slog.String("kind", c.Trait.Kind.String()), slog.String("id", strconv.FormatUint(c.Trait.ID, 16)), slog.Int("crashes", c.Crashes))
	}
}
