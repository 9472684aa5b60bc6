package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

type outcome uint8

const (
	delivered outcome = iota // the caller has an answer, or has left
	notRun                   // the upstream did not run the request
	broken                   // the request may have run
)

const (
	// inlineBody is the largest body in bytes that is written before the answer is read.
	inlineBody = 64 << 10
	// maxStale bounds the answers to earlier requests that are skipped on a connection.
	maxStale     = 2
	maxAnswer    = 8 << 20 // bytes of an answer that is not a stream
	endSlack     = 50 * time.Millisecond
	crashCheckIn = 60 * time.Millisecond
	// minTry is the least time that an upstream gets before an idempotent request is
	// sent to another one.
	minTry = 300 * time.Millisecond
	// headCheck is how often another place is looked for while the head is waited for.
	headCheck = 200 * time.Millisecond
	// versionCheck is how often a request that has not begun is checked for a newer version of its adapter.
	versionCheck = 300 * time.Millisecond
	// lateLoad is the pause before a request is sent again to an engine whose load
	// of its adapter takes longer than estimated.
	lateLoad = 100 * time.Millisecond
)

// hopByHop are the headers that concern one connection only.
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

// exchange is one send of a request to an upstream.
type exchange struct {
	c        *call
	u        *upstreams.Upstream
	conn     *httpconn.Conn
	sent     time.Time
	stop     func() bool   // ends the watch for the caller's leaving
	longBody bool          // is written while the answer is read
	read     bool          // the first event has come
	begun    chan struct{} // closed with the first event, nil without an adapter
	lastAt   atomic.Int64  // time of the last event, Unix nanoseconds
}

// send sends the request to an upstream and brings its answer back.
func (c *call) send(place fleet.Placement) outcome {
	u := place.Upstream
	view := c.g.opts.View
	c.upstream = u.ID
	conn, err := c.g.opts.Pool.Get(c.ctx, u.Addr, !c.route.Repeatable())
	if err != nil {
		if c.ctx.Err() != nil {
			return delivered
		}
		c.excluded[u.ID] = true
		view.WithTracker(func(t *balance.Tracker) { t.RecordFailure(c.g.opts.Clock(), u.ID, true) })
		c.note("no connection", u, err)
		return notRun
	}
	c.sends++
	if c.sends == 1 {
		view.CountRequest(c.service)
	}
	x := &exchange{c: c, u: u, conn: conn, sent: c.g.opts.Clock()}
	view.Begin(u.ID, c.request, c.meta.Adapter)
	defer func() {
		view.End(u.ID, c.request, c.meta.Adapter, x.read)
	}()
	x.stop = context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	defer x.stop()
	out := x.run(place.Version)
	if out == delivered {
		return out
	}
	if c.ctx.Err() != nil {
		c.done(decisionlog.CallerLeft, 0)
		return delivered
	}
	return out
}

func (x *exchange) run(version int) outcome {
	c := x.c
	if c.meta.Adapter.Name != "" {
		x.begun = make(chan struct{})
		defer x.hasBegun()
		go x.guardVersion(version, x.begun)
	}
	_ = x.conn.SetDeadline(c.deadline.Add(endSlack)) // a closed connection fails the write
	if err := x.write(version); err != nil {
		return x.brokeOff("write request", err)
	}
	for range maxStale {
		if out, mine := x.readAnswer(); mine {
			return out
		}
	}
	return x.brokeOff("read answer", errStale)
}

// readAnswer reads one answer from the connection. It reports false if the answer
// belongs to an earlier request and another one may follow.
func (x *exchange) readAnswer() (outcome, bool) {
	c := x.c
	stop := x.watchHead()
	resp, err := x.conn.ReadResponse(&http.Request{Method: c.r.Method})
	stop()
	if err != nil {
		return x.brokeOff("read answer", err), true
	}
	defer resp.Body.Close()
	a := c.g.opts.Dialect.DecodeResponse(resp.StatusCode, resp.Header)
	if a.RequestID == "" || a.RequestID == c.meta.RequestID {
		return x.answer(resp, a), true
	}
	c.note("answer to an earlier request skipped", x.u, nil)
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil || unframed {
		return x.brokeOff("skip earlier answer", errors.Join(err, errStale)), true
	}
	return broken, false
}

var errStale = errors.New("gateway: the connection carries answers to other requests")

// tryFor returns how long this upstream gets for the head of its answer before another
// one is looked for, zero for as long as the caller waits.
func (x *exchange) tryFor() time.Duration {
	c := x.c
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		return 0
	}
	if c.route.Kind == routes.Stream {
		return max(3*c.facts.Estimate, c.route.Goal*2)
	}
	return max(minTry, 2*c.route.Goal)
}

// watchHead closes the connection of a request that waits for the head of its answer
// for too long, if another upstream would begin at once. At an engine that is only busy
// its place in the queue is worth more than a new one elsewhere. It returns a function
// that ends the watch.
func (x *exchange) watchHead() (stop func()) {
	wait := x.tryFor()
	if wait == 0 {
		return func() {}
	}
	ask := x.askElsewhere()
	done := make(chan struct{})
	go func() {
		t := time.NewTimer(wait)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			if x.moves(ask) {
				x.c.note("answer waited for", x.u, nil)
				_ = x.conn.Close()
				return
			}
			t.Reset(headCheck)
		}
	}()
	return func() { close(done) }
}

// askElsewhere asks for a place at another upstream, from any goroutine.
func (x *exchange) askElsewhere() fleet.PlacementRequest {
	ask := x.c.ask()
	excluded := maps.Clone(x.c.excluded) // the caller's goroutine may change its own
	ask.Excluded = func(id state.UpstreamID) bool { return id == x.u.ID || excluded[id] }
	return ask
}

// moves reports whether the request is to go to another upstream, which would begin
// within the objective, and takes the retry for it.
func (x *exchange) moves(ask fleet.PlacementRequest) bool {
	c := x.c
	ask.Limits = balance.Limits{Goal: c.route.Goal, MaxStartDelay: min(c.route.Goal, c.left())}
	place := c.g.opts.View.Choose(ask)
	if place.Upstream == nil || place.Load || !c.g.opts.View.TakeRetry(c.service) {
		return false
	}
	c.reserved.Store(true)
	return true
}

// guardVersion closes the connection of a request that still waits at its engine when
// a newer version of its adapter must be in effect: it would begin on the older one.
func (x *exchange) guardVersion(version int, begun <-chan struct{}) {
	tick := time.NewTicker(versionCheck)
	defer tick.Stop()
	for {
		select {
		case <-begun:
			return
		case <-tick.C:
		}
		if x.c.g.opts.View.IsSuperseded(x.c.meta.Adapter, version) {
			x.c.note("adapter version superseded", x.u, nil)
			_ = x.conn.Close()
			return
		}
	}
}

// hasBegun ends the guard of the version. Only the goroutine of the exchange calls it.
func (x *exchange) hasBegun() {
	if x.begun != nil {
		close(x.begun)
		x.begun = nil
	}
}

// write sends the request. A long body is written while the answer is read, since
// an upstream may answer before it has read all of it.
func (x *exchange) write(version int) error {
	c := x.c
	h := c.r.Header.Clone()
	stripHopByHop(h)
	s := UpstreamMetadata{Upstream: x.u.ID, TimeLeft: c.left(), Priority: -1, LastEvent: -1}
	if c.engine != nil {
		s.Priority = c.priority()
		s.Version = version
	}
	if c.route.Kind == routes.Stream {
		s.LastEvent = c.lastEvent
	}
	c.g.opts.Dialect.EncodeRequest(h, s)
	h.Del("Content-Length")
	var head bytes.Buffer
	head.Grow(1024 + min(len(c.body), inlineBody))
	head.WriteString(c.r.Method + " " + c.r.RequestURI + " HTTP/1.1\r\nHost: " + c.r.Host + "\r\n")
	if len(c.body) > 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut || c.r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	if err := h.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(c.body) <= inlineBody {
		head.Write(c.body)
		_, err := x.conn.Write(head.Bytes())
		return err
	}
	x.longBody = true
	go func() {
		// A failed write shows as a failed read of the answer.
		if _, err := x.conn.Write(head.Bytes()); err == nil {
			_, _ = x.conn.Write(c.body)
		}
	}()
	return nil
}

// priority returns the priority at a model engine. Among requests of one rank, those
// that can still be on time go before those that are late anyway.
func (c *call) priority() int {
	p := 2 * c.route.Rank
	if c.goalLeft() < 0 && !c.begun {
		p++
	}
	return min(p, maxPriority)
}

// maxPriority is the least urgent priority of engines.
const maxPriority = 9

// brokeOff ends an exchange without a whole answer.
func (x *exchange) brokeOff(step string, err error) outcome {
	c := x.c
	_ = x.conn.Close()
	c.runs++
	if c.ctx.Err() != nil {
		return broken
	}
	c.excluded[x.u.ID] = true
	// A deadline is the caller's; the upstream may be sound.
	late := c.left() < minLeft
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.RecordFailure(c.g.opts.Clock(), x.u.ID, !late && !errors.Is(err, errStale))
	})
	c.note(step, x.u, err)
	if !late {
		go c.g.checkCrash(x.u, c.fingerprint)
	}
	return broken
}

// checkCrash finds out whether an upstream crashed under a request: its port is closed then.
func (g *Gateway) checkCrash(u *upstreams.Upstream, fingerprint uint64) {
	time.Sleep(crashCheckIn)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckIn*5)
	defer cancel()
	conn, err := g.opts.Pool.Get(ctx, u.Addr, true)
	if err == nil {
		g.opts.Pool.Put(u.Addr, conn, 0)
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	g.opts.Log.Event("upstream crashed under a request", slog.String("upstream", string(u.ID)), slog.Uint64("fingerprint", fingerprint))
	g.opts.View.RecordCrash(quarantine.Crash{Fingerprint: fingerprint, Upstream: u.ID})
}

// answer brings an answer back whose head has been read.
func (x *exchange) answer(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	now := c.g.opts.Clock()
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.RecordProgress(now, x.u.ID)
		if a.HasLoad {
			t.SetReportedLoad(now, x.u.ID, a.Load)
		}
	})
	if a.NotRun {
		return x.rejected(resp, a)
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && (!a.Signed || resp.Header.Get("Content-Encoding") != "") {
		return x.brokeOff("check answer", errors.New("gateway: not the upstream's own answer"))
	}
	if success && c.route.Kind == routes.Stream && c.engine != nil {
		return x.stream(resp, a)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return x.brokeOff("read body of answer", errors.Join(err, errLongAnswer(len(body))))
	}
	x.release(resp, a)
	if resp.StatusCode >= 500 {
		c.runs++
		c.excluded[x.u.ID] = true
		c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordFailure(now, x.u.ID, false) })
		if c.route.Repeatable() && c.runs < c.route.Attempts && c.left() > minLeft && !c.begun {
			c.note("upstream failed", x.u, errors.New(resp.Status))
			return broken
		}
	} else {
		took := c.g.opts.Clock().Sub(x.sent)
		c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordSuccess(now, x.u.ID); t.ObserveServiceTime(x.u.ID, took) })
	}
	if c.begun {
		return broken
	}
	x.head(resp)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(resp.StatusCode)
	_, _ = c.w.Write(body) // the caller may have left
	c.done(decisionlog.Answered, resp.StatusCode)
	return delivered
}

func errLongAnswer(n int) error {
	if n > maxAnswer {
		return errors.New("gateway: answer too long")
	}
	return nil
}

// rejected handles an answer that says the request did not run.
func (x *exchange) rejected(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
		_ = x.conn.Close()
	} else {
		x.release(resp, a)
	}
	c.note("rejected by upstream", x.u, errors.New(resp.Status))
	if c.loading == x.u.ID { // the load takes longer than estimated
		if c.early++; c.early > 1 { // and not just by what estimates are off
			c.g.opts.View.RecordOverdueLoad(x.u.ID, c.meta.Adapter)
		}
		c.pause(min(lateLoad, c.left()-minLeft))
		return notRun
	}
	if a.Misrouted {
		c.g.opts.View.RecordMiss(x.u.ID, c.meta.Adapter)
	} else {
		c.excluded[x.u.ID] = true
	}
	return notRun
}

// head copies the headers of an answer to the caller.
func (x *exchange) head(resp *http.Response) {
	h := x.c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	stripHopByHop(h)
	if x.c.g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// release gives the connection back if it can carry another request. After a long
// body it can't: the upstream may have answered before it read all of it.
func (x *exchange) release(resp *http.Response, a ResponseMetadata) {
	// A caller who leaves at this moment must not close the connection of the next request.
	watched := x.stop()
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if !watched || x.longBody || resp.Close || unframed {
		_ = x.conn.Close()
		return
	}
	x.c.g.opts.Pool.Put(x.u.Addr, x.conn, a.KeepAlive)
}

// note writes a line about one step of a request.
func (c *call) note(step string, u *upstreams.Upstream, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	c.g.opts.Log.Event("step", slog.String("request", c.meta.RequestID), slog.String("step", step), slog.String("peer", string(u.ID)),
		slog.String("addr", u.Addr), slog.Int("sends", c.sends), slog.Duration("left", c.left()), slog.String("err", text))
}
