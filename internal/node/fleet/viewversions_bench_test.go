package fleet

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// BenchmarkVersionsAtTheTargetSize announces a version of each of 82,000 adapters. It reports the memory of a daemon for
// each, the time to record one, and the time of the list for a peer that has none.
func BenchmarkVersionsAtTheTargetSize(b *testing.B) {
	const adapters = 82_000
	log := decisionlog.New(io.Discard, "vm")
	b.Cleanup(log.Close)
	names := make([]upstreams.Adapter, adapters)
	for i := range names {
		names[i] = upstreams.Adapter{Model: "m", Name: fmt.Sprint("a", i)}
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var bytes uint64
	var record, list time.Duration
	for b.Loop() {
		before := heap()
		v := NewView(ViewOptions{OutdatedGracePeriod: 3 * time.Second, Log: log, Clock: time.Now})
		began := time.Now()
		for _, a := range names {
			v.RecordVersion(upstreams.Version{Adapter: a, Version: 2})
		}
		record += time.Since(began)
		bytes += heap() - before
		began = time.Now()
		if len(v.announcements()) != adapters {
			b.Fatal("announcements are missing")
		}
		list += time.Since(began)
	}
	b.ReportMetric(float64(bytes)/float64(b.N)/adapters, "B/adapter")
	b.ReportMetric(float64(record.Nanoseconds())/float64(b.N)/adapters, "ns/announcement")
	b.ReportMetric(float64(list.Milliseconds())/float64(b.N), "ms/list")
}
