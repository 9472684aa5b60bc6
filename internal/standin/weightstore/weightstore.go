// Package weightstore is a small stand-in for the rate-limited store of weights.
package weightstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFailed reports a load that was told to fail.
var ErrFailed = errors.New("weightstore: load failed")

// Store takes Base for a load while up to Knee loads are in flight, and longer
// in proportion beyond that.
type Store struct {
	LoadTime       time.Duration
	FullSpeedLoads int

	mu       sync.Mutex
	inFlight int
	loads    int
	failing  map[string]bool
}

// New returns a store.
func New(base time.Duration, knee int) *Store {
	return &Store{LoadTime: base, FullSpeedLoads: knee, failing: make(map[string]bool)}
}

// SetFailing makes the loads of a source fail.
func (s *Store) SetFailing(source string, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing[source] = failing
}

// Loads returns the number of loads that were started.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Fetch takes as long as the load of a source takes now.
func (s *Store) Fetch(ctx context.Context, source string) error {
	s.mu.Lock()
	s.loads++
	s.inFlight++
	took := s.LoadTime * time.Duration(max(s.inFlight, s.FullSpeedLoads)) / time.Duration(s.FullSpeedLoads)
	fails := s.failing[source]
	s.mu.Unlock()
	defer s.release()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if fails {
		return ErrFailed
	}
	return nil
}

func (s *Store) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
