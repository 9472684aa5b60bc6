package fleet

import (
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
)

// Refused prompt parts are recorded in the store, besides the messages between the daemons, for
// daemons that cannot reach those that saw the crashes, and for a fleet whose daemons all restart.

const (
	// maxSavedCrashes is the maximum number of crashes in the record of a refused prompt part.
	maxSavedCrashes = 16
	// maxRefusals is the maximum number of records of refused prompt parts. Every read of the
	// records contains them all.
	maxRefusals = 64
)

// syncRefusals applies the records of refused prompt parts, which this daemon has just read. If it
// reads the store for its zone, it also writes those that are missing and deletes obsolete ones.
func (n *Node) syncRefusals(now time.Time, records []Refusal) {
	recorded := make(map[string]bool, len(records))
	for _, r := range records {
		recorded[r.Part] = true
		if n.appliedRefusals[r.Part] != r.Revision && !isExpired(now, r) {
			n.appliedRefusals[r.Part] = r.Revision
			n.opts.View.applyRefusal(r)
		}
	}
	for part := range n.appliedRefusals {
		if !recorded[part] {
			delete(n.appliedRefusals, part)
		}
	}
	if !n.readsStore() {
		return
	}
	refused := make(map[string]bool)
	for _, r := range n.opts.View.refusals(now) {
		refused[r.Part] = true
		if recorded[r.Part] || len(recorded) >= maxRefusals {
			continue
		}
		recorded[r.Part] = true
		if err := n.opts.Store.PutRefusal(n.ctx, r); err != nil && !errors.Is(err, ErrConflict) {
			n.logErr("refusal not recorded", err, slog.String("id", r.Part))
		}
	}
	for _, r := range records {
		if refused[r.Part] && !isExpired(now, r) {
			continue
		}
		if err := n.opts.Store.DeleteRefusal(n.ctx, r); err != nil {
			n.logErr("record not deleted", err, slog.String("id", r.Part))
		}
	}
}

// isExpired reports whether a record no longer is a reason to refuse a prompt part.
func isExpired(now time.Time, r Refusal) bool {
	return now.Sub(time.UnixMilli(r.RefusedAt)) >= quarantine.RefusalTTL
}

// applyRefusal records the crashes in a record. If it cannot be read, there are none.
func (v *View) applyRefusal(r Refusal) {
	id, err := strconv.ParseUint(r.Part, 16, 64)
	if err != nil {
		v.opts.Log.Event("unusable refusal", slog.String("id", r.Part), slog.String("err", err.Error()))
		return
	}
	age := max(v.opts.Clock().Sub(time.UnixMilli(r.RefusedAt)), quarantine.ConfirmDelay)
	for _, c := range r.Crashes {
		v.RecordPeerCrash(quarantine.Crash{Kind: quarantine.PromptPart, ID: id, Upstream: c.Upstream, Boot: c.Boot, Age: age})
	}
}

// refusals returns records of the prompt parts that this daemon refuses.
func (v *View) refusals(now time.Time) []Refusal {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []Refusal
	for _, trait := range v.crashes.Refused(now) {
		if trait.Kind != quarantine.PromptPart {
			continue
		}
		r := Refusal{Part: strconv.FormatUint(trait.ID, 16), RefusedAt: now.UnixMilli()}
		crashes := v.crashes.Crashes(trait)
		for _, c := range crashes[:min(len(crashes), maxSavedCrashes)] {
			r.Crashes = append(r.Crashes, RefusalCrash{Upstream: c.Upstream, Boot: c.Boot})
		}
		list = append(list, r)
	}
	return list
}
