package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/cli"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/state"
)

// largeAdapters is the number of adapters of the design target.
const largeAdapters = 82_000

// largeConfig returns the configuration of the demo with additional adapters.
func largeConfig(adapters int) *deckconfig.Config {
	config := demo.DefaultConfig()
	list := make([]deckconfig.Adapter, adapters)
	for i := range list {
		name := fmt.Sprintf("club-%05d", i)
		list[i] = deckconfig.Adapter{Name: name, Default: "v1", Versions: []deckconfig.Version{{Name: "v1", Source: "weights/" + name + "/v1"}}}
	}
	config.Services[0].Adapters = append(config.Services[0].Adapters, list...)
	return config
}

// runOnDemo runs the command at the first daemon of the demo and requires that it succeeds.
func runOnDemo(tb testing.TB, d *demo.Demo, args ...string) string {
	tb.Helper()
	key := filepath.Join(tb.TempDir(), "key")
	qt.Assert(tb, os.WriteFile(key, []byte(demo.OperatorKey), 0o600), qt.IsNil)
	var out, errs bytes.Buffer
	all := append([]string{"--addr", d.Daemons[0].AdminAddr(), "--key-file", key, "--timeout", "2m"}, args...)
	code := cli.Run(context.Background(), cli.Shell{Stdout: &out, Stderr: &errs, Stdin: strings.NewReader(""), Clock: time.Now}, all)
	qt.Assert(tb, code, qt.Equals, cli.ExitOK, qt.Commentf("%.2000s", errs.String()))
	return out.String()
}

// BenchmarkLarge measures the duration of commands with a configuration of largeAdapters adapters. Run the
// benchmark with -benchtime=1x.
func BenchmarkLarge(b *testing.B) {
	config := largeConfig(largeAdapters)
	file := filepath.Join(b.TempDir(), "large.json")
	b.Run("print", func(b *testing.B) {
		for b.Loop() {
			f, err := os.Create(file)
			qt.Assert(b, err, qt.IsNil)
			qt.Assert(b, config.Write(f), qt.IsNil)
			qt.Assert(b, f.Close(), qt.IsNil)
		}
	})
	d := startDemo(b)
	for _, step := range []struct {
		name string
		args []string
	}{
		{"validate", []string{"validate", file}},
		{"diff", []string{"diff", file}},
		{"apply", []string{"apply", "--base", "1", file}},
		{"get", []string{"get"}},
	} {
		b.Run(step.name, func(b *testing.B) {
			for b.Loop() {
				runOnDemo(b, d, step.args...)
			}
		})
	}
	adapters := config.Services[0].Adapters
	adapters[len(adapters)-1].Versions = append(adapters[len(adapters)-1].Versions, deckconfig.Version{Name: "v2", Source: "w"})
	f, err := os.Create(file)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, config.Write(f), qt.IsNil)
	b.Run("diff-one", func(b *testing.B) {
		for b.Loop() {
			runOnDemo(b, d, "diff", file)
		}
	})
	b.Run("apply-one", func(b *testing.B) {
		for b.Loop() {
			runOnDemo(b, d, "apply", "--base", "2", file)
		}
	})
}

// largeRecord returns the encoded change record that creates the large configuration.
func largeRecord(b *testing.B) []byte {
	rec, err := configsync.FirstRecord(largeConfig(largeAdapters), "bench", time.Now())
	qt.Assert(b, err, qt.IsNil)
	data, err := json.Marshal(rec)
	qt.Assert(b, err, qt.IsNil)
	return data
}

// BenchmarkLargeMemory measures the memory that a daemon needs for a configuration of largeAdapters adapters:
// the configuration objects and the catalog compiled from these objects.
func BenchmarkLargeMemory(b *testing.B) {
	data := largeRecord(b)
	before := heapBytes()
	var own configsync.ChangeRecord
	qt.Assert(b, json.Unmarshal(data, &own), qt.IsNil)
	replica := configsync.NewReplica()
	qt.Assert(b, replica.Apply(&own), qt.IsNil)
	edits, err := configsync.CatalogEdits(own.Submission.Changes)
	qt.Assert(b, err, qt.IsNil)
	own = configsync.ChangeRecord{}
	catalog := state.EmptyCatalog().With(1, "", edits)
	after := heapBytes()
	b.ReportMetric(float64(after-before)/largeAdapters, "B/adapter")
	b.ReportMetric(float64(after-before)/(1<<20), "MiB")
	runtime.KeepAlive(replica)
	runtime.KeepAlive(catalog)
	runtime.KeepAlive(data)
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
