// Package webservice is a stand-in for a plain service of the platform. It answers after
// a fixed service time and records the requests that it ran.
package webservice

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one execution of a request.
type Run struct {
	RequestID string
	Path      string
	Body      string
	At        time.Time
}

// Server is one upstream of a plain service. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	id          string
	service     string
	serviceTime time.Duration

	mu          sync.Mutex
	runs        []Run
	dropAnswers bool
}

// New returns an upstream of a service. Each request takes the given service time.
func New(id, service string, serviceTime time.Duration) *Server {
	return &Server{id: id, service: service, serviceTime: serviceTime}
}

// Runs returns the executions of all requests.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetDropAnswers sets whether the server runs requests and drops their connections
// unanswered.
func (s *Server) SetDropAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswers = on
}

// Answer returns the body of a service's answer to a request.
func Answer(service, requestID string) string { return fmt.Sprintf("%s ran %s\n", service, requestID) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client disconnected before the request was complete
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.runs = append(s.runs, Run{RequestID: id, Path: r.URL.Path, Body: string(body), At: time.Now()})
	dropAnswers := s.dropAnswers
	s.mu.Unlock()
	time.Sleep(s.serviceTime)
	if dropAnswers {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Signature", "sig-"+s.id)
	_, _ = io.WriteString(w, Answer(s.service, id)) // the client may have disconnected
}
