// Package engine is a small stand-in for a model engine with slots for adapters,
// a batch of running requests, and a restart that loses everything.
package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fetcher loads the weights of an adapter.
type Fetcher interface {
	Fetch(ctx context.Context, source string) error
}

// Options sets the size and speed of an engine.
type Options struct {
	ID            string
	Slots         int           // adapters held at once
	Batch         int           // requests run at once
	TokenTime     time.Duration // time of one decoding step
	Fenced        bool          // refuse orders with an old fencing number
	CrashMarker   string        // a prompt that contains it crashes the engine
	WeightStore   Fetcher
	ReportLag     time.Duration
	DefaultTokens int // tokens of an answer without max_tokens
}

// Violations counts what must never happen to an engine.
type Violations struct {
	UnloadWhileServing int
}

// Engine is the stand-in.
type Engine struct {
	opts Options

	mu         sync.Mutex
	boot       int
	stop       chan struct{} // closed by a restart
	adapters   map[string]bool
	running    map[string]*job
	waiting    int
	fence      uint64
	role       string
	served     int
	violations Violations
	hung       bool
	events     []cacheEvent
	eventSeq   uint64
	reports    []timedReport
	faults     Faults
	cancels    int
	log        []string
	runs       map[string]int // by request id
}

type job struct {
	adapter string
	cancel  chan struct{}
	once    sync.Once
}

func (j *job) stop() { j.once.Do(func() { close(j.cancel) }) }

type timedReport struct {
	at     time.Time
	report LoadReport
}

// New returns a cold engine.
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
		runs:     make(map[string]int),
		role:     "both",
	}
}

// Token returns token i of the answer of an adapter to a prompt. Answers are a
// function of both, so that tests can tell who answered.
func Token(adapter, prompt string, i int) string {
	return fmt.Sprintf(" %04x", xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", adapter, prompt, i))&0xffff)
}

// Answer returns the first n tokens of the answer of an adapter to a prompt.
func Answer(adapter, prompt string, n int) string {
	var text string
	for i := range n {
		text += Token(adapter, prompt, i)
	}
	return text
}

// Restart loses all adapters and requests, and changes the boot id.
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

// SetHung makes the engine accept requests without making progress.
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

// Boots returns how often the engine was started.
func (e *Engine) Boots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Violations returns the counts of what must never happen.
func (e *Engine) Violations() Violations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// Adapters returns the loaded adapters in order.
func (e *Engine) Adapters() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded()
}

// loaded returns the loaded adapters in order. The caller must hold mu.
func (e *Engine) loaded() []string {
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

// serving reports whether an adapter answers a request. The caller must hold mu.
func (e *Engine) serving(adapter string) bool {
	for _, j := range e.running {
		if j.adapter == adapter {
			return true
		}
	}
	return false
}

// checkFence reports whether an order may be carried out. The caller must hold mu.
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
