package fleet

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
)

// Refused prompt parts are recorded in the store, besides the messages between the daemons, for
// daemons that cannot reach those that saw the crashes, and for a fleet whose daemons all restart.

const (
	// maxSavedCrashes is the maximum number of crashes in the record of refused prompt parts. Fewer suffice for a refusal.
	maxSavedCrashes = 16
	// maxRefusals is the maximum number of records of refused prompt parts. Every read of the
	// records contains them all.
	maxRefusals = 64
	// maxOwnRecords is the number of parts with the same crashes that have a record each, which is deleted when the part is
	// served again. More parts share records, of which each change takes a write.
	maxOwnRecords = 8
	// maxPartsPerRefusal is the maximum number of parts in a record, which keeps its size under 100 kB.
	maxPartsPerRefusal = 1 << 13
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
	refused := make(map[string]string) // Others by Part
	unrecorded := 0
	for _, r := range n.opts.View.refusals(now) {
		refused[r.Part] = r.Others
		if recorded[r.Part] {
			continue
		}
		if len(recorded) >= maxRefusals {
			unrecorded++
			continue
		}
		recorded[r.Part] = true
		if err := n.opts.Store.PutRefusal(n.ctx, r); err != nil && !errors.Is(err, ErrConflict) {
			n.logErr("refusal not recorded", err, slog.String("id", r.Part))
		}
	}
	if unrecorded > 0 {
		n.opts.Log.Event("refusals not recorded", slog.Int("count", unrecorded), slog.Int("limit", maxRefusals))
	}
	for _, r := range records {
		if others, ok := refused[r.Part]; ok && others == r.Others && !isExpired(now, r) {
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
	ids, err := r.parts()
	if err != nil {
		v.opts.Log.Event("unusable refusal", slog.String("id", r.Part), slog.String("err", err.Error()))
		return
	}
	age := max(v.opts.Clock().Sub(time.UnixMilli(r.RefusedAt)), quarantine.ConfirmDelay)
	for _, id := range ids {
		for _, c := range r.Crashes {
			v.RecordPeerCrash(quarantine.Crash{Kind: quarantine.PromptPart, ID: id, Upstream: c.Upstream, Boot: c.Boot, Age: age})
		}
	}
}

// parts returns the numbers of the parts of a record.
func (r *Refusal) parts() ([]uint64, error) {
	first, err := strconv.ParseUint(r.Part, 16, 64)
	if err != nil {
		return nil, err
	}
	others, err := base64.RawStdEncoding.DecodeString(r.Others)
	if err != nil {
		return nil, err
	}
	if len(others)%8 != 0 {
		return nil, fmt.Errorf("%d bytes of further parts", len(others))
	}
	ids := []uint64{first}
	for ; len(others) > 0; others = others[8:] {
		ids = append(ids, binary.BigEndian.Uint64(others))
	}
	return ids, nil
}

// newRefusal returns the record of prompt parts with the same crashes.
func newRefusal(now time.Time, parts []uint64, crashes []quarantine.BootCrash) Refusal {
	r := Refusal{Part: strconv.FormatUint(parts[0], 16), RefusedAt: now.UnixMilli()}
	var others []byte
	for _, id := range parts[1:] {
		others = binary.BigEndian.AppendUint64(others, id)
	}
	r.Others = base64.RawStdEncoding.EncodeToString(others)
	for _, c := range crashes[:min(len(crashes), maxSavedCrashes)] {
		r.Crashes = append(r.Crashes, RefusalCrash{Upstream: c.Upstream, Boot: c.Boot})
	}
	return r
}

// refusals returns records of the prompt parts that this daemon refuses.
func (v *View) refusals(now time.Time) []Refusal {
	v.mu.Lock()
	defer v.mu.Unlock()
	var crashes []quarantine.Crash
	for _, trait := range v.crashes.Refused(now) {
		if trait.Kind == quarantine.PromptPart {
			crashes = append(crashes, v.crashes.Crashes(trait)...)
		}
	}
	var list []Refusal
	for _, g := range quarantine.GroupCrashes(crashes) {
		size := 1
		if len(g.IDs) > maxOwnRecords {
			size = maxPartsPerRefusal
		}
		for parts := range slices.Chunk(g.IDs, size) {
			list = append(list, newRefusal(now, parts, g.Crashes))
		}
	}
	return list
}
