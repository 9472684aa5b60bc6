package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

const (
	eventBuffer = 4 << 10 // bytes
	maxEvent    = 1 << 20 // bytes
	// stallAfter is the pause in a stream after which it is resumed elsewhere if
	// nothing else comes from its upstream either, and stallLimit if something does.
	stallAfter = time.Second
	stallLimit = 1600 * time.Millisecond
	// stallCheck is the pause before a stalled stream without another place is looked at again.
	stallCheck = 200 * time.Millisecond
)

// event is one event of a stream with the bytes as they came.
type event struct {
	raw []byte
	id  int // -1 if it has none
}

var errTorn = errors.New("gateway: stream broke off within an event")

// readEvent reads one whole event. It returns io.EOF only between events.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{id: -1}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.raw) > maxEvent {
				return e, errors.New("gateway: event too long")
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return e, errTorn
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if rest, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if id, err := strconv.Atoi(string(bytes.TrimSpace(rest))); err == nil {
				e.id = id
			}
		}
	}
}

// stream passes the events of an answer on as they come.
func (x *exchange) stream(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	flush := http.NewResponseController(c.w)
	last := c.g.opts.Clock()
	defer x.watch()()
	reader := bufio.NewReaderSize(resp.Body, eventBuffer)
	for {
		e, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.brokeOff("read event", err)
		}
		now := c.g.opts.Clock()
		if !x.read {
			x.first(now)
		}
		if now.Sub(last) > stallAfter/4 {
			c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordProgress(now, x.u.ID) })
		}
		last = now
		x.lastAt.Store(now.UnixNano())
		if e.id >= 0 && e.id <= c.lastEvent {
			continue // the caller has it
		}
		if !c.begun {
			x.head(resp)
			c.w.WriteHeader(resp.StatusCode)
			c.begun = true
		}
		if _, err := c.w.Write(e.raw); err != nil {
			_ = x.conn.Close()
			c.done(decisionlog.CallerLeft, 0)
			return delivered
		}
		c.lastWrite = now
		if e.id >= 0 {
			c.lastEvent = e.id
		}
		if reader.Buffered() == 0 {
			if err := flush.Flush(); err != nil {
				_ = x.conn.Close()
				c.done(decisionlog.CallerLeft, 0)
				return delivered
			}
		}
	}
	if !c.begun { // an empty stream
		x.head(resp)
		c.w.WriteHeader(resp.StatusCode)
		c.begun = true
	}
	x.release(resp, a)
	now := c.g.opts.Clock()
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.RecordSuccess(now, x.u.ID)
		if c.runs == 0 && x.read {
			t.ObserveStreamTime(now.Sub(c.arrival) - c.first)
		}
	})
	c.g.opts.View.ClearCrashes(c.fingerprint)
	c.done(decisionlog.Answered, resp.StatusCode)
	return delivered
}

func (x *exchange) first(now time.Time) {
	x.read = true
	x.hasBegun()
	c := x.c
	took := now.Sub(x.sent)
	c.first = now.Sub(c.arrival)
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.FirstEvent(x.u.ID, c.request)
		t.RecordProgress(now, x.u.ID)
		if c.waited == 0 { // else the estimate was for a load
			t.ObserveFirstEvent(x.u.ID, c.facts.Estimate, took)
		}
	})
}

// watch closes the connection of a resumable stream that has stalled, if another
// upstream would take it over. It returns a function that ends the watch.
func (x *exchange) watch() (stop func()) {
	c := x.c
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		return func() {}
	}
	x.lastAt.Store(c.g.opts.Clock().UnixNano())
	ask := x.askElsewhere()
	done := make(chan struct{})
	go func() {
		t := time.NewTimer(stallAfter)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			wait := x.stalled(ask)
			if wait == 0 {
				_ = x.conn.Close()
				return
			}
			t.Reset(wait)
		}
	}()
	return func() { close(done) }
}

// stalled returns the time after which the stream is to be looked at again, zero if it
// is to be resumed elsewhere. Silence alone is no reason to end an answer.
func (x *exchange) stalled(ask fleet.PlacementRequest) time.Duration {
	c := x.c
	now := c.g.opts.Clock()
	pause := now.Sub(time.Unix(0, x.lastAt.Load()))
	if pause < stallAfter {
		return stallAfter - pause
	}
	var progress time.Time
	c.g.opts.View.WithTracker(func(t *balance.Tracker) { progress = t.LastProgress(x.u.ID) })
	if now.Sub(progress) < stallAfter && pause < stallLimit {
		return stallLimit - pause
	}
	ask.Limits = balance.Limits{Goal: c.route.Goal, MaxStartDelay: c.abandonment()*9/10 - pause}
	if place := c.g.opts.View.Choose(ask); place.Upstream == nil || place.Load || !c.g.opts.View.TakeRetry(c.service) {
		return stallCheck
	}
	c.reserved.Store(true)
	c.note("stream stalled", x.u, nil)
	return 0
}
