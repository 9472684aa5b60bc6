package modelengine

import (
	"net/http"
	"strconv"
	"time"
)

// signals is what an engine says about itself in its responses.
type signals struct {
	isLeaving      bool
	waitUntil      time.Time
	unwanted       int // requests, orders and requests for reports that came after Leave
	unwantedInWait int // requests that came from 0.5 s after the first 503 of a wait to its end
	firstRefusal   time.Time
}

// graceOfWait is the time after the first 503 of a wait in which requests may already be on the way.
const graceOfWait = 500 * time.Millisecond

// Leave makes the engine say in each response that it leaves, until Restart.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.signals.isLeaving = true
}

// NameWait makes the engine answer each request with 503 and a Retry-After for a time.
func (e *Engine) NameWait(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.signals.waitUntil, e.signals.firstRefusal = time.Now().Add(d), time.Time{}
}

// Unwanted returns the number of calls that came after Leave, the first one included, and of requests
// that came in the wait that NameWait began.
func (e *Engine) Unwanted() (afterLeave, inWait int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signals.unwanted, e.signals.unwantedInWait
}

// sendSignals sets the headers that say what the engine wants. It returns false if it has refused the
// request.
func (e *Engine) sendSignals(w http.ResponseWriter, isRequest bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.signals
	if s.isLeaving {
		s.unwanted++
		w.Header().Set("Server-Leaving", "1")
	}
	now := time.Now()
	if !isRequest || !now.Before(s.waitUntil) {
		return true
	}
	if s.firstRefusal.IsZero() {
		s.firstRefusal = now
	} else if now.Sub(s.firstRefusal) > graceOfWait {
		s.unwantedInWait++
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(s.waitUntil.Sub(now).Seconds(), 'f', 3, 64))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}
