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
)

const (
	eventBuffer = 4 << 10 // bytes
	maxEvent    = 1 << 20 // bytes
	// stallAfter is the pause in a stream after which it is resumed elsewhere if
	// nothing else comes from its upstream either, and stallLimit if something does.
	stallAfter = 800 * time.Millisecond
	stallLimit = 1600 * time.Millisecond
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
func (x *exchange) stream(resp *http.Response, a Answer) outcome {
	c := x.c
	flush := http.NewResponseController(c.w)
	last := c.g.opts.Clock()
	watch := x.watchdog()
	defer watch.Stop()
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
			c.g.opts.View.Track(func(t *balance.Tracker) { t.Progress(now, x.u.ID) })
		}
		last = now
		x.lastAt.Store(now.UnixNano())
		watch.Reset(stallAfter)
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
	c.g.opts.View.Track(func(t *balance.Tracker) { t.Succeeded(now, x.u.ID) })
	c.g.opts.View.Acquit(c.fingerprint)
	c.done(decisionlog.Answered, resp.StatusCode)
	return delivered
}

func (x *exchange) first(now time.Time) {
	x.read = true
	c := x.c
	took := now.Sub(x.sent)
	c.first = now.Sub(c.arrival)
	c.g.opts.View.Track(func(t *balance.Tracker) {
		t.First(x.u.ID, c.request)
		t.Progress(now, x.u.ID)
		t.TookFirst(x.u.ID, c.facts.Estimate, took)
	})
}

// watchdog closes the connection of a resumable stream that has stalled.
func (x *exchange) watchdog() *time.Timer {
	c := x.c
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		t := time.NewTimer(time.Hour)
		return t
	}
	var t *time.Timer
	x.lastAt.Store(c.g.opts.Clock().UnixNano())
	t = time.AfterFunc(stallAfter, func() {
		now := c.g.opts.Clock()
		var progress time.Time
		c.g.opts.View.Track(func(t *balance.Tracker) { progress = t.LastProgress(x.u.ID) })
		if now.Sub(progress) < stallAfter && now.UnixNano()-x.lastAt.Load() < int64(stallLimit) {
			t.Reset(stallLimit - stallAfter)
			return
		}
		_ = x.conn.Close()
	})
	return t
}
