package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/state"
)

// loaded returns a replica and a catalog with a number of adapters.
func loaded(adapters int) (*configsync.Replica, *state.Catalog) {
	rec, err := configsync.FirstRecord(bigConfig(adapters), "ana", time.Unix(0, 0))
	if err != nil {
		panic(err)
	}
	replica := configsync.NewReplica()
	if err := replica.Apply(&rec); err != nil {
		panic(err)
	}
	edits, err := configsync.Edits(rec.Submission.Changes)
	if err != nil {
		panic(err)
	}
	return replica, state.EmptyCatalog().With(1, "", edits)
}

// adapterChange returns the record of a new version of one adapter.
func adapterChange(replica *configsync.Replica, i, n int) configsync.Record {
	name := fmt.Sprintf("club-%05d", i)
	key := configsync.AdapterKey("advice", name)
	old, _ := replica.Get(key)
	value, err := json.Marshal(deckconfig.Adapter{
		Name:     name,
		Default:  fmt.Sprint("v", n),
		Versions: []deckconfig.Version{{Name: fmt.Sprint("v", n), Source: fmt.Sprintf("weights/%s/v%d", name, n)}},
	})
	if err != nil {
		panic(err)
	}
	sub := configsync.Submission{ID: fmt.Sprint("s", n), Author: "ana", Changes: []configsync.Change{{Key: key, Base: old.Digest, Value: value}}}
	return replica.Next(&sub, time.Unix(0, 0))
}

// BenchmarkApplyChange measures a change of one adapter at a daemon, from record
// to catalog.
func BenchmarkApplyChange(b *testing.B) {
	for _, adapters := range []int{3_000, 82_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			replica, catalog := loaded(adapters)
			b.ReportAllocs()
			n := 2
			for b.Loop() {
				rec := adapterChange(replica, n%adapters, n)
				if err := replica.Apply(&rec); err != nil {
					b.Fatal(err)
				}
				edits, err := configsync.Edits(rec.Submission.Changes)
				if err != nil {
					b.Fatal(err)
				}
				catalog = catalog.With(rec.Revision, replica.Digest().String(), edits)
				n++
			}
		})
	}
}

// BenchmarkMemory reports the heap that a configuration takes at a daemon.
func BenchmarkMemory(b *testing.B) {
	for _, adapters := range []int{3_000, 82_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				replica, catalog := loaded(adapters)
				b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
				runtime.KeepAlive(replica)
				runtime.KeepAlive(catalog)
			}
		})
	}
}

// BenchmarkRecordSize reports the bytes of the record of one adapter's change.
func BenchmarkRecordSize(b *testing.B) {
	replica, _ := loaded(10)
	for b.Loop() {
		rec := adapterChange(replica, 3, 2)
		value, err := json.Marshal(rec)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(value)), "bytes/record")
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
