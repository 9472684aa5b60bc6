// Package objectapi is a stand-in for the platform's object API. It serves versioned
// objects with conditional writes, lists and watches over HTTP from memory.
package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxValue is the maximum size of an object's value in bytes.
const MaxValue = 1 << 20

const maxWatchWait = 60 * time.Second

// Object is a stored object. Version is the revision of its last change.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Page is the response to a list or a watch.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Faults are the faults that the server injects.
type Faults struct {
	Down             bool          // fail every call with status 503
	Delay            time.Duration // delay every call
	LoseWriteAnswers int           // number of further writes that take effect but get no answer
}

// Server holds the objects. It is safe for concurrent use. Handler returns its HTTP API.
type Server struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]Object
	history  []Object
	changed  chan struct{} // closed at every change
	faults   Faults
	calls    map[string]int // by HTTP method
}

// New returns a server without objects.
func New() *Server {
	return &Server{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls with an HTTP method.
func (s *Server) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put stores an object unconditionally and returns its revision.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(Object{Key: key, Value: value})
}

// Get returns an object and whether it exists.
func (s *Server) Get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Handler returns the HTTP API with the injected faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.delete)
	mux.HandleFunc("GET /v1/list", s.list)
	mux.HandleFunc("GET /v1/watch", s.watch)
	return s.withFaults(mux)
}

func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.Method]++
		faults := s.faults
		s.mu.Unlock()
		time.Sleep(faults.Delay)
		if faults.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, ok := s.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	_, _ = w.Write(o.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.writeObject(w, r, Object{Key: r.PathValue("key"), Value: value})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.writeObject(w, r, Object{Key: r.PathValue("key"), Deleted: true})
}

// writeObject stores or deletes an object if the request's condition holds.
func (s *Server) writeObject(w http.ResponseWriter, r *http.Request, o Object) {
	s.mu.Lock()
	if !s.conditionHolds(r, o.Key) {
		s.mu.Unlock()
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	version := s.apply(o)
	loseAnswer := s.faults.LoseWriteAnswers > 0
	if loseAnswer {
		s.faults.LoseWriteAnswers--
	}
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
}

// conditionHolds reports whether the If-Match and If-None-Match headers allow a write. The
// caller must hold mu.
func (s *Server) conditionHolds(r *http.Request, key string) bool {
	o, exists := s.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	if match := r.Header.Get("If-Match"); match != "" {
		return exists && match == etag(o.Version)
	}
	return true
}

// apply applies a change, wakes the watches and returns the new revision. The caller must
// hold mu.
func (s *Server) apply(o Object) uint64 {
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	page := Page{Revision: s.revision, Objects: []Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, page)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWatchWait {
		wait = maxWatchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed := s.changesAfter(query.Get("prefix"), after)
		if len(page.Objects) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision under a prefix, and a channel that is
// closed at the next change.
func (s *Server) changesAfter(prefix string, after uint64) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := Page{Revision: s.revision, Objects: []Object{}}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(o Object, rev uint64) int {
		return int(int64(o.Version) - int64(rev))
	})
	for _, o := range s.history[first:] {
		if strings.HasPrefix(o.Key, prefix) {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, s.changed
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
