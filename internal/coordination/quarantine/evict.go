package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evict makes room in a full table. It removes the records that are expired or whose crashes count no longer, and if that is
// not enough those with one crash, the oldest first: the next crash under a trait that crashes upstreams is soon. Without such
// records, it removes the quarter with the oldest last crash, those of refused traits last.
func (t *Table) evict(now time.Time) {
	t.update(now)
	for trait, r := range t.records {
		age := now.Sub(r.lastCrash)
		if age >= recordTTL || age >= suspicionTTL && len(r.crashes) < crashLimit(trait.Kind) {
			t.remove(trait)
			delete(t.refused, trait)
		}
	}
	t.isStale = true
	const room = maxRecords / 4
	if len(t.records) <= maxRecords-room {
		t.compactSingle(t.single)
		return
	}
	i := 0
	for ; i < len(t.single) && len(t.records) > maxRecords-room; i++ {
		if t.isSingle(t.single[i]) {
			t.remove(t.single[i])
		}
	}
	t.compactSingle(t.single[i:])
	if len(t.records) < maxRecords {
		return
	}
	list := make([]Trait, 0, len(t.records))
	for trait := range t.records {
		list = append(list, trait)
	}
	slices.SortFunc(list, func(a, b Trait) int {
		if t.refused[a] != t.refused[b] {
			if t.refused[a] {
				return 1
			}
			return -1
		}
		return cmp.Or(t.records[a].lastCrash.Compare(t.records[b].lastCrash), compareTraits(a, b))
	})
	for _, trait := range list[:room] {
		t.remove(trait)
		delete(t.refused, trait)
	}
}

// compactSingle sets single to those of the given traits that have a record with one crash, each once.
func (t *Table) compactSingle(list []Trait) {
	kept := make([]Trait, 0, len(list))
	isKept := make(map[Trait]bool, len(list))
	for _, trait := range list {
		if t.isSingle(trait) && !isKept[trait] {
			kept, isKept[trait] = append(kept, trait), true
		}
	}
	t.single = kept
}

// isSingle reports whether a trait has a record with one crash only.
func (t *Table) isSingle(trait Trait) bool {
	return t.records[trait] != nil && t.recurring[trait] == nil
}

// expireSurvivals makes room in a full table of survivals. It removes the expired ones, and if that is not enough those of
// parts that survived only once: what protects a part that many requests share is seen again soon.
func (t *Table) expireSurvivals(now time.Time) {
	maps.DeleteFunc(t.survivals, func(_ Trait, s survival) bool { return now.Sub(s.at) >= survivalTTL })
	const room = maxSurvivals / 4
	if len(t.survivals) > maxSurvivals-room {
		maps.DeleteFunc(t.survivals, func(_ Trait, s survival) bool { return !s.isRepeated })
	}
	if len(t.survivals) <= maxSurvivals-room {
		return
	}
	list := slices.SortedFunc(maps.Keys(t.survivals), func(a, b Trait) int {
		return cmp.Or(t.survivals[a].at.Compare(t.survivals[b].at), compareTraits(a, b))
	})
	for _, trait := range list[:room] {
		delete(t.survivals, trait)
	}
}
