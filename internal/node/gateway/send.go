package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// outcome is the result of one attempt.
type outcome uint8

const (
	delivered outcome = iota // the caller has a response, or has left
	held                     // the request was not sent: the upstream has no room for its prompt, or is barred
	notRun                   // the upstream did not run the request
	broken                   // the request may have run
)

const (
	// maxInlineBody is the size in bytes of the longest request body that is written before
	// the response is read.
	maxInlineBody = 64 << 10
	// maxStaleResponses is the maximum number of responses that are read from a connection to
	// find the response to the present request.
	maxStaleResponses = 2
	// maxBufferedBody is the maximum size in bytes of a response that is not a stream.
	maxBufferedBody = 8 << 20
	// maxSkippedBody and skippedBodyTimeout limit the reading of a response body that is not
	// forwarded. Beyond them, a new connection costs less than the rest of the body.
	maxSkippedBody     = 64 << 10 // bytes
	skippedBodyTimeout = 100 * time.Millisecond
	// deadlineSlack is the time after the caller's deadline at which an attempt ends.
	deadlineSlack = 50 * time.Millisecond
	// minAttemptTimeout is the minimum wait for the response headers of an idempotent request
	// before another upstream is sought.
	minAttemptTimeout = 300 * time.Millisecond
	// headCheckInterval is the interval at which another upstream is sought once the response
	// takes longer than the attempt timeout.
	headCheckInterval = 200 * time.Millisecond
	// overdueLoadPause is the pause before a request is sent again to an engine whose load
	// of the adapter takes longer than estimated.
	overdueLoadPause = 100 * time.Millisecond
)

// hopByHop are the headers that apply to a single connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func stripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// exchange is one attempt: a request sent to an upstream, and its response.
type exchange struct {
	c                 *call
	u                 *upstreams.Upstream
	hedged            *hedgedSend // of c when the attempt began
	conn              *httpconn.Conn
	fate              atomic.Int32 // of conn, see fate
	sentAt            time.Time
	stopCallerWatch   func() bool   // after its call, the connection is not reset when the caller leaves
	stopResponseWatch func()        // see watchResponse
	stopSilenceWatch  func()        // see watchSilence
	bodyInBackground  bool          // the body is written while the response is read
	hadHead           bool          // the response head was received
	hadFirstEvent     bool          // a first event was received
	firstEventAt      time.Time     // zero without a first event
	hasSurvived       bool          // the run got past its beginning, see recordSurvival
	wasWithdrawn      atomic.Bool   // guardStart has reset the connection because of a quarantine
	started           chan struct{} // closed with the first event; nil if there is nothing to guard
	pauseSampledAt    time.Time     // see pauseSampleInterval
	lastEventAt       atomic.Int64  // when an event was last received, in Unix nanoseconds
}

// send sends the request to an upstream and forwards its response.
func (c *call) send(placement fleet.Placement) outcome {
	u := placement.Upstream
	view := c.g.opts.View
	c.upstream = u.ID
	x := &exchange{c: c, u: u, hedged: c.hedged}
	c.hold = 0
	if !x.mayBegin() {
		return held
	}
	defer view.EndSend(u)
	if c.hold = view.Admit(u, c.request, c.meta.Adapter); c.hold > 0 {
		return held
	}
	c.endReservation()
	defer func() {
		view.End(u.ID, c.request, c.meta.Adapter, x.hadFirstEvent)
	}()
	conn, err := c.dial(u)
	if err != nil {
		if c.ctx.Err() != nil {
			c.logStep("ended while dialing", u, fateDialing, err)
			return notRun
		}
		c.excluded[u.ID] = true
		if c.timeLeft() > 0 { // the dial ends with the deadline
			view.WithTracker(func(t *balance.Tracker) { t.RecordFailure(c.g.opts.Clock(), u.ID, true) })
		}
		c.logStep("no connection", u, fateDialing, err)
		return notRun
	}
	if x.isBarred() { // the upstream may have said so while the connection was set up
		_ = conn.Close()
		return held
	}
	c.usedConns = append(c.usedConns, conn)
	c.sends++
	if c.sends == 1 {
		view.CountRequest(c.service)
	}
	x.conn, x.sentAt = conn, c.g.opts.Clock()
	c.attempt = x
	x.stopCallerWatch = context.AfterFunc(c.ctx, x.reset)
	defer x.stopCallerWatch()
	defer x.reset() // unless the connection was released
	return x.run(placement)
}

// run writes the request and reads responses up to the response that belongs to the request.
func (x *exchange) run(placement fleet.Placement) outcome {
	c := x.c
	if c.meta.Adapter.Name != "" || len(c.meta.SharedParts) > 0 {
		x.started = make(chan struct{})
		defer x.stopStartGuard()
		go x.guardStart(placement.RunsVersion, x.started)
	}
	_ = x.conn.SetDeadline(c.deadline.Add(deadlineSlack)) // a closed connection fails the write
	if err := x.write(placement.Version); err != nil {
		return x.abort("write request", err)
	}
	x.stopSilenceWatch = x.watchSilence()
	defer x.stopSilenceWatch()
	for range maxStaleResponses {
		if out, isOwn := x.readResponse(); isOwn {
			return out
		}
	}
	return x.abort("read answer", errStaleResponse)
}

// readResponse reads and handles one response from the connection. It returns false if it has
// skipped a response to an earlier request and another response may follow.
func (x *exchange) readResponse() (outcome, bool) {
	c := x.c
	x.stopResponseWatch = x.watchResponse()
	defer func() { x.stopResponseWatch() }()
	resp, err := x.conn.ReadResponse(&http.Request{Method: c.r.Method})
	if err != nil {
		return x.abort("read answer", err), true
	}
	defer resp.Body.Close()
	a := c.g.opts.HeaderCodec.DecodeResponse(resp.StatusCode, resp.Header)
	x.recordSignals(resp.StatusCode, a)
	if a.RequestID == c.meta.RequestID || a.RequestID == "" && !x.conn.Reused {
		return x.handleResponse(resp, a), true
	}
	if a.RequestID == "" { // it may be left over from an earlier request
		return x.abort("match answer", errUnidentifiedResponse), true
	}
	c.logStep("answer to an earlier request skipped", x.u, x.connFate(), nil)
	if err := x.skipBody(resp); err != nil {
		return x.abort("skip earlier answer", errors.Join(err, errStaleResponse)), true
	}
	return broken, false
}

// skipBody reads a response body that is not forwarded, so that the connection can carry
// another response. It fails if the body has no end or is too long or too slow.
func (x *exchange) skipBody(resp *http.Response) error {
	if isUnframed(resp) {
		return errors.New("gateway: the end of the body is the end of the connection")
	}
	now := x.c.g.opts.Clock()
	_ = x.conn.SetReadDeadline(now.Add(min(skippedBodyTimeout, x.c.timeLeft()+deadlineSlack))) // a closed connection fails the read
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		err = errBodyTooLong
	}
	_ = x.conn.SetReadDeadline(x.c.deadline.Add(deadlineSlack))
	return err
}

// isUnframed reports whether a response body ends only with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

var (
	errStaleResponse        = errors.New("gateway: the connection carries responses to other requests")
	errUnidentifiedResponse = errors.New("gateway: a response on a reused connection has no request ID")
)

// write sends the request. A long body is written while the response is read, since an
// upstream may respond before it has read the whole body.
func (x *exchange) write(version int) error {
	c := x.c
	h := c.r.Header.Clone()
	stripHopByHop(h)
	s := UpstreamMetadata{Upstream: x.u.ID, TimeLeft: c.timeLeft(), Priority: -1, LastEvent: -1, HasAccounts: c.credential.isRequired, Account: c.accountName()}
	if c.engine != nil {
		s.Priority = c.priority()
		s.Version = version
	}
	if c.route.Kind == routes.Stream {
		s.LastEvent = c.lastEvent
	}
	c.g.opts.HeaderCodec.EncodeRequest(h, s)
	h.Del("Content-Length")
	var head bytes.Buffer
	head.Grow(1024 + min(len(c.body), maxInlineBody))
	head.WriteString(c.r.Method + " " + c.r.RequestURI + " HTTP/1.1\r\nHost: " + c.r.Host + "\r\n")
	if len(c.body) > 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut || c.r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	if err := h.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(c.body) <= maxInlineBody {
		head.Write(c.body)
		_, err := x.conn.Write(head.Bytes())
		return err
	}
	x.bodyInBackground = true
	go func() {
		// The reads of the response report a failed write, see httpconn.Conn.Read.
		if _, err := x.conn.Write(head.Bytes()); err == nil {
			_, _ = x.conn.Write(c.body)
		}
	}()
	return nil
}

// priority returns the request's priority at a model engine. Among requests of the same rank,
// requests that have missed their latency objective come last.
func (c *call) priority() int {
	if c.timeToObjective() < 0 && !c.responseStarted {
		return c.precedence.LatePriority
	}
	return c.precedence.EnginePriority
}

// abort ends an attempt without a complete response, in which the request may have run. Unless
// the caller has left, it excludes the upstream and records a failure. If the deadline has not
// passed and the run was not past its beginning, it also starts a check whether the upstream has
// crashed.
func (x *exchange) abort(step string, err error) outcome {
	c := x.c
	x.reset()
	c.runs++
	if c.ctx.Err() != nil || x.wasWithdrawn.Load() {
		c.logStep("withdrawn", x.u, x.connFate(), err)
		return broken
	}
	c.excluded[x.u.ID] = true
	// After the caller's deadline, the broken connection is no sign of a fault of the upstream.
	deadlinePassed := c.timeLeft() < minTimeLeft
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.RecordFailure(c.g.opts.Clock(), x.u.ID, !deadlinePassed && !errors.Is(err, errStaleResponse))
	})
	c.logStep(step, x.u, x.connFate(), err)
	if !deadlinePassed && !x.hasSurvived {
		go c.g.checkCrash(brokenRun{
			upstream: x.u, traits: c.traits, requestID: c.meta.RequestID, adapter: c.meta.Adapter, sharedParts: c.meta.SharedParts,
			hadHead: x.hadHead, hadFirstEvent: x.hadFirstEvent,
		})
	}
	return broken
}

// handleResponse handles the response to the request, whose headers have been read: it forwards
// the response, or decides that the request may be sent to another upstream.
func (x *exchange) handleResponse(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	x.hadHead = true
	x.stopSilenceWatch()
	now := c.g.opts.Clock()
	c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordProgress(now, x.u.ID) })
	if a.HasLoad {
		c.g.opts.View.SetReportedLoad(x.u.ID, a.Load)
	}
	if a.LoadErr != nil {
		c.g.opts.Log.Event("malformed load report", slog.String("request", c.meta.RequestID), slog.String("upstream", string(x.u.ID)), slog.String("err", a.LoadErr.Error()))
	}
	if a.RateLimitErr != nil {
		c.g.opts.Log.Event("malformed request limit", slog.String("request", c.meta.RequestID), slog.String("upstream", string(x.u.ID)), slog.String("err", a.RateLimitErr.Error()))
	}
	// Only a response of the upstream itself shows that its limit has ended.
	if a.HasRateLimit || a.Signed && a.RateLimitErr == nil {
		c.g.opts.View.SetRateLimit(x.u.ID, balance.RateLimit{PerSecond: a.RateLimit, Ended: !a.HasRateLimit})
	}
	if a.NotRun {
		return x.handleRejection(resp, a)
	}
	if c.responseStarted && streamHeadOf(resp) != c.streamHead {
		return x.failContinuation(resp, a)
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && (!a.Signed || resp.Header.Get("Content-Encoding") != "") {
		return x.abort("check answer", errors.New("gateway: the response is unsigned or has a content encoding"))
	}
	if success && c.route.Kind == routes.Stream {
		return x.forwardStream(resp, a)
	}
	memory := c.memoryFor(c.g.opts.Responses)
	body, err := memory.read(resp.Body, resp.ContentLength, maxBufferedBody)
	x.stopResponseWatch()
	if errors.Is(err, errBodyMemory) { // not a failure of the upstream
		x.reset()
		claim := x.hedged.claim(c, http.StatusBadGateway)
		c.runs++
		c.logStep("read body of answer", x.u, x.connFate(), err)
		if claim != claimWon {
			return broken
		}
		c.fail(decisionlog.BodyMemoryExhausted)
		return delivered
	}
	if err != nil {
		return x.abort("read body of answer", err)
	}
	defer memory.release(body)
	x.recordAnswered(resp.StatusCode)
	claim := x.hedged.claim(c, resp.StatusCode)
	if claim == claimLost {
		return x.abort("lost to another attempt", nil)
	}
	x.release(resp, a)
	if resp.StatusCode >= 500 {
		c.runs++
		c.excluded[x.u.ID] = true
		if !a.HasRetryAfter { // a named wait is no fault
			c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordFailure(now, x.u.ID, false) })
		}
		if claim == claimYield || c.route.Repeatable() && c.runs+x.hedged.otherRuns(c) < c.route.Attempts && c.timeLeft() > minTimeLeft {
			c.logStep("upstream failed", x.u, x.connFate(), errors.New(resp.Status))
			return broken
		}
	} else {
		took := c.g.opts.Clock().Sub(x.sentAt)
		c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordSuccess(now, x.u.ID); t.ObserveServiceTime(x.u.ID, took) })
	}
	if success && !isUnframed(resp) {
		x.recordSurvival()
	}
	x.copyHeaders(resp)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(resp.StatusCode)
	_, _ = c.w.Write(body) // the caller may have left
	c.logOutcome(decisionlog.Answered, resp.StatusCode)
	return delivered
}

// handleRejection handles a response of an upstream that did not run the request. If the
// request waited for a load there, the load takes longer than estimated: handleRejection pauses,
// so that the request can be sent there again, and records the load as overdue from the second
// rejection on. Otherwise it records the adapter as missing or excludes the upstream.
func (x *exchange) handleRejection(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	if err := x.skipBody(resp); err != nil {
		x.reset()
	} else {
		x.release(resp, a)
	}
	c.logStep("rejected by upstream", x.u, x.connFate(), errors.New(resp.Status))
	if c.loadingAt == x.u.ID { // the load takes longer than estimated
		if c.earlyRejections++; c.earlyRejections > 1 { // a single rejection may be due to the error of the estimate
			c.g.opts.View.RecordOverdueLoad(x.u.ID, c.meta.Adapter)
		}
		c.sleep(min(overdueLoadPause, c.timeLeft()-minTimeLeft))
		return notRun
	}
	if a.Misrouted {
		c.g.opts.View.RecordMiss(x.u.ID, c.meta.Adapter)
	} else {
		c.excluded[x.u.ID] = true
	}
	return notRun
}

// copyHeaders copies the headers of a response to the caller's response.
func (x *exchange) copyHeaders(resp *http.Response) {
	h := x.c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	stripHopByHop(h)
	if x.c.g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// logStep logs one step of a request, with the fate of its connection to the upstream.
func (c *call) logStep(step string, u *upstreams.Upstream, conn fate, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	c.g.opts.Log.Event("step", slog.String("request", c.meta.RequestID), slog.String("step", step), slog.String("peer", string(u.ID)),
		slog.String("addr", u.Addr), slog.Int("sends", c.sends), slog.String("conn", conn.String()), slog.Duration("left", c.timeLeft()), slog.String("err", text))
}
