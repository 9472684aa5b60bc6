// Package webservice is a small stand-in of the users' plain services, for tests: it
// answers each request at once and remembers which ones it ran.
package webservice

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is a request that the service ran.
type Run struct {
	RequestID string
	Path      string
	Body      string
	At        time.Time
}

// Server is an http.Handler. It is safe for concurrent use.
type Server struct {
	id      string
	service string
	work    time.Duration

	mu    sync.Mutex
	runs  []Run
	loses bool
}

// New returns an upstream of a service that works for a time on each request.
func New(id, service string, work time.Duration) *Server {
	return &Server{id: id, service: service, work: work}
}

// Runs returns the requests that ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetDropAnswers makes the server run requests and close their connections unanswered.
func (s *Server) SetDropAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = on
}

// Answer is the body with which a service answers a request.
func Answer(service, requestID string) string { return fmt.Sprintf("%s ran %s\n", service, requestID) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender broke off; nothing has run
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.runs = append(s.runs, Run{RequestID: id, Path: r.URL.Path, Body: string(body), At: time.Now()})
	loses := s.loses
	s.mu.Unlock()
	time.Sleep(s.work)
	if loses {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Signature", "sig-"+s.id)
	_, _ = io.WriteString(w, Answer(s.service, id)) // the caller may have left
}
