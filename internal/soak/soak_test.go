package soak

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// build builds the daemon and returns the path of the program. If overlay is not empty, it
// names a file for go build -overlay that replaces source files.
func build(c *qt.C, overlay string) string {
	binary := filepath.Join(c.TempDir(), "celerydeckd")
	out, err := exec.Command("go", "build", "-overlay", overlay, "-o", binary, "../../cmd/celerydeckd").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// shortSeeds together cover faults of the store, of links and of processes, and changes
// of the configuration.
var shortSeeds = []uint64{2, 3}

// crashSeeds also have requests with a prompt part that crashes engines.
var crashSeeds = []uint64{2001}

// crashRate is the rate of these requests, per second.
const crashRate = 5

// failedSeeds are the regression cases: every seed that ever failed, with the cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{101, "the caller stand-in did not record the end of answers, so that Check excused no failure by a disturbance"},
	{117, "same as seed 101"},
	{123, "same as seed 101"},
	{124, "same as seed 101"},
}

// maxParallelSeeds limits the seeds that run at the same time, for machines with few cores.
const maxParallelSeeds = 3

func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	binary := build(c, "")
	var wg sync.WaitGroup
	seeds := append(slices.Clone(shortSeeds), crashSeeds...)
	for _, f := range failedSeeds {
		seeds = append(seeds, f.seed)
	}
	tokens := make(chan struct{}, maxParallelSeeds)
	for _, seed := range seeds {
		size := DefaultSize()
		if slices.Contains(crashSeeds, seed) {
			size.CrashRate = crashRate
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			tokens <- struct{}{}
			defer func() { <-tokens }()
			var out bytes.Buffer
			v, err := Run(context.Background(), Options{Binary: binary, Dir: c.TempDir(), Seed: seed, Size: size, Out: &out})
			if err != nil || len(v.Violations) > 0 {
				t.Errorf("seed %d: %v %v\n%s", seed, err, v.Violations, out.String())
			}
			t.Logf("seed %d: %.3f served", seed, v.Served)
		}()
	}
	wg.Wait()
}
