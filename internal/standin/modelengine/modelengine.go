// Package modelengine is a small stand-in of the users' model engines, for tests: it
// holds adapters as it is ordered to and streams events for the ones that it holds.
package modelengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Order is an order as the engine got it.
type Order struct {
	Opcode   string `json:"opcode"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Version  int    `json:"version"`
	Expected *int   `json:"expected"`
	Owner    string `json:"owner"`
	Fence    uint64 `json:"fence_token"`

	At     time.Time `json:"-"` // when it came
	Engine string    `json:"-"` // the identity of the engine that got it
}

// Run is a request that the engine ran.
type Run struct {
	RequestID string
	Path      string
	Body      string
	Adapter   string
	Version   int
	At        time.Time // when it began
}

// Engine is an http.Handler. It is safe for concurrent use.
type Engine struct {
	id     string
	model  string
	slots  int
	load   time.Duration
	events int
	gap    time.Duration
	router *mux.Router

	mu       sync.Mutex
	born     int
	accepted int
	held     map[string]int // versions by adapter
	ready    map[string]time.Time
	newest   map[string]int
	orders   []Order
	runs     []Run
	overfull bool
	loseNext int
}

// New returns an engine that holds a model and takes slots adapters, each loaded in
// load. It answers with a number of events, a gap apart.
func New(id, model string, slots int, load time.Duration, events int, gap time.Duration) *Engine {
	e := &Engine{
		id: id, born: 1, model: model, slots: slots, load: load, events: events, gap: gap,
		held: make(map[string]int), ready: make(map[string]time.Time), newest: make(map[string]int),
	}
	e.router = mux.NewRouter()
	e.router.HandleFunc("/v1/report", e.report)
	e.router.HandleFunc("/v1/order", e.order)
	e.router.PathPrefix("/").HandlerFunc(e.run)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.identity() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.router.ServeHTTP(w, r)
}

func (e *Engine) identity() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// Restart makes the engine a new one with an identity of its own that holds no adapters.
func (e *Engine) Restart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
	e.born++
	e.accepted = 0
	e.held, e.ready = make(map[string]int), make(map[string]time.Time)
}

// SetNewestVersion tells the newest version of an adapter.
func (e *Engine) SetNewestVersion(adapter string, version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest[adapter] = version
}

// LoseAnswers carries out the next n orders without an answer.
func (e *Engine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseNext = n
}

// Orders returns the orders that came.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Runs returns the requests that ran.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Overfull reports whether the engine was ordered to hold more than it takes.
func (e *Engine) Overfull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfull
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, pending := []string{}, []string{}
	for name, version := range e.held {
		if time.Now().Before(e.ready[name]) {
			pending = append(pending, fmt.Sprintf("%s/%s@%d", e.model, name, version))
		} else {
			adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models":  []any{map[string]any{"name": e.model, "version": 1, "adapters": adapters}},
		"pending": pending, "seq": e.accepted, "born": e.born,
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.At, o.Engine = time.Now(), e.id
	e.orders = append(e.orders, o)
	status := e.carryOut(o)
	if e.loseNext > 0 {
		e.loseNext--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (e *Engine) carryOut(o Order) int {
	if o.Expected != nil && *o.Expected != e.accepted {
		return http.StatusConflict
	}
	if o.Opcode == "evict" {
		e.accepted++
		delete(e.held, o.Adapter)
		return http.StatusOK
	}
	version := max(1, e.newest[o.Adapter], o.Version)
	if e.held[o.Adapter] >= version {
		return http.StatusOK
	}
	e.accepted++
	// A newer version is held beside the older one until the runs on that have ended.
	e.overfull = e.overfull || len(e.held)+1 > e.slots
	e.held[o.Adapter] = version
	e.ready[o.Adapter] = time.Now().Add(e.load)
	return http.StatusAccepted
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	expect, _ := strconv.Atoi(r.Header.Get("X-Expect-Version")) // absent counts as any
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender broke off; nothing has run
	}
	e.mu.Lock()
	version, ok := e.held[adapter]
	ok = ok && !time.Now().Before(e.ready[adapter]) && (expect == 0 || expect == version)
	if ok || adapter == "" {
		e.runs = append(e.runs, Run{
			RequestID: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Body: string(body), Adapter: adapter, Version: version, At: time.Now(),
		})
	}
	e.mu.Unlock()
	if !ok && adapter != "" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Response-Signature", "sig-"+e.identity())
	h.Set("Content-Type", "text/event-stream")
	first := 0
	if id, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	flush := http.NewResponseController(w)
	for i := first; i < e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, adapter, i); err != nil || flush.Flush() != nil {
			return
		}
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			return
		}
	}
}
