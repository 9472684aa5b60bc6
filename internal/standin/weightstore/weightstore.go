// Package weightstore is a stand-in for the store from which engines fetch adapter
// weights. Loads slow each other down beyond a limit.
package weightstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFailed is returned for loads of a source set to fail with SetFailing.
var ErrFailed = errors.New("weightstore: load failed")

// Store is a weight store. A load takes LoadTime while at most FullSpeedLoads loads are
// in flight, and proportionally longer beyond that. It is safe for concurrent use.
type Store struct {
	LoadTime       time.Duration
	FullSpeedLoads int

	mu       sync.Mutex
	inFlight int
	loads    int
	failing  map[string]bool
}

// New returns a store without failing sources.
func New(loadTime time.Duration, fullSpeedLoads int) *Store {
	return &Store{LoadTime: loadTime, FullSpeedLoads: fullSpeedLoads, failing: make(map[string]bool)}
}

// SetFailing sets whether loads of a source fail.
func (s *Store) SetFailing(source string, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing[source] = failing
}

// Loads returns the number of loads started.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Fetch blocks for the duration of a load of the source, or until ctx ends.
func (s *Store) Fetch(ctx context.Context, source string) error {
	s.mu.Lock()
	s.loads++
	s.inFlight++
	duration := s.LoadTime * time.Duration(max(s.inFlight, s.FullSpeedLoads)) / time.Duration(s.FullSpeedLoads)
	fail := s.failing[source]
	s.mu.Unlock()
	defer s.release()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if fail {
		return ErrFailed
	}
	return nil
}

func (s *Store) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
