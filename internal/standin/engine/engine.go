// Package engine is a stand-in for a model engine with an OpenAI-style API, slots for
// adapters, injected faults, and restarts that lose all adapters and requests.
package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fetcher fetches the weights of an adapter from a source.
type Fetcher interface {
	Fetch(ctx context.Context, source string) error
}

// Options configure the size, speed and behavior of an engine.
type Options struct {
	ID            string
	Slots         int           // adapters resident at once
	Batch         int           // reported batch size
	TokenTime     time.Duration // duration of a decoding step
	Fenced        bool          // refuse orders with a stale fencing number
	CrashMarker   string        // prompts that contain it crash the engine
	WeightStore   Fetcher
	ReportLag     time.Duration // minimum age of load reports
	DefaultTokens int           // length of answers to requests without max_tokens
}

// Violations counts events that must never happen.
type Violations struct {
	UnloadWhileServing int
}

// Engine is a model engine. It is safe for concurrent use.
type Engine struct {
	opts Options

	mu         sync.Mutex
	boot       int
	stop       chan struct{}   // closed by a restart
	adapters   map[string]bool // false while the adapter loads
	running    map[string]*job // by request id
	waiting    int
	fence      uint64 // highest fencing number seen
	role       string
	served     int // completed requests
	violations Violations
	hung       bool
	events     []cacheEvent
	eventSeq   uint64
	reports    []timedReport // oldest first
	faults     Faults
	cancels    int // requests ended by cancel calls
	log        []string
	attempts   map[string]int // by request id
}

// job is a running request.
type job struct {
	adapter string
	cancel  chan struct{}
	once    sync.Once
}

func (j *job) abort() { j.once.Do(func() { close(j.cancel) }) }

// timedReport is a load report with its time.
type timedReport struct {
	at     time.Time
	report LoadReport
}

// New returns an engine without adapters.
func New(opts Options) *Engine {
	if opts.DefaultTokens == 0 {
		opts.DefaultTokens = 16
	}
	return &Engine{
		opts:     opts,
		boot:     1,
		stop:     make(chan struct{}),
		adapters: make(map[string]bool),
		running:  make(map[string]*job),
		attempts: make(map[string]int),
		role:     "both",
	}
}

// Token returns token i of an adapter's answer to a prompt. The token depends on the
// adapter and the prompt, so that tests can identify the adapter that answered.
func Token(adapter, prompt string, i int) string {
	return fmt.Sprintf(" %04x", xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", adapter, prompt, i))&0xffff)
}

// Answer returns the first n tokens of an adapter's answer to a prompt.
func Answer(adapter, prompt string, n int) string {
	var text string
	for i := range n {
		text += Token(adapter, prompt, i)
	}
	return text
}

// Restart drops all adapters and requests and changes the boot id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	close(e.stop)
	e.stop = make(chan struct{})
	e.adapters = make(map[string]bool)
	e.running = make(map[string]*job)
	e.reports = nil
	e.events = nil
}

// SetHung sets whether the engine accepts requests without making progress.
func (e *Engine) SetHung(hung bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hung = hung
}

// Served returns the number of completed requests.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// Boots returns the number of starts, the first one included.
func (e *Engine) Boots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Violations returns the violations counted so far.
func (e *Engine) Violations() Violations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// Adapters returns the loaded adapters, sorted by name.
func (e *Engine) Adapters() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadedAdapters()
}

// loadedAdapters returns the loaded adapters, sorted by name. The caller must hold mu.
func (e *Engine) loadedAdapters() []string {
	names := make([]string, 0, len(e.adapters))
	for name, ready := range e.adapters {
		if ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// bootID returns the boot id. The caller must hold mu.
func (e *Engine) bootID() string { return fmt.Sprintf("%s-boot-%d", e.opts.ID, e.boot) }

// serving reports whether a running request uses an adapter. The caller must hold mu.
func (e *Engine) serving(adapter string) bool {
	for _, j := range e.running {
		if j.adapter == adapter {
			return true
		}
	}
	return false
}

// checkFence reports whether the fencing number of an order is at least the highest number
// seen so far, and keeps the highest number. Without Options.Fenced it accepts every order.
// The caller must hold mu.
func (e *Engine) checkFence(fence uint64) bool {
	if !e.opts.Fenced {
		return true
	}
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}
