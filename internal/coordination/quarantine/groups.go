package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/internal/state"
)

// maxGroup is the number of traits in a group. It is below the number of elements that a list in a message may have.
const maxGroup = 1 << 16

// CrashGroup is the form of crashes in messages: a request with thousands of prompt parts breaks with all of them, and parts
// that were in the same crashes share one list of these.
type CrashGroup struct {
	Kind    Kind        `cbor:"1,keyasint,omitempty"` // of the traits
	IDs     []uint64    `cbor:"2,keyasint"`           // of the traits
	Crashes []BootCrash `cbor:"3,keyasint"`           // that count against each of them
}

// BootCrash is the crash of one run of an upstream.
type BootCrash struct {
	Upstream state.UpstreamID `cbor:"1,keyasint"`
	Boot     int64            `cbor:"2,keyasint,omitempty"` // start of the upstream, Unix milliseconds
	Age      time.Duration    `cbor:"3,keyasint,omitempty"`
}

// SurvivalGroup is the form of survivals in messages.
type SurvivalGroup struct {
	Kind Kind          `cbor:"1,keyasint,omitempty"` // of the traits
	IDs  []uint64      `cbor:"2,keyasint"`           // of the traits
	Age  time.Duration `cbor:"3,keyasint,omitempty"`
}

// GroupCrashes groups the crashes of traits that were in the same ones. Groups and their traits are in the order in which list
// first names them.
func GroupCrashes(list []Crash) []CrashGroup {
	byTrait := make(map[Trait][]BootCrash)
	var order []Trait
	for _, c := range list {
		trait := c.Trait()
		if _, ok := byTrait[trait]; !ok {
			order = append(order, trait)
		}
		byTrait[trait] = append(byTrait[trait], BootCrash{Upstream: c.Upstream, Boot: c.Boot, Age: c.Age})
	}
	var groups []CrashGroup
	byKey := make(map[string]int) // index in groups
	var key []byte
	for _, trait := range order {
		crashes := byTrait[trait]
		slices.SortFunc(crashes, compareBootCrashes)
		key = append(key[:0], byte(trait.Kind))
		for _, c := range crashes {
			key = appendBoot(key, c.Upstream, c.Boot)
			key = binary.BigEndian.AppendUint64(key, uint64(c.Age))
		}
		i, ok := byKey[string(key)]
		if !ok || len(groups[i].IDs) >= maxGroup {
			i = len(groups)
			byKey[string(key)] = i
			groups = append(groups, CrashGroup{Kind: trait.Kind, Crashes: crashes})
		}
		groups[i].IDs = append(groups[i].IDs, trait.ID)
	}
	return groups
}

func compareBootCrashes(a, b BootCrash) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Age, b.Age))
}

// appendBoot appends an unambiguous form of a run of an upstream to key.
func appendBoot(key []byte, id state.UpstreamID, start int64) []byte {
	key = binary.AppendUvarint(key, uint64(len(id)))
	key = append(key, id...)
	return binary.BigEndian.AppendUint64(key, uint64(start))
}

// UngroupCrashes returns the crashes in groups.
func UngroupCrashes(groups []CrashGroup) []Crash {
	var list []Crash
	for _, g := range groups {
		for _, id := range g.IDs {
			for _, c := range g.Crashes {
				list = append(list, Crash{ID: id, Kind: g.Kind, Upstream: c.Upstream, Boot: c.Boot, Age: c.Age})
			}
		}
	}
	return list
}

// GroupSurvivals groups survivals of the same time.
func GroupSurvivals(list []Survival) []SurvivalGroup {
	type key struct {
		kind Kind
		age  time.Duration
	}
	var groups []SurvivalGroup
	byKey := make(map[key]int) // index in groups
	for _, s := range list {
		k := key{s.Kind, s.Age}
		i, ok := byKey[k]
		if !ok || len(groups[i].IDs) >= maxGroup {
			i = len(groups)
			byKey[k] = i
			groups = append(groups, SurvivalGroup{Kind: s.Kind, Age: s.Age})
		}
		groups[i].IDs = append(groups[i].IDs, s.ID)
	}
	return groups
}

// UngroupSurvivals returns the survivals in groups.
func UngroupSurvivals(groups []SurvivalGroup) []Survival {
	var list []Survival
	for _, g := range groups {
		for _, id := range g.IDs {
			list = append(list, Survival{Kind: g.Kind, ID: id, Age: g.Age})
		}
	}
	return list
}

// Digest returns a hash of crashes that depends neither on their order nor on their ages. It is never zero.
func Digest(list []Crash) uint64 {
	var sum uint64
	var key []byte
	for _, c := range list {
		key = binary.BigEndian.AppendUint64(append(key[:0], byte(c.Kind)), c.ID)
		sum += xxhash.Sum64(appendBoot(key, c.Upstream, c.Boot))
	}
	return max(sum, 1)
}
