// Package modelengine is a stand-in for a model engine of the platform. It loads and
// evicts adapters by order and streams events for requests to resident adapters.
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

// Order is an order to load or unload an adapter, as the engine received it.
type Order struct {
	Opcode   string `json:"opcode"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Version  int    `json:"version"`
	Expected *int   `json:"expected"`
	Owner    string `json:"owner"`
	Fence    uint64 `json:"fence_token"`

	At     time.Time `json:"-"` // when the order arrived
	Engine string    `json:"-"` // identity of the engine at that time
}

// Run is one execution of a request.
type Run struct {
	RequestID string
	Path      string
	Body      string
	Adapter   string
	Version   int
	At        time.Time // when the execution started
}

// Engine is a model engine with a fixed number of adapter slots. It implements
// http.Handler and is safe for concurrent use.
type Engine struct {
	id       string
	model    string
	slots    int
	loadTime time.Duration
	events   int
	interval time.Duration
	router   *mux.Router

	mu            sync.Mutex
	boot          int
	orderSeq      int            // number of accepted orders in this boot
	resident      map[string]int // version by adapter; contains adapters that still load
	readyAt       map[string]time.Time
	newest        map[string]int // newest version by adapter
	orders        []Order
	runs          []Run
	overfull      bool
	answersToLose int
	crashingPart  string // of prompts; empty for none
	onCrash       func()
	isCrashed     bool
	signals       signals
}

// New returns an engine of a model with slots for adapters. Loading an adapter takes
// loadTime. Each answer has the given number of events, one per interval.
func New(id, model string, slots int, loadTime time.Duration, events int, interval time.Duration) *Engine {
	e := &Engine{
		id: id, boot: 1, model: model, slots: slots, loadTime: loadTime, events: events, interval: interval,
		resident: make(map[string]int), readyAt: make(map[string]time.Time), newest: make(map[string]int),
	}
	e.router = mux.NewRouter()
	e.router.HandleFunc("/v1/report", e.report)
	e.router.HandleFunc("/v1/order", e.order)
	e.router.PathPrefix("/").HandlerFunc(e.run)
	return e
}

// CrashOn makes the engine crash when it begins to answer a request with a part in its prompt: it calls
// onCrash, which is to close its connections, and handles no request until Restart.
func (e *Engine) CrashOn(part string, onCrash func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashingPart, e.onCrash = part, onCrash
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	isCrashed := e.isCrashed
	e.mu.Unlock()
	if isCrashed {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.identity() {
		_ = e.sendSignals(w, false)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.sendSignals(w, r.URL.Path != "/v1/report" && r.URL.Path != "/v1/order") {
		e.router.ServeHTTP(w, r)
	}
}

func (e *Engine) identity() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// Restart gives the engine a new identity and boot number and drops all adapters.
func (e *Engine) Restart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
	e.boot++
	e.orderSeq = 0
	e.isCrashed = false
	e.signals = signals{}
	e.resident, e.readyAt = make(map[string]int), make(map[string]time.Time)
}

// SetNewestVersion sets the newest version of an adapter. Load orders load this version
// or the ordered one, whichever is newer.
func (e *Engine) SetNewestVersion(adapter string, version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest[adapter] = version
}

// LoseAnswers makes the next n orders take effect and drop the connection unanswered.
func (e *Engine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToLose = n
}

// Orders returns all orders received.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Runs returns the executions of all requests.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Overfull reports whether the engine was ever ordered to load more adapters than it has
// slots.
func (e *Engine) Overfull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfull
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, pending := []string{}, []string{}
	for name, version := range e.resident {
		if time.Now().Before(e.readyAt[name]) {
			pending = append(pending, fmt.Sprintf("%s/%s@%d", e.model, name, version))
		} else {
			adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models":  []any{map[string]any{"name": e.model, "version": 1, "adapters": adapters}},
		"pending": pending, "seq": e.orderSeq, "born": e.boot,
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
	status := e.execute(o)
	if e.answersToLose > 0 {
		e.answersToLose--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// execute carries out an order and returns the HTTP status of the answer. The caller must
// hold mu.
func (e *Engine) execute(o Order) int {
	if o.Expected != nil && *o.Expected != e.orderSeq {
		return http.StatusConflict
	}
	if o.Opcode == "evict" {
		e.orderSeq++
		delete(e.resident, o.Adapter)
		return http.StatusOK
	}
	version := max(1, e.newest[o.Adapter], o.Version)
	if e.resident[o.Adapter] >= version {
		return http.StatusOK
	}
	e.orderSeq++
	// A newer version takes a further slot, as a real engine keeps the older version until
	// its requests have ended.
	e.overfull = e.overfull || len(e.resident)+1 > e.slots
	e.resident[o.Adapter] = version
	e.readyAt[o.Adapter] = time.Now().Add(e.loadTime)
	return http.StatusAccepted
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	wantVersion, _ := strconv.Atoi(r.Header.Get("X-Expect-Version")) // 0, for any version, if absent
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client disconnected before the request was complete
	}
	e.mu.Lock()
	version, ok := e.resident[adapter]
	ok = ok && !time.Now().Before(e.readyAt[adapter]) && (wantVersion == 0 || wantVersion == version)
	if ok || adapter == "" {
		e.runs = append(e.runs, Run{
			RequestID: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Body: string(body), Adapter: adapter, Version: version, At: time.Now(),
		})
	}
	crashes := ok && e.crashingPart != "" && !e.isCrashed && strings.Contains(r.Header.Get("X-Prompt-Prefix"), e.crashingPart+":")
	e.isCrashed = e.isCrashed || crashes
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
	controller := http.NewResponseController(w)
	if crashes {
		w.WriteHeader(http.StatusOK)
		_ = controller.Flush()
		e.onCrash()
		panic(http.ErrAbortHandler)
	}
	for i := first; i < e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, adapter, i); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
	}
}
