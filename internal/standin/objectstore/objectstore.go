// Package objectstore is a small stand-in of the users' metadata store, for tests. It
// speaks their protocol as published: objects by kind and name with one revision
// counter, conditional writes, lists and watches.
package objectstore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Fault is what the store does instead of answering as usual.
type Fault int

// Faults.
const (
	FaultNone        Fault = iota
	FaultUnavailable       // answers 503, nothing is done
	FaultHang              // takes calls and never answers
	FaultLoseAnswers       // does writes and drops the connection
)

const maxWait = 30 * time.Second

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`

	kind     string
	revision uint64
}

// Store is an http.Handler. It is safe for concurrent use.
type Store struct {
	router *mux.Router

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	oldest   uint64 // revision before the first event that is kept
	changed  chan struct{}
	fault    Fault
	deaf     bool // watches hear nothing
	calls    int
}

// New returns an empty store.
func New() *Store {
	s := &Store{revision: 100, oldest: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	s.router = mux.NewRouter()
	s.router.HandleFunc("/v1/objects/{kind}", s.list).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{kind}", s.create).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/objects/{kind}/{name}", s.get).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{kind}/{name}", s.replace).Methods(http.MethodPut)
	s.router.HandleFunc("/v1/objects/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	return s
}

// SetFault sets what the store does from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object as the operator or an engine would.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, object{Meta: meta{Name: name}, Spec: data})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(kind, name)
}

// SetWatchesSilent makes watches hear nothing until they end.
func (s *Store) SetWatchesSilent(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldest = nil, s.revision
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls++
	s.mu.Unlock()
	switch {
	case fault == FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == FaultHang:
		<-r.Context().Done()
	case fault == FaultLoseAnswers && r.Method != http.MethodGet:
		s.router.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	default:
		s.router.ServeHTTP(w, r)
	}
}

type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// set stores an object with the next revision. The caller holds the lock.
func (s *Store) set(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, s.revision
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][o.Meta.Name] = o
	s.emit(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *Store) unset(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.emit(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *Store) emit(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	kind := mux.Vars(r)["kind"]
	if text := r.URL.Query().Get("watch"); text != "" {
		s.watch(w, r, kind, text)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": s.revision})
}

// pageSize is small, so that tests meet several pages.
const pageSize = 4

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // absent counts as zero
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.oldest && !s.deaf {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after && !s.deaf {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			expired := after < s.oldest
			s.mu.Unlock()
			if expired {
				w.WriteHeader(http.StatusGone)
				return
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[mux.Vars(r)["kind"]][mux.Vars(r)["name"]]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := mux.Vars(r)["kind"]
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		reply(w, http.StatusConflict, old)
		return
	}
	reply(w, http.StatusOK, s.set(kind, o))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	old, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case string(o.Spec) == string(old.Spec):
		reply(w, http.StatusOK, old) // nothing changes, no revision is used
	default:
		o.Meta.Name, o.Status = name, old.Status
		reply(w, http.StatusOK, s.set(kind, o))
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	old, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if want := r.URL.Query().Get("revision"); want != "" && want != strconv.FormatUint(old.Meta.Revision, 10) {
		reply(w, http.StatusConflict, old)
		return
	}
	s.unset(kind, name)
	reply(w, http.StatusOK, old)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}
