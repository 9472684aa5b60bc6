// Package webservice is a stand-in for a plain service of the platform. It answers after
// a fixed service time and records the requests that it ran.
package webservice

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request.
type Run struct {
	RequestID string
	Path      string
	Body      string
	At        time.Time
	BrokeOff  bool // the server broke its stream off
}

// Server is one upstream of a plain service. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	id          string
	service     string
	serviceTime time.Duration
	streams     Streams

	mu          sync.Mutex
	runs        []Run
	dropAnswers bool
}

// Streams are responses that consist of events. Some break off inside an event.
type Streams struct {
	Prefix   string // of the paths of requests that are answered with a stream; empty for none
	Events   int
	Interval time.Duration
}

// New returns an upstream of a service. Each request takes the given service time.
func New(id, service string, serviceTime time.Duration) *Server {
	return &Server{id: id, service: service, serviceTime: serviceTime}
}

// SetStreams sets which requests are answered with streams. It must be called before the first request.
func (s *Server) SetStreams(streams Streams) { s.streams = streams }

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
	run := len(s.runs)
	s.runs = append(s.runs, Run{RequestID: id, Path: r.URL.Path, Body: string(body), At: time.Now()})
	dropAnswers := s.dropAnswers
	s.mu.Unlock()
	time.Sleep(s.serviceTime)
	if s.streams.Prefix != "" && strings.HasPrefix(r.URL.Path, s.streams.Prefix) {
		s.stream(w, r, run, dropAnswers)
		return
	}
	if dropAnswers {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Signature", "sig-"+s.id)
	_, _ = io.WriteString(w, Answer(s.service, id)) // the client may have disconnected
}

// stream answers with the events after the one that the request names. The framing, and where the stream breaks off if it does,
// depend on the request and the server: one request in four breaks off, and all do if breaks is set.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run int, breaks bool) {
	h := fnv.New32a()
	_, _ = io.WriteString(h, s.id+r.Header.Get("X-Request-Id"))
	draw := int(h.Sum32() >> 8)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	breaks = breaks || draw%4 == 0
	isChunked := draw/4%2 == 0
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Signature: sig-%s\r\n"
	if isChunked {
		head += "Transfer-Encoding: chunked\r\n"
	}
	write := func(text string) bool {
		if isChunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	if _, err := fmt.Fprintf(conn, head+"\r\n", r.Header.Get("X-Request-Id"), s.id); err != nil {
		return
	}
	first := 0
	if id, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	end := first + draw/8%max(1, s.streams.Events-first)
	for i := first; i < s.streams.Events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, s.service, i)
		if breaks && i == end {
			s.mu.Lock()
			s.runs[run].BrokeOff = true
			s.mu.Unlock()
			write(event[:len(event)/2])
			return
		}
		if !write(event) {
			return
		}
		time.Sleep(s.streams.Interval)
	}
	if isChunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}
