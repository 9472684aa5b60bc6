package callers_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/callers"
)

const apiKey = "secret"

// gateway is a fake gateway. It keeps the last call and answers every call, or fails with err
// if err is set. It also issues tickets.
type gateway struct {
	err  *protocol.Error
	last *protocol.Call
}

func (g *gateway) Serve(_ context.Context, call *protocol.Call, _ string, sink protocol.Sink) *protocol.Error {
	g.last = call
	if g.err != nil {
		return g.err
	}
	head := protocol.Head{Status: http.StatusOK}
	if call.Model != nil {
		head.Adapter = call.Model.Adapter
	}
	_ = sink.Head(head)
	_ = sink.Chunk(protocol.Chunk{Count: 1, Data: []byte("x")})
	_ = sink.End(protocol.End{Total: 1, FinishReason: "stop"})
	return nil
}

func (g *gateway) IssueTicket(state.CustomerID, state.ServiceID) once.Ticket {
	return once.Ticket{Daemon: "d", Incarnation: "run", Expires: time.Unix(1_800_000_000, 0)}
}

// newHandler returns the API with a small configuration.
func newHandler(g *gateway, ready bool) http.Handler {
	adapter := deckconfig.Adapter{Name: "blitz", Default: "v1", Versions: []deckconfig.Version{{Name: "v1"}}}
	catalog := state.NewCatalog(1, "", &deckconfig.Config{
		Ranks:     []deckconfig.Rank{{Name: "desk"}},
		Customers: []deckconfig.Customer{{Name: "ridgeline", KeyHashes: []string{state.HashKey(apiKey)}}},
		Services: []deckconfig.Service{
			{Name: "advice", Kind: deckconfig.ModelService, DefaultRank: "desk", Adapters: []deckconfig.Adapter{adapter}},
			{Name: "closed", Kind: deckconfig.ModelService, DefaultRank: "desk", Customers: []string{"other"}, Adapters: []deckconfig.Adapter{adapter}},
			{Name: "booking", Kind: deckconfig.PlainService, DefaultRank: "desk", NonRepeatable: true},
		},
	})
	return callers.New(callers.Options{
		Gateway: g,
		Tickets: g,
		Catalog: func() *state.Catalog { return catalog },
		Ready:   func() bool { return ready },
		NewID:   func() string { return "request" },
	}).Handler()
}

type request struct {
	method, path, body string
	header             map[string]string
}

func (r request) send(h http.Handler) *httptest.ResponseRecorder {
	req := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

type errorAnswer struct {
	Error struct {
		Message string             `json:"message"`
		Code    protocol.ErrorKind `json:"code"`
		Step    string             `json:"step"`
		Outcome protocol.Outcome   `json:"outcome"`
	} `json:"error"`
}

const (
	completions = "/v1/completions"
	chat        = "/v1/chat/completions"
	okBody      = `{"model":"advice/blitz","prompt":"x"}`
)

func TestBadInputGetsItsDocumentedError(t *testing.T) {
	large := `{"model":"advice/blitz","prompt":"` + strings.Repeat("x", callers.MaxBodyBytes) + `"}`
	tests := []struct {
		name string
		request
		status int
		kind   protocol.ErrorKind
	}{
		{"no key", request{"POST", completions, okBody, map[string]string{"Authorization": ""}}, 401, protocol.KindUnauthorized},
		{"other scheme", request{"POST", completions, okBody, map[string]string{"Authorization": "Basic " + apiKey}}, 401, protocol.KindUnauthorized},
		{"unknown key", request{"POST", completions, okBody, map[string]string{"Authorization": "Bearer x"}}, 401, protocol.KindUnauthorized},
		{"not JSON", request{"POST", completions, "{", nil}, 400, protocol.KindBadRequest},
		{"JSON of another type", request{"POST", completions, "[]", nil}, 400, protocol.KindBadRequest},
		{"null", request{"POST", completions, "null", nil}, 400, protocol.KindBadRequest},
		{"no prompt", request{"POST", completions, `{"model":"advice/blitz"}`, nil}, 400, protocol.KindBadRequest},
		{"no messages", request{"POST", chat, `{"model":"advice/blitz","messages":[]}`, nil}, 400, protocol.KindBadRequest},
		{"too many messages", request{"POST", chat, `{"model":"advice/blitz","messages":["",` + strings.Repeat(`"",`, callers.MaxMessages-1) + `""]}`, nil}, 400, protocol.KindBadRequest},
		{"two choices", request{"POST", completions, `{"model":"advice/blitz","prompt":"x","n":2}`, nil}, 400, protocol.KindBadRequest},
		{"negative tokens", request{"POST", completions, `{"model":"advice/blitz","prompt":"x","max_tokens":-1}`, nil}, 400, protocol.KindBadRequest},
		{"model without adapter", request{"POST", completions, `{"model":"advice","prompt":"x"}`, nil}, 400, protocol.KindBadRequest},
		{"empty version", request{"POST", completions, `{"model":"advice/blitz@","prompt":"x"}`, nil}, 400, protocol.KindBadRequest},
		{"unknown service", request{"POST", completions, `{"model":"x/blitz","prompt":"x"}`, nil}, 404, protocol.KindNotFound},
		{"unknown adapter", request{"POST", completions, `{"model":"advice/x","prompt":"x"}`, nil}, 404, protocol.KindNotFound},
		{"unknown version", request{"POST", completions, `{"model":"advice/blitz@v9","prompt":"x"}`, nil}, 404, protocol.KindNotFound},
		{"plain service as model", request{"POST", completions, `{"model":"booking/x","prompt":"x"}`, nil}, 404, protocol.KindNotFound},
		{"service of another customer", request{"POST", completions, `{"model":"closed/blitz","prompt":"x"}`, nil}, 403, protocol.KindForbidden},
		{"unknown rank", request{"POST", completions, okBody, map[string]string{"X-Celerydeck-Rank": "x"}}, 400, protocol.KindBadRequest},
		{"timeout without unit", request{"POST", completions, okBody, map[string]string{"X-Celerydeck-Timeout": "5"}}, 400, protocol.KindBadRequest},
		{"timeout too long", request{"POST", completions, okBody, map[string]string{"X-Celerydeck-Timeout": "24h"}}, 400, protocol.KindBadRequest},
		{"timeout of zero", request{"POST", completions, okBody, map[string]string{"X-Celerydeck-Timeout": "0s"}}, 400, protocol.KindBadRequest},
		{"body too large", request{"POST", completions, large, nil}, 413, protocol.KindTooLarge},
		{"unknown route", request{"POST", "/v2/x", "", nil}, 404, protocol.KindNotFound},
		{"wrong method", request{"GET", completions, "", nil}, 400, protocol.KindBadRequest},
		{"model service as plain", request{"POST", "/services/advice/x", "", nil}, 404, protocol.KindNotFound},
		{"key and ticket", request{"POST", "/services/booking/x", "", map[string]string{"Idempotency-Key": "k", "X-Celerydeck-Ticket": "t"}}, 400, protocol.KindBadRequest},
		{"empty key", request{"POST", "/services/booking/x", "", map[string]string{"Idempotency-Key": ""}}, 400, protocol.KindBadRequest},
		{"ticket without a service", request{"POST", "/v1/tickets", `{}`, nil}, 404, protocol.KindNotFound},
		{"ticket for a service that may repeat", request{"POST", "/v1/tickets", `{"service":"advice"}`, nil}, 400, protocol.KindBadRequest},
		{"ticket with bad JSON", request{"POST", "/v1/tickets", `x`, nil}, 400, protocol.KindBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &gateway{}
			w := test.send(newHandler(g, true))
			qt.Check(t, w.Code, qt.Equals, test.status, qt.Commentf("%s", w.Body))
			checkError(t, w, test.kind)
			qt.Check(t, w.Header().Get("X-Celerydeck-Outcome"), qt.Equals, "not-run")
			qt.Check(t, g.last, qt.IsNil)
		})
	}
}

func checkError(t *testing.T, w *httptest.ResponseRecorder, kind protocol.ErrorKind) {
	t.Helper()
	var answer errorAnswer
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &answer), qt.IsNil, qt.Commentf("%s", w.Body))
	qt.Check(t, answer.Error.Code, qt.Equals, kind)
	qt.Check(t, answer.Error.Step, qt.Not(qt.Equals), "")
	qt.Check(t, answer.Error.Message, qt.Not(qt.Equals), "")
}

// TestStatusesThatClientsRetryAreOnlyForRequestsThatDidNotRun combines each kind of error
// with each outcome.
// Messages behind the 64th were left out, so that no crash counted against them.
func TestAllMessagesButTheLastAreShared(t *testing.T) {
	c := qt.New(t)
	g := &gateway{}
	var messages strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&messages, `{"role":"user","content":"%d"},`, i)
	}
	body := `{"model":"advice/blitz","messages":[` + messages.String() + `{"role":"user","content":"last"}]}`
	c.Assert(request{"POST", "/v1/chat/completions", body, nil}.send(newHandler(g, true)).Code, qt.Equals, http.StatusOK)
	shared := make(map[uint64]bool)
	for _, id := range g.last.Model.SharedMessages {
		shared[id] = true
	}
	c.Check(shared, qt.HasLen, 5000)
}

func TestStatusesThatClientsRetryAreOnlyForRequestsThatDidNotRun(t *testing.T) {
	kinds := []protocol.ErrorKind{
		protocol.KindBadRequest, protocol.KindNotFound, protocol.KindConflict, protocol.KindTooLarge, protocol.KindOverloaded,
		protocol.KindDeadline, protocol.KindCanceled, protocol.KindUnavailable, protocol.KindInterrupted, protocol.KindWrongAdapter,
		protocol.KindRefusedFingerprint, protocol.KindNotOwner, protocol.KindInternal, protocol.KindInProgress, protocol.KindExpired, protocol.KindAnswerNotKept,
	}
	for _, kind := range kinds {
		for _, outcome := range []protocol.Outcome{protocol.OutcomeNotRun, protocol.OutcomeUnknown, protocol.OutcomeRan} {
			g := &gateway{err: protocol.Errorf(kind, "step", outcome, "message")}
			w := request{"POST", completions, okBody, nil}.send(newHandler(g, true))
			name := qt.Commentf("%s %s", kind, outcome)
			checkError(t, w, kind)
			qt.Check(t, w.Header().Get("X-Celerydeck-Outcome"), qt.Equals, string(outcome), name)
			if outcome == protocol.OutcomeNotRun {
				continue
			}
			qt.Check(t, w.Header().Get("X-Should-Retry"), qt.Equals, "false", name)
			qt.Check(t, w.Code == http.StatusTooManyRequests || w.Code == http.StatusServiceUnavailable, qt.IsFalse, name)
		}
	}
}

func TestDaemonThatIsNotReadyRefusesAndClosesTheConnection(t *testing.T) {
	w := request{"POST", completions, okBody, nil}.send(newHandler(&gateway{}, false))
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Header().Get("Connection"), qt.Equals, "close")
	qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "1")
}

// FuzzCompletionRequest sends arbitrary bodies. Each is either answered or refused with a
// documented status, and no refused request reaches the gateway.
func FuzzCompletionRequest(f *testing.F) {
	for _, body := range []string{okBody, `{"model":"advice/blitz@v1","messages":[{"role":"user","content":"x"}],"stream":true}`, "null", "[]", "{", `{"model":null}`, `{"MODEL":"advice/blitz","prompt":["a"]}`} {
		f.Add(body, true)
		f.Add(body, false)
	}
	f.Fuzz(func(t *testing.T, body string, isChat bool) {
		path := completions
		if isChat {
			path = chat
		}
		g := &gateway{}
		w := request{"POST", path, body, nil}.send(newHandler(g, true))
		if w.Code == http.StatusOK {
			qt.Assert(t, g.last.Model.Adapter, qt.Equals, state.AdapterRef{Service: "advice", Adapter: "blitz", Version: "v1"})
			return
		}
		qt.Assert(t, w.Code == 400 || w.Code == 404 || w.Code == 403, qt.IsTrue, qt.Commentf("%d", w.Code))
		qt.Assert(t, g.last, qt.IsNil)
	})
}

// FuzzHeaders sends arbitrary values of the header fields that the API reads.
func FuzzHeaders(f *testing.F) {
	f.Add("desk", "3s", "key", "")
	f.Add("", "", "", "t1.ZA.run.1.1.00")
	f.Add("x", "-1s", "\x7f", "y")
	f.Fuzz(func(t *testing.T, rank, timeout, key, ticket string) {
		g := &gateway{}
		header := map[string]string{"X-Celerydeck-Rank": rank, "X-Celerydeck-Timeout": timeout}
		if key != "" {
			header["Idempotency-Key"] = key
		}
		if ticket != "" {
			header["X-Celerydeck-Ticket"] = ticket
		}
		w := request{"POST", "/services/booking/x?y=z", "", header}.send(newHandler(g, true))
		if w.Code != http.StatusOK {
			qt.Assert(t, w.Code, qt.Equals, http.StatusBadRequest)
			return
		}
		qt.Assert(t, g.last.TimeLeft > 0 && g.last.TimeLeft <= callers.MaxTimeout, qt.IsTrue)
		qt.Assert(t, g.last.Repeatable, qt.IsFalse)
		qt.Assert(t, fmt.Sprint(g.last.IdempotencyKey, g.last.Ticket), qt.Equals, key+ticket)
	})
}
