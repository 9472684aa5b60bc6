package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxBody    = 8 << 20
	bootHeader = "X-Boot-Id"
)

// CompletionRequest is the body of a completion or chat completion request.
type CompletionRequest struct {
	Model        string    `json:"model"`
	Prompt       string    `json:"prompt"`
	Messages     []Message `json:"messages"`
	MaxTokens    int       `json:"max_tokens"`
	Stream       bool      `json:"stream"`
	Priority     int       `json:"priority"`
	RequestID    string    `json:"request_id"`
	ResumeOffset int       `json:"resume_offset"`
}

// Message is a message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Event is an event of a streamed answer.
type Event struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	BootID  string   `json:"boot_id"`
	Offset  int      `json:"offset"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the choice of an event. Delta is set for chats, Text for completions.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is an increment of a chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage is the token usage of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// AdapterOrder is an order to load or unload an adapter.
type AdapterOrder struct {
	Name    string `json:"lora_name"`
	Path    string `json:"lora_path,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// LoadReport reports the engine's slots, requests and resident adapters.
type LoadReport struct {
	BootID   string   `json:"boot_id"`
	Slots    int      `json:"slots"`
	Batch    int      `json:"max_batch"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Role     string   `json:"role"`
	Adapters []string `json:"adapters"`
}

type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`
}

type cacheEvents struct {
	BootID string       `json:"boot_id"`
	Last   uint64       `json:"last"`
	Events []cacheEvent `json:"events"`
}

type idRequest struct {
	RequestID string `json:"request_id"`
}

type roleOrder struct {
	Role    string `json:"role"`
	Fencing uint64 `json:"fencing"`
}

// Handler returns the HTTP API of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	mux.HandleFunc("POST /v1/role", e.setRole)
	mux.HandleFunc("GET /v1/load", e.report)
	mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	mux.HandleFunc("GET /v1/kv/{prefix}", e.exportKV)
	mux.HandleFunc("POST /v1/kv/{prefix}", e.importKV)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req CompletionRequest
	if !readJSON(w, r, &req) {
		return
	}
	chat := strings.Contains(r.URL.Path, "chat")
	prompt := req.Prompt
	for _, m := range req.Messages {
		prompt += m.Content
	}
	e.mu.Lock()
	boot, stop := e.bootID(), e.stop
	e.logf("complete %s resume %d max %d priority %d", req.Model, req.ResumeOffset, req.MaxTokens, req.Priority)
	faults := e.nextFaults()
	if faults.refuse && faults.repeatRefusal {
		e.mu.Unlock()
		e.repeatRefusal(w)
		return
	}
	if faults.refuse {
		e.mu.Unlock()
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if !e.adapters[req.Model] {
		e.mu.Unlock()
		w.Header().Set(bootHeader, boot)
		http.Error(w, "adapter is not loaded: "+req.Model, http.StatusNotFound)
		return
	}
	if e.opts.CrashMarker != "" && strings.Contains(prompt, e.opts.CrashMarker) {
		e.mu.Unlock()
		e.Restart()
		panic(http.ErrAbortHandler)
	}
	j := &job{adapter: req.Model, cancel: make(chan struct{})}
	e.running[req.RequestID] = j
	e.attempts[req.RequestID]++
	e.recordPrefix(prompt)
	e.mu.Unlock()
	defer e.finish(req.RequestID, j)
	if faults.cutHead {
		writeCutHead(w)
		return
	}
	if status := faults.errorOnResume; status > 0 && req.ResumeOffset > 0 {
		w.Header().Set(bootHeader, boot)
		http.Error(w, "internal error\n\nno such run", status)
		return
	}
	w.Header().Set(bootHeader, boot)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, req, answerStream{chat: chat, prompt: prompt, boot: boot, stop: stop, job: j, faults: faults})
}

// answerStream is the state of a streamed answer.
type answerStream struct {
	chat   bool
	prompt string
	boot   string
	stop   chan struct{}
	job    *job
	faults streamFaults
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req CompletionRequest, s answerStream) {
	count := req.MaxTokens
	if count <= 0 {
		count = e.opts.DefaultTokens
	}
	flusher, _ := w.(http.Flusher)
	middle := (req.ResumeOffset + count + 1) / 2
	for n, i := range s.faults.sendOrder(req.ResumeOffset, count) {
		if !e.waitStep(r.Context(), s) || (s.faults.cut && i >= middle) {
			panic(http.ErrAbortHandler)
		}
		event := s.event(req, i, Token(req.Model, s.prompt, i))
		if s.faults.changeBoot && i >= middle {
			event.BootID += "-next"
		}
		if s.faults.earlyEnd && i >= middle && n > 0 {
			reason := "length"
			event.Choices[0].FinishReason = &reason
			event.Offset++
		}
		if i == count-1 {
			reason := "length"
			event.Choices[0].FinishReason = &reason
			event.Usage = &Usage{PromptTokens: len(s.prompt)/4 + 1, CompletionTokens: count}
			event.Usage.TotalTokens = event.Usage.PromptTokens + count
		}
		data, _ := json.Marshal(event)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		if flusher != nil {
			flusher.Flush()
		}
		if s.faults.earlyEnd && i >= middle && n > 0 {
			break
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.mu.Lock()
	e.served++
	e.mu.Unlock()
}

func (s answerStream) event(req CompletionRequest, offset int, token string) Event {
	model := req.Model
	if s.faults.wrongModel {
		model += "-other"
	}
	event := Event{ID: req.RequestID, Model: model, BootID: s.boot, Offset: offset, Object: "text_completion"}
	choice := Choice{Text: token}
	if s.chat {
		event.Object = "chat.completion.chunk"
		choice = Choice{Delta: &Delta{Content: token}}
	}
	event.Choices = []Choice{choice}
	return event
}

// waitStep waits for a decoding step. It returns false if the request has to stop.
func (e *Engine) waitStep(ctx context.Context, s answerStream) bool {
	e.mu.Lock()
	hung := e.hung
	e.mu.Unlock()
	wait := e.opts.TokenTime
	if hung {
		wait = time.Hour
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stop:
	case <-s.job.cancel:
	case <-ctx.Done():
	}
	return false
}

func (e *Engine) finish(id string, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] == j {
		delete(e.running, id)
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var req idRequest
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	j := e.running[req.RequestID]
	e.mu.Unlock()
	if j != nil {
		e.mu.Lock()
		e.cancels++
		e.mu.Unlock()
		j.abort()
	}
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order AdapterOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	boot, stop := e.bootID(), e.stop
	w.Header().Set(bootHeader, boot)
	if !e.checkFence(order.Fencing) {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.adapters[order.Name] {
		e.mu.Unlock()
		return
	}
	if len(e.adapters) >= e.opts.Slots {
		e.mu.Unlock()
		http.Error(w, "no free slot", http.StatusInsufficientStorage)
		return
	}
	e.adapters[order.Name] = false
	e.logf("load %s from %s", order.Name, order.Path)
	e.mu.Unlock()
	err := e.opts.WeightStore.Fetch(r.Context(), order.Path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop != e.stop {
		http.Error(w, "restarted", http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		delete(e.adapters, order.Name)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.adapters[order.Name] = true
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var order AdapterOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(bootHeader, e.bootID())
	if !e.checkFence(order.Fencing) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.serving(order.Name) {
		e.violations.UnloadWhileServing++
	}
	delete(e.adapters, order.Name)
	e.logf("unload %s", order.Name)
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	var order roleOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(order.Fencing) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.role = order.Role
}

// report answers with the newest load report that is at least ReportLag old. If every
// report is younger, it answers with the oldest report.
func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := LoadReport{
		BootID:   e.bootID(),
		Slots:    e.opts.Slots,
		Batch:    e.opts.Batch,
		Running:  len(e.running),
		Waiting:  e.waiting,
		Role:     e.role,
		Adapters: e.loadedAdapters(),
	}
	now := time.Now()
	e.reports = append(e.reports, timedReport{at: now, report: current})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.opts.ReportLag {
		e.reports = e.reports[1:]
	}
	w.Header().Set(bootHeader, current.BootID)
	writeJSON(w, e.reports[0].report)
}

// recordPrefix adds an event for a stored prefix to the cache events. The caller must hold
// mu.
func (e *Engine) recordPrefix(prompt string) {
	e.eventSeq++
	e.events = append(e.events, cacheEvent{Seq: e.eventSeq, Prefix: prompt[:min(len(prompt), 64)], Kind: "stored"})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := cacheEvents{BootID: e.bootID(), Last: e.eventSeq, Events: []cacheEvent{}}
	for _, event := range e.events {
		if event.Seq > after {
			out.Events = append(out.Events, event)
		}
	}
	writeJSON(w, out)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	w.Header().Set(bootHeader, e.bootID())
	e.mu.Unlock()
	_, _ = io.WriteString(w, "kv:"+r.PathValue("prefix"))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if string(body) != "kv:"+r.PathValue("prefix") {
		http.Error(w, "bad KV cache", http.StatusBadRequest)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, "bad JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
