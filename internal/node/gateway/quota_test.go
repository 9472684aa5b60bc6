package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quota"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// quotaCodec takes every response as the upstream's own.
type quotaCodec struct{}

func (quotaCodec) DecodeRequest(http.Header) Metadata           { return Metadata{} }
func (quotaCodec) EncodeRequest(http.Header, UpstreamMetadata)  {}
func (quotaCodec) EncodeRefusal(h http.Header, d time.Duration) { h.Set("Retry-After", d.String()) }

func (quotaCodec) DecodeResponse(status int, h http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: h.Get("X-Id"), Signed: true, NotRun: status == http.StatusMisdirectedRequest}
}

type quotaMetrics struct{}

func (quotaMetrics) Request(string, string, time.Duration) {}
func (quotaMetrics) AccountRefused(string, string)         {}
func (quotaMetrics) LongestPause(string, time.Duration)    {}

// quotaFixture serves requests of an account of which a daemon without reports admits two.
type quotaFixture struct {
	*qt.C
	gateway *Gateway
	route   routes.Route
	version uint64
}

const quotaKey = "a-key"

// setQuota puts a configuration in force in which the account has a quota.
func (f *quotaFixture) setQuota(q accounts.Quota) {
	f.version++
	f.gateway.opts.View.SetConfig(&routes.Config{
		Version: f.version, Routes: []routes.Route{f.route}, Services: map[string]routes.Service{"app": {Name: "app"}},
		Accounts: []accounts.Account{{Name: "a", Keys: []accounts.Digest{accounts.DigestOf(quotaKey)}, Quota: q}},
	})
}

// newQuotaFixture starts an upstream that answers with a status, or none for status 0.
func newQuotaFixture(t *testing.T, status int) *quotaFixture {
	c := qt.New(t)
	log := decisionlog.New(io.Discard, "vm")
	t.Cleanup(log.Close)
	view := fleet.NewView(fleet.ViewOptions{Zone: "z", Quotas: quota.Options{Window: 8 * time.Second}, Retries: fleet.RetryLimits{Ratio: 1, Burst: 100, Window: time.Second}, Log: log, Clock: time.Now})
	f := &quotaFixture{C: c}
	f.route = routes.Route{Name: "r", Kind: routes.Idempotent, Timeout: time.Second, Goal: time.Second, Attempts: 1, Targets: []routes.Target{{Service: "app", Weight: 1}}}
	f.gateway = New(Options{View: view, Pool: httpconn.NewPool(), HeaderCodec: quotaCodec{}, Log: log, Metrics: quotaMetrics{}, Clock: time.Now})
	f.setQuota(accounts.Quota{PerSecond: 0.01, Burst: 8})
	if status != 0 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if status < 0 { // the request runs and its connection breaks
				conn, _, err := http.NewResponseController(w).Hijack()
				c.Check(err, qt.IsNil)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				return
			}
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		view.SetUpstreams(time.Now(), []upstreams.Upstream{{ID: "u", Service: "app", Addr: server.Listener.Addr().String(), Zone: "z", Slots: 8}})
	}
	return f
}

func (f *quotaFixture) serve() *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("X-Id", fmt.Sprint(time.Now()))
	c := &call{g: f.gateway, w: w, r: r, ctx: r.Context(), arrival: time.Now(), route: &f.route, meta: Metadata{RequestID: r.Header.Get("X-Id")}}
	r.Header.Set("Authorization", "Bearer "+quotaKey)
	f.Assert(c.findAccount(f.gateway.opts.View.Table(), f.route.Public), qt.Equals, "")
	c.setDeadline()
	c.prepare(f.gateway.opts.View.Table())
	c.serve()
	return w
}

func TestARequestBeyondTheQuotaGets429WithoutRunning(t *testing.T) {
	f := newQuotaFixture(t, http.StatusOK)
	f.Assert(f.serve().Code, qt.Equals, http.StatusOK)
	f.Assert(f.serve().Code, qt.Equals, http.StatusOK)
	w := f.serve()
	f.Assert(w.Code, qt.Equals, http.StatusTooManyRequests)
	f.Assert(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	f.route.Public = true
	f.Assert(f.serve().Code, qt.Equals, http.StatusOK, qt.Commentf("a request without an account"))
}

// Guards against an account that uses up its quota by requests that ran nowhere.
func TestARequestThatRanNowhereIsNotCharged(t *testing.T) {
	for name, status := range map[string]int{"no upstream": 0, "rejected": http.StatusMisdirectedRequest} {
		t.Run(name, func(t *testing.T) {
			f := newQuotaFixture(t, status)
			for range 5 {
				f.Assert(f.serve().Code, qt.Equals, http.StatusServiceUnavailable)
			}
		})
	}
}

// Guards against requests that run without being charged, as their responses are lost.
func TestARequestWhoseResponseIsLostIsCharged(t *testing.T) {
	f := newQuotaFixture(t, -1)
	for range 2 {
		f.Assert(f.serve().Code, qt.Equals, http.StatusBadGateway)
	}
	f.Assert(f.serve().Code, qt.Equals, http.StatusTooManyRequests)
}

// Guards against an account above its share that is admitted as others are, and against one that is
// refused although the upstream could answer in time.
func TestWithoutRoomAnAccountAboveItsShareIsRefusedFirst(t *testing.T) {
	f := newQuotaFixture(t, http.StatusOK)
	view := f.gateway.opts.View
	f.route.Goal = 200 * time.Millisecond
	f.setQuota(accounts.Quota{PerSecond: 1e6, Burst: 1e6, InTokens: true, PlainTokens: 50_000})
	f.Assert(f.serve().Code, qt.Equals, http.StatusOK)
	view.SetFairLevels(map[int]float32{noPriorityGroup: 0.001})
	f.Assert(f.serve().Code, qt.Equals, http.StatusOK, qt.Commentf("the upstream has room"))
	view.WithTracker(func(t *balance.Tracker) { // the estimate is between the objective and the deadline
		for range 48 {
			t.Begin(time.Now(), "u", balance.Request{})
		}
	})
	f.Assert(f.serve().Code, qt.Equals, http.StatusServiceUnavailable)
	view.SetFairLevels(nil)
	f.Assert(f.serve().Code, qt.Equals, http.StatusOK)
}

const noPriorityGroup = -1
