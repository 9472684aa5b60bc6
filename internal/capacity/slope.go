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
	minMeasureTime    = 300 * time.Millisecond
	baseModel         = "base"
)

// Slopes are the measured costs per unit. Bytes are sizes of encoded messages unless memory is named.
type Slopes struct {
	ChangeRecordBytes    float64 // of a change record for one adapter
	ApplySeconds         float64 // of CPU to bring a change into force at a daemon
	AdapterConfigBytes   float64 // of memory for each configured adapter
	StatusBytes          float64 // of the status of one upstream in a message
	StatusSeconds        float64 // of CPU to encode and decode a status
	HeartbeatBytes       float64 // of a heartbeat without statuses
	HeartbeatSeconds     float64 // of CPU to encode and decode a heartbeat without statuses
	RoutingUpstreamBytes float64 // of memory for each upstream in the routing table of an entry daemon
	RouteSeconds         float64 // of CPU for a routing choice
	OwnerRequestSeconds  float64 // of CPU to enqueue, dispatch and complete a request in an owner's core
	OwnerCoreBytes       float64 // of memory for an owner's core, one for each upstream it owns
	ChunkSeconds         float64 // of CPU to encode and decode a chunk between daemons
	ChunkBytes           float64 // of a chunk between daemons
	LoadReportBytes      float64 // of the load of one upstream, its running and queued requests
	LoadReportSeconds    float64 // of CPU to encode and decode the load of one upstream
	Prompts              PromptSlopes
}

// Measure measures all slopes on this machine.
func Measure(t Target) Slopes {
	var s Slopes
	s.measureConfig(t)
	s.measureStatus()
	s.measureRouting(t)
	s.measureOwner()
	s.measureChunk()
	s.LoadReportBytes, s.LoadReportSeconds = loadReportBytes(), loadReportSeconds()
	s.Prompts = measurePrompts()
	return s
}

// secondsPerCall returns the mean time of a call of step over at least minMeasureTime. The first call is a warm-up
// and not measured.
func secondsPerCall(step func(i int)) float64 {
	step(0)
	start := time.Now()
	n := 0
	for time.Since(start) < minMeasureTime {
		for range 64 {
			n++
			step(n)
		}
	}
	return time.Since(start).Seconds() / float64(n)
}

// heapGrowth returns the bytes of live heap objects that build adds and returns.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func adapterName(i int) string { return fmt.Sprintf("club-%05d", i) }

// adapterRef returns the first version of adapter i.
func adapterRef(i int) state.AdapterRef {
	return state.AdapterRef{Service: "advice", Adapter: adapterName(i), Version: "v1"}
}

// sampleConfig returns a configuration of one service with the given number of adapters.
func sampleConfig(adapters int) *deckconfig.Config {
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

// configState is the configuration as a daemon holds it: the objects and the catalog compiled from them.
type configState struct {
	replica *configsync.Replica
	catalog *state.Catalog
}

// applyConfig applies a configuration with the given number of adapters.
func applyConfig(adapters int) configState {
	rec := must(configsync.FirstRecord(sampleConfig(adapters), "ana", time.Unix(0, 0)))
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
	return configState{replica: replica, catalog: state.EmptyCatalog().With(1, "", edits)}
}

// must returns v. It panics if err is not nil, because the measurements have no expected errors.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// measureConfig measures the memory of a configuration and the cost of applying a change to it.
func (s *Slopes) measureConfig(t Target) {
	s.AdapterConfigBytes = heapGrowth(func() any { return applyConfig(t.Adapters) }) / float64(t.Adapters)
	l := applyConfig(t.Adapters)
	n := 2
	s.ApplySeconds = secondsPerCall(func(int) {
		rec := changeRecord(l.replica, n%t.Adapters, n)
		if err := l.replica.Apply(&rec); err != nil {
			panic(err)
		}
		edits := must(configsync.CatalogEdits(rec.Submission.Changes))
		l.catalog = l.catalog.With(rec.Revision, l.replica.Digest().String(), edits)
		n++
	})
	rec := changeRecord(l.replica, 1, n)
	s.ChangeRecordBytes = float64(len(must(json.Marshal(rec))))
}

// changeRecord returns the record that replaces the version of adapter i by version n.
func changeRecord(replica *configsync.Replica, i, n int) configsync.ChangeRecord {
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

// sampleUpstreamStatus returns the status of an engine with residentPerEngine adapters.
func sampleUpstreamStatus(i int) protocol.UpstreamStatus {
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
		s.Resident = append(s.Resident, adapterRef(i*7+j))
	}
	return s
}

// measureStatus measures a heartbeat without statuses and a heartbeat with 16 statuses, and derives the cost of one
// status from the difference.
func (s *Slopes) measureStatus() {
	heartbeat := protocol.Heartbeat{Daemon: "zone-07-entry-12", Incarnation: "9f3b20c81d77", Zone: "zone-07", Sequence: 1 << 20, Revision: 1 << 20}
	full := heartbeat
	for i := range 16 {
		full.Upstreams = append(full.Upstreams, sampleUpstreamStatus(i))
	}
	s.HeartbeatBytes = float64(len(must(cbor.Marshal(heartbeat))))
	s.StatusBytes = (float64(len(must(cbor.Marshal(full)))) - s.HeartbeatBytes) / 16
	s.HeartbeatSeconds = secondsPerCall(func(int) { roundTrip(heartbeat) })
	s.StatusSeconds = (secondsPerCall(func(int) { roundTrip(full) }) - s.HeartbeatSeconds) / 16
}

// roundTrip encodes and decodes a heartbeat.
func roundTrip(heartbeat protocol.Heartbeat) {
	data := must(cbor.Marshal(heartbeat))
	var out protocol.Heartbeat
	if err := cbor.Unmarshal(data, &out); err != nil {
		panic(err)
	}
}

// sampleFleet returns a fleet whose engines hold random adapters.
func sampleFleet(engines, adapters int) *state.Fleet {
	rng := rand.New(rand.NewPCG(1, 2))
	f := state.NewFleet()
	for i := range engines {
		u := state.Upstream{
			ID: state.UpstreamID(fmt.Sprintf("zone-%02d-engine-%04d", i%20, i)), Zone: state.Zone(fmt.Sprintf("zone-%02d", i%20)),
			Region: "region-1", Kind: state.KindEngine, Base: baseModel, Owner: "owner", Healthy: true, Slots: residentPerEngine, Batch: 32,
		}
		for range residentPerEngine {
			u.Resident = append(u.Resident, adapterRef(rng.IntN(adapters)))
		}
		f.Put(u)
	}
	return f
}

// measureRouting measures the routing table and a routing choice over all engines.
func (s *Slopes) measureRouting(t Target) {
	s.RoutingUpstreamBytes = heapGrowth(func() any { return sampleFleet(t.Engines, t.Adapters) }) / float64(t.Engines)
	router := routing.NewScored(routing.Options{
		Fleet:   sampleFleet(t.Engines, t.Adapters),
		Weights: routing.DefaultWeights(),
		Rand:    rand.New(rand.NewPCG(3, 4)),
	})
	requests := make([]*routing.Request, 4096)
	for i := range requests {
		requests[i] = &routing.Request{
			Adapter: adapterRef(i * 19 % t.Adapters), Base: baseModel, Service: "advice", Zone: "zone-01", Region: "region-1", PromptTokens: 200,
		}
	}
	now := time.Unix(1_000_000, 0)
	s.RouteSeconds = secondsPerCall(func(i int) { router.Pick(now, requests[i%len(requests)]) })
}

// measureOwner measures the scheduling of requests for resident adapters in an owner's core.
func (s *Slopes) measureOwner() {
	s.OwnerCoreBytes = heapGrowth(func() any {
		const cores = 64
		var all []owner.Core
		for range cores {
			all = append(all, readyOwnerCore())
		}
		return all
	}) / 64
	core := readyOwnerCore()
	now := time.Unix(1_000_000, 0)
	s.OwnerRequestSeconds = secondsPerCall(func(i int) {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		core.Handle(now, owner.Enqueue{Request: owner.Request{
			ID: id, Class: state.Class{Customer: "c", Service: "advice"}, Adapter: adapterRef(i % residentPerEngine),
			Deadline: now.Add(time.Minute), PromptTokens: 200, MaxTokens: 200,
		}})
		core.Handle(now, owner.Ended{ID: id})
	})
}

// readyOwnerCore returns a core that has the permissions to dispatch, load and unload. Adapters occupy all slots of
// its engine.
func readyOwnerCore() owner.Core {
	now := time.Unix(999_999, 0)
	core := owner.NewScheduler(owner.DefaultOptions())
	core.Handle(now, owner.Ranks{Ranks: []state.RankInfo{{Rank: 0, Name: "arbiter", FirstToken: time.Second, Worth: 10, Share: 0.3}}})
	core.Handle(now, owner.Permissions{Epoch: 1, MayDispatch: true, MayLoad: true, MayUnload: true})
	report := owner.Report{Boot: "b", Slots: residentPerEngine, Batch: 32}
	for i := range residentPerEngine {
		report.Resident = append(report.Resident, adapterRef(i))
	}
	core.Handle(now, report)
	return core
}

// measureChunk measures the size and the encoding of a chunk of a stream between daemons.
func (s *Slopes) measureChunk() {
	chunk := protocol.Chunk{Attempt: 1, Offset: 117, Count: 1, Data: []byte(" clock")}
	const frameHeader = 5 // bytes
	s.ChunkBytes = float64(len(must(cbor.Marshal(chunk)))) + frameHeader
	s.ChunkSeconds = secondsPerCall(func(int) {
		data := must(cbor.Marshal(chunk))
		var out protocol.Chunk
		if err := cbor.Unmarshal(data, &out); err != nil {
			panic(err)
		}
	})
}
