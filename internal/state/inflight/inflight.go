// Package inflight counts work in progress so that a shutdown can wait for it.
package inflight

import (
	"context"
	"sync"
)

// Counter counts work in progress. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	count   int
	waiting bool
	idle    chan struct{} // closed once waiting is set and count is zero
}

// New returns a counter at zero.
func New() *Counter { return &Counter{idle: make(chan struct{})} }

// Add notes that a piece of work began.
func (c *Counter) Add() { c.change(1) }

// Done notes that a piece of work ended.
func (c *Counter) Done() { c.change(-1) }

// Wait returns when no work is in progress, or with the error of ctx. Work that
// begins after it returned is not waited for.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	c.waiting = true
	c.signal()
	c.mu.Unlock()
	select {
	case <-c.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Counter) change(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += n
	c.signal()
}

// signal closes idle once. The caller must hold mu.
func (c *Counter) signal() {
	if !c.waiting || c.count > 0 {
		return
	}
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}
