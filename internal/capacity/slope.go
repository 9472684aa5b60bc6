package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	residentPerEngine = 16
	measureFor        = 300 * time.Millisecond
	baseModel         = "base"
)

// Slopes are the measured costs per unit.
type Slopes struct {
	RecordBytes   float64 // of the record of one adapter's change
	ApplySeconds  float64 // of CPU to bring a change into force at a daemon
	ConfigBytes   float64 // of memory for each adapter
	StatusBytes   float64 // of the status of one upstream in a message
	StatusSeconds float64 // of CPU to encode and decode a status
	BeatBytes     float64 // of a heartbeat without statuses
	BeatSeconds   float64 // of CPU to encode and decode it
	UpstreamBytes float64 // of memory for each upstream in the table of an entry
	PickSeconds   float64 // of CPU for a routing choice
	OwnerSeconds  float64 // of CPU for a request's way through an owner's core
	OwnedBytes    float64 // of memory for each owned upstream
	ChunkSeconds  float64 // of CPU to encode and decode a chunk between daemons
	ChunkBytes    float64 // of a chunk between daemons
	LoadBytes     float64 // of the load of one upstream in a message
	LoadSeconds   float64 // of CPU to encode and decode it
}

// Measure measures all slopes on this machine.
func Measure(t Target) Slopes {
	var s Slopes
	s.measureConfig(t)
	s.measureStatus()
	s.measureRouting(t)
	s.measureOwner()
	s.measureChunk()
	s.LoadBytes, s.LoadSeconds = loadBytes(), loadSeconds()
	return s
}

// timed returns the seconds of one call of step, averaged over a short while.
func timed(step func(i int)) float64 {
	step(0)
	start := time.Now()
	n := 0
	for time.Since(start) < measureFor {
		for range 64 {
			n++
			step(n)
		}
	}
	return time.Since(start).Seconds() / float64(n)
}

// grown returns the bytes by which the heap grows through build.
func grown(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func adapterName(i int) string { return fmt.Sprintf("club-%05d", i) }

func ref(i int) state.AdapterRef {
	return state.AdapterRef{Service: "advice", Adapter: adapterName(i), Version: "v1"}
}

func config(adapters int) *deckconfig.Config {
	c := &deckconfig.Config{
		Format:   deckconfig.Format,
		Services: []deckconfig.Service{{Name: "advice", Kind: deckconfig.ModelService, BaseModel: baseModel}},
	}
	for i := range adapters {
		c.Services[0].Adapters = append(c.Services[0].Adapters, deckconfig.Adapter{
			Name:     adapterName(i),
			Default:  "v1",
			Versions: []deckconfig.Version{{Name: "v1", Source: "weights/" + adapterName(i) + "/v1"}},
		})
	}
	return c
}

type loaded struct {
	replica *configsync.Replica
	catalog *state.Catalog
}

func load(adapters int) loaded {
	rec := must(configsync.FirstRecord(config(adapters), "ana", time.Unix(0, 0)))
	value := must(json.Marshal(rec))
	var own configsync.ChangeRecord
	if err := json.Unmarshal(value, &own); err != nil {
		panic(err)
	}
	replica := configsync.NewReplica()
	if err := replica.Apply(&own); err != nil {
		panic(err)
	}
	edits := must(configsync.CatalogEdits(own.Submission.Changes))
	return loaded{replica: replica, catalog: state.EmptyCatalog().With(1, "", edits)}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (s *Slopes) measureConfig(t Target) {
	s.ConfigBytes = grown(func() any { return load(t.Adapters) }) / float64(t.Adapters)
	l := load(t.Adapters)
	n := 2
	s.ApplySeconds = timed(func(int) {
		rec := change(l.replica, n%t.Adapters, n)
		if err := l.replica.Apply(&rec); err != nil {
			panic(err)
		}
		edits := must(configsync.CatalogEdits(rec.Submission.Changes))
		l.catalog = l.catalog.With(rec.Revision, l.replica.Digest().String(), edits)
		n++
	})
	rec := change(l.replica, 1, n)
	s.RecordBytes = float64(len(must(json.Marshal(rec))))
}

// change returns the record of a new version of one adapter.
func change(replica *configsync.Replica, i, n int) configsync.ChangeRecord {
	name := adapterName(i)
	key := configsync.AdapterKey("advice", name)
	old, _ := replica.Get(key)
	version := fmt.Sprint("v", n)
	value := must(json.Marshal(deckconfig.Adapter{
		Name:     name,
		Default:  version,
		Versions: []deckconfig.Version{{Name: version, Source: "weights/" + name + "/" + version}},
	}))
	sub := configsync.Submission{
		ID:      fmt.Sprintf("%024d", n),
		Author:  "ana",
		Changes: []configsync.Change{{Key: key, Base: old.Digest, Value: value}},
	}
	return replica.NextRecord(&sub, time.Unix(0, 0))
}

func upstreamStatus(i int) protocol.UpstreamStatus {
	s := protocol.UpstreamStatus{
		ID:      state.UpstreamID(fmt.Sprintf("zone-%02d-engine-%04d", i%20, i)),
		Epoch:   17,
		Boot:    "3f9c1d20aa47",
		Healthy: true,
		Running: 20,
		Queued:  3,
		Slots:   residentPerEngine,
		Batch:   32,
	}
	for j := range residentPerEngine {
		s.Resident = append(s.Resident, ref(i*7+j))
	}
	return s
}

func (s *Slopes) measureStatus() {
	beat := protocol.Heartbeat{Daemon: "zone-07-entry-12", Incarnation: "9f3b20c81d77", Zone: "zone-07", Sequence: 1 << 20, Revision: 1 << 20}
	full := beat
	for i := range 16 {
		full.Upstreams = append(full.Upstreams, upstreamStatus(i))
	}
	s.BeatBytes = float64(len(must(cbor.Marshal(beat))))
	s.StatusBytes = (float64(len(must(cbor.Marshal(full)))) - s.BeatBytes) / 16
	s.BeatSeconds = timed(func(int) { roundTrip(beat) })
	s.StatusSeconds = (timed(func(int) { roundTrip(full) }) - s.BeatSeconds) / 16
}

func roundTrip(beat protocol.Heartbeat) {
	data := must(cbor.Marshal(beat))
	var out protocol.Heartbeat
	if err := cbor.Unmarshal(data, &out); err != nil {
		panic(err)
	}
}

func fleet(engines, adapters int) *state.Fleet {
	rng := rand.New(rand.NewPCG(1, 2))
	f := state.NewFleet()
	for i := range engines {
		u := state.Upstream{
			ID: state.UpstreamID(fmt.Sprintf("zone-%02d-engine-%04d", i%20, i)), Zone: state.Zone(fmt.Sprintf("zone-%02d", i%20)),
			Region: "region-1", Kind: state.KindEngine, Base: baseModel, Owner: "owner", Healthy: true, Slots: residentPerEngine, Batch: 32,
		}
		for range residentPerEngine {
			u.Resident = append(u.Resident, ref(rng.IntN(adapters)))
		}
		f.Put(u)
	}
	return f
}

func (s *Slopes) measureRouting(t Target) {
	s.UpstreamBytes = grown(func() any { return fleet(t.Engines, t.Adapters) }) / float64(t.Engines)
	router := routing.NewScored(routing.Options{
		Fleet:   fleet(t.Engines, t.Adapters),
		Weights: routing.DefaultWeights(),
		Rand:    rand.New(rand.NewPCG(3, 4)),
	})
	requests := make([]*routing.Request, 4096)
	for i := range requests {
		requests[i] = &routing.Request{
			Adapter: ref(i * 19 % t.Adapters), Base: baseModel, Service: "advice", Zone: "zone-01", Region: "region-1", PromptTokens: 200,
		}
	}
	now := time.Unix(1_000_000, 0)
	s.PickSeconds = timed(func(i int) { router.Pick(now, requests[i%len(requests)]) })
}

// measureOwner runs requests of resident adapters through an owner's core.
func (s *Slopes) measureOwner() {
	s.OwnedBytes = grown(func() any {
		const cores = 64
		var all []owner.Core
		for range cores {
			all = append(all, readyCore())
		}
		return all
	}) / 64
	core := readyCore()
	now := time.Unix(1_000_000, 0)
	s.OwnerSeconds = timed(func(i int) {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		core.Handle(now, owner.Enqueue{Request: owner.Request{
			ID: id, Class: state.Class{Customer: "c", Service: "advice"}, Adapter: ref(i % residentPerEngine),
			Deadline: now.Add(time.Minute), PromptTokens: 200, MaxTokens: 200,
		}})
		core.Handle(now, owner.Ended{ID: id})
	})
}

func readyCore() owner.Core {
	now := time.Unix(999_999, 0)
	core := owner.NewScheduler(owner.DefaultOptions())
	core.Handle(now, owner.Ranks{Ranks: []state.RankInfo{{Rank: 0, Name: "arbiter", FirstToken: time.Second, Worth: 10, Share: 0.3}}})
	core.Handle(now, owner.Permissions{Epoch: 1, MayDispatch: true, MayLoad: true, MayUnload: true})
	report := owner.Report{Boot: "b", Slots: residentPerEngine, Batch: 32}
	for i := range residentPerEngine {
		report.Resident = append(report.Resident, ref(i))
	}
	core.Handle(now, report)
	return core
}

func (s *Slopes) measureChunk() {
	chunk := protocol.Chunk{Attempt: 1, Offset: 117, Count: 1, Data: []byte(" clock")}
	const frameHeader = 5
	s.ChunkBytes = float64(len(must(cbor.Marshal(chunk)))) + frameHeader
	s.ChunkSeconds = timed(func(int) {
		data := must(cbor.Marshal(chunk))
		var out protocol.Chunk
		if err := cbor.Unmarshal(data, &out); err != nil {
			panic(err)
		}
	})
}
