// Package objectstore is a stand-in for the platform's object store. It implements the
// published protocol: objects by kind and name under one revision counter, conditional
// writes, paged lists and watches.
package objectstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Fault is a way in which the store fails to answer calls.
type Fault int

// Faults of the store.
const (
	FaultNone        Fault = iota
	FaultUnavailable       // answers 503 without effect
	FaultHang              // accepts calls and never answers
	FaultLoseAnswers       // executes writes and drops the connection unanswered
)

const maxWatchWait = 30 * time.Second

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

// Store holds the objects and the history of changes in memory. It implements
// http.Handler and is safe for concurrent use.
type Store struct {
	router *mux.Router

	mu            sync.Mutex
	revision      uint64
	objects       map[string]map[string]object // by kind and name
	events        []event
	compactedTo   uint64        // revision up to which the history is compacted
	changed       chan struct{} // closed at every change
	fault         Fault
	watchesSilent bool
	calls         int
	era           uint64 // in the header Store-Era, if it is not zero
}

// Copy is a copy of a store's objects.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
}

// Copy returns a copy of the objects, for Restore.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{revision: s.revision, objects: make(map[string]map[string]object, len(s.objects))}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	return c
}

// Restore makes the store come back from an earlier copy, in a new era. What was written since is gone,
// revisions are given out again, and watches that wait are cut off.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedTo, s.events = c.revision, c.revision, nil
	s.objects = make(map[string]map[string]object, len(c.objects))
	for kind, byName := range c.objects {
		s.objects[kind] = maps.Clone(byName)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEra sets the era of the store, which is zero at first.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// New returns an empty store.
func New() *Store {
	s := &Store{revision: 100, compactedTo: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	s.router = mux.NewRouter()
	s.router.HandleFunc("/v1/objects/{kind}", s.list).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{kind}", s.create).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/objects/{kind}/{name}", s.get).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{kind}/{name}", s.replace).Methods(http.MethodPut)
	s.router.HandleFunc("/v1/objects/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	return s
}

// SetFault sets the fault that affects all further calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object unconditionally, as the operator or an engine does. It panics if
// spec cannot be marshaled.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, object{Meta: meta{Name: name}, Spec: data})
}

// Delete removes an object, if it exists.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeObject(kind, name)
}

// SetWatchesSilent sets whether watches return no events until their wait time ends.
func (s *Store) SetWatchesSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesSilent = silent
}

// Compact drops the history. Watches from an older revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedTo = nil, s.revision
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls++
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	s.mu.Unlock()
	switch {
	case fault == FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == FaultHang:
		<-r.Context().Done()
	case fault == FaultLoseAnswers && r.Method != http.MethodGet:
		s.router.ServeHTTP(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// put stores an object with the next revision. The caller must hold mu.
func (s *Store) put(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, s.revision
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][o.Meta.Name] = o
	s.publish(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// removeObject removes an object, if it exists. The caller must hold mu.
func (s *Store) removeObject(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

// publish adds an event to the history and wakes the watches. The caller must hold mu.
func (s *Store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	kind := mux.Vars(r)["kind"]
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
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

// pageSize is small, so that lists in tests span several pages.
const pageSize = 4

// watch answers with the events after a revision, or with none at the end of the wait
// time.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, afterParam string) {
	after, err := strconv.ParseUint(afterParam, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 if absent
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if after < s.compactedTo && !s.watchesSilent {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after && !s.watchesSilent {
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
			expired := after < s.compactedTo
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
	reply(w, http.StatusOK, s.put(kind, o))
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
		reply(w, http.StatusOK, old) // unchanged objects keep their revision
	default:
		o.Meta.Name, o.Status = name, old.Status
		reply(w, http.StatusOK, s.put(kind, o))
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
	s.removeObject(kind, name)
	reply(w, http.StatusOK, old)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
