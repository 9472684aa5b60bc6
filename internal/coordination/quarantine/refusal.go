package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Admit decides whether a request with the given traits may be sent to an upstream. If not, it
// returns the time after which the request may be admitted. isTrial is true if the request is
// admitted as a trial of refused prompt parts. It may then be sent as long as IsRefused returns false.
func (t *Table) Admit(now time.Time, traits []Trait) (wait time.Duration, isTrial bool) {
	parts, wait := t.refusedAmong(now, traits)
	if wait == 0 || !t.isInDoubt(parts) {
		return wait, false
	}
	wait = 0
	for _, trait := range parts {
		if last, ok := t.trials[trait]; ok {
			wait = max(wait, trialInterval-now.Sub(last))
		}
	}
	if wait > 0 {
		return wait, false
	}
	for _, trait := range parts {
		t.trials[trait] = now
	}
	return 0, true
}

// IsRefused reports whether a request with the given traits must not be sent to any upstream, not
// even as a trial.
func (t *Table) IsRefused(now time.Time, traits []Trait) bool {
	parts, wait := t.refusedAmong(now, traits)
	return wait > 0 && !t.isInDoubt(parts)
}

// RefusalTime returns how long requests with the given traits are refused, apart from trials. It is
// zero if they are not.
func (t *Table) RefusalTime(now time.Time, traits []Trait) time.Duration {
	_, wait := t.refusedAmong(now, traits)
	return wait
}

// refusedAmong returns the refused prompt parts among traits, and how long the request is refused
// because of them. If a content is refused as well, it returns no parts.
func (t *Table) refusedAmong(now time.Time, traits []Trait) (parts []Trait, wait time.Duration) {
	t.update(now)
	if len(t.refused) == 0 { // as nearly always
		return nil, 0
	}
	hasRefusedContent := false
	for _, trait := range traits {
		if !t.refused[trait] {
			continue
		}
		left := RefusalTTL - now.Sub(t.records[trait].lastCrash)
		if left <= 0 {
			continue
		}
		wait = max(wait, left)
		if trait.Kind == Content {
			hasRefusedContent = true
			continue
		}
		parts = append(parts, trait)
	}
	if hasRefusedContent {
		return nil, wait
	}
	return parts, wait
}

// isInDoubt reports whether the crashes may all be due to other refused parts than the given ones:
// too few of the crashes count against these parts alone.
func (t *Table) isInDoubt(parts []Trait) bool {
	if len(parts) == 0 {
		return false
	}
	own := make(map[boot]int)                // number of the given parts that were in each crash
	seen := make(map[Trait]bool, len(parts)) // a prompt may contain a part twice
	for _, trait := range parts {
		if seen[trait] {
			continue
		}
		seen[trait] = true
		for _, c := range t.records[trait].crashes {
			own[c.boot]++
		}
	}
	due := 0
	for b, count := range own {
		if count == len(t.causes[b]) {
			due++
		}
	}
	return due < partCrashLimit
}

// Refused returns the refused traits, ordered by kind and ID.
func (t *Table) Refused(now time.Time) []Trait {
	t.update(now)
	var list []Trait
	for trait := range t.refused {
		if now.Sub(t.records[trait].lastCrash) < RefusalTTL {
			list = append(list, trait)
		}
	}
	slices.SortFunc(list, compareTraits)
	return list
}

// update computes the refused traits anew if a crash or a survival was recorded or a ConfirmDelay
// has passed since the last time.
func (t *Table) update(now time.Time) {
	if !t.isStale && (t.nextRefusal.IsZero() || now.Before(t.nextRefusal)) {
		return
	}
	t.isStale, t.nextRefusal = false, time.Time{}
	previous := t.refused
	t.refused, t.causes = make(map[Trait]bool), make(map[boot][]Trait)
	defer func() { t.recordChanges(previous) }()
	for {
		parts := t.mostCrashing(now)
		if len(parts) == 0 {
			break
		}
		for _, trait := range parts {
			t.refused[trait] = true
			for _, c := range t.records[trait].crashes {
				t.causes[c.boot] = append(t.causes[c.boot], trait)
			}
		}
	}
	for trait, r := range t.recurring {
		if trait.Kind != Content {
			continue
		}
		if count, _ := r.unexplained(t.causes); count >= contentCrashLimit {
			t.refused[trait] = true
		}
	}
}

// recordChanges adds the differences between the previous and the present refused traits to
// changes.
func (t *Table) recordChanges(previous map[Trait]bool) {
	for trait := range t.refused {
		if !previous[trait] {
			t.changes = append(t.changes, Change{Trait: trait, Refused: true, Crashes: len(t.records[trait].crashes)})
		}
	}
	for trait := range previous {
		if !t.refused[trait] {
			t.changes = append(t.changes, Change{Trait: trait})
		}
	}
	maps.DeleteFunc(t.trials, func(trait Trait, _ time.Time) bool { return !t.refused[trait] })
}

// mostCrashing returns the prompt parts with the most unexplained crashes of those that may be refused
// now, and sets nextRefusal to when further ones may be. Parts with equally many crashes occur
// together, so that the crashes do not distinguish the cause.
func (t *Table) mostCrashing(now time.Time) []Trait {
	var parts []Trait
	most := 0
	t.nextRefusal = time.Time{}
	for trait, r := range t.recurring {
		if trait.Kind != PromptPart || t.refused[trait] {
			continue
		}
		count, first := r.unexplained(t.causes)
		limit, delay := partCrashLimit, ConfirmDelay
		if served, ok := t.survivals[trait]; ok && first.Sub(served.at) < survivalTTL {
			limit, delay = servedCrashLimit, servedConfirmDelay
		}
		if count < limit || count < most {
			continue
		}
		if due := first.Add(delay); now.Before(due) {
			if t.nextRefusal.IsZero() || due.Before(t.nextRefusal) {
				t.nextRefusal = due
			}
			continue
		}
		if count > most {
			parts, most = nil, count
		}
		parts = append(parts, trait)
	}
	return parts
}
