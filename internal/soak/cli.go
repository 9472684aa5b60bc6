package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"github.com/alexflint/go-arg"
)

// Exit codes of decksoak.
const (
	exitPassed = iota
	exitViolated
	exitFailed
)

// maxCrashRate is the highest rate of requests that crash engines, per second.
const maxCrashRate = 100

type args struct {
	Daemon  string  `arg:"--daemon,env:DECKSOAK_DAEMON" default:"bin/celerydeckd" help:"the daemon's program"`
	Seed    uint64  `arg:"--seed" help:"the first seed; 0 selects a random one"`
	Seeds   int     `arg:"--seeds" default:"1" help:"how many consecutive seeds to run"`
	Jobs    int     `arg:"--jobs" default:"2" help:"how many seeds to run at the same time"`
	Daemons int     `arg:"--daemons" default:"4" help:"daemon processes in each run"`
	Crashes float64 `arg:"--crashes" help:"requests per second that crash the engines that answer them"`
	Dir     string  `arg:"--dir" default:"/tmp/decksoak" help:"directory for the settings and logs of each seed"`
	Plan    bool    `arg:"--plan" help:"print the planned faults of the seeds and run nothing"`
}

// Description returns the help text that go-arg prints.
func (args) Description() string {
	return "Runs daemons under random faults drawn from seeds and checks what callers and upstreams observe."
}

// Main runs decksoak with its command-line arguments and returns its exit code.
func Main(ctx context.Context, argv []string, out io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "decksoak"}, &a)
	if err != nil {
		fmt.Fprintln(out, err)
		return exitFailed
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitPassed
	case err != nil:
		p.WriteUsage(out)
		fmt.Fprintln(out, err)
		return exitFailed
	case a.Seeds < 1 || a.Jobs < 1 || a.Daemons < 1:
		fmt.Fprintln(out, "--seeds, --jobs and --daemons must be 1 or more")
		return exitFailed
	case !(a.Crashes >= 0 && a.Crashes <= maxCrashRate):
		fmt.Fprintf(out, "--crashes must be from 0 to %d\n", maxCrashRate)
		return exitFailed
	}
	if a.Seed == 0 {
		a.Seed = rand.Uint64N(1 << 32)
	}
	return a.runSeeds(ctx, out)
}

// tally accumulates the results of several seeds. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	violated []uint64
	failed   []uint64
	checked  map[string]int
	events   map[EventKind]int
	run      int // number of seeds
}

// runSeeds runs all seeds, a.Jobs at a time, and returns the exit code.
func (a *args) runSeeds(ctx context.Context, out io.Writer) int {
	size := DefaultSize()
	size.Daemons, size.CrashRate = a.Daemons, a.Crashes
	t := &tally{checked: make(map[string]int), events: make(map[EventKind]int)}
	seeds := make(chan uint64)
	var wg sync.WaitGroup
	for range a.Jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range seeds {
				a.runSeed(ctx, out, seed, size, t)
			}
		}()
	}
	for i := range a.Seeds {
		seeds <- a.Seed + uint64(i)
	}
	close(seeds)
	wg.Wait()
	if a.Plan {
		return exitPassed
	}
	t.print(out)
	switch {
	case len(t.violated) > 0:
		return exitViolated
	case len(t.failed) > 0:
		return exitFailed
	}
	return exitPassed
}

// runSeed runs or prints one seed and writes its output in one piece.
func (a *args) runSeed(ctx context.Context, out io.Writer, seed uint64, size Size, t *tally) {
	if ctx.Err() != nil {
		return
	}
	plan := Plan(seed, size)
	var text bytes.Buffer // keeps the output of concurrent seeds apart
	fmt.Fprintf(&text, "seed %d (reproduce: decksoak --seed %d --daemons %d --crashes %g)\n", seed, seed, size.Daemons, size.CrashRate)
	if a.Plan {
		for _, e := range plan {
			fmt.Fprintln(&text, e)
		}
		_, _ = out.Write(text.Bytes())
		return
	}
	v, err := Run(ctx, Options{Binary: a.Daemon, Dir: filepath.Join(a.Dir, fmt.Sprint(seed)), Seed: seed, Size: size, Out: &text})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.run++
	for _, e := range plan {
		t.events[e.Kind]++
	}
	for guarantee, n := range v.Checked {
		t.checked[guarantee] += n
	}
	switch {
	case err != nil:
		t.failed = append(t.failed, seed)
		fmt.Fprintf(&text, "did not complete: %v\n", err)
	case len(v.Violations) > 0:
		t.violated = append(t.violated, seed)
		for _, b := range v.Violations {
			fmt.Fprintf(&text, "VIOLATED %s\n", b)
		}
	}
	fmt.Fprintf(&text, "seed %d: %d faults and changes, %.3f served, %.3f at the end, %d guarantees violated\n", seed, len(plan), v.Served, v.Tail, len(v.Violations))
	_, _ = out.Write(text.Bytes())
}

func (t *tally) print(out io.Writer) {
	fmt.Fprintf(out, "%d seeds\nfaults and changes:\n", t.run)
	for _, k := range slices.Sorted(maps.Keys(t.events)) {
		fmt.Fprintf(out, "%6d  %s\n", t.events[k], k)
	}
	fmt.Fprintln(out, "guarantees checked:")
	for _, p := range slices.Sorted(maps.Keys(t.checked)) {
		fmt.Fprintf(out, "%6d  %s\n", t.checked[p], p)
	}
	fmt.Fprintf(out, "seeds with violations: %d %v, seeds that did not complete: %d %v\n", len(t.violated), t.violated, len(t.failed), t.failed)
}
