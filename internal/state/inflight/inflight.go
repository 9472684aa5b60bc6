// Package inflight counts operations in flight, so that a shutdown can wait for them.
package inflight

import (
	"context"
	"sync"
)

// Counter counts operations in flight. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	count   int
	waiting bool
	idle    chan struct{} // closed when count is zero while waiting is set
}

// New returns a counter at zero.
func New() *Counter { return &Counter{idle: make(chan struct{})} }

// Add counts the start of an operation.
func (c *Counter) Add() { c.change(1) }

// Done counts the end of an operation.
func (c *Counter) Done() { c.change(-1) }

// Wait blocks until no operation is in flight or ctx is done. It does not cover
// operations that start after it has returned.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	c.waiting = true
	c.closeIfIdle()
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
	c.closeIfIdle()
}

// closeIfIdle closes idle if a caller waits and no operation is in flight. The caller
// must hold mu.
func (c *Counter) closeIfIdle() {
	if !c.waiting || c.count > 0 {
		return
	}
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}
