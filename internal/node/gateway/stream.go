package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

const (
	eventBuffer = 4 << 10 // bytes of the buffer for reading a stream
	// maxFreeEvent is the size in bytes up to which an event takes no memory of responses.
	maxFreeEvent = 128 << 10
	maxEvent     = maxBufferedBody // bytes of one event
	// stallTimeout is the pause after which a stream is resumed at another upstream if this
	// daemon receives nothing else from the stream's upstream either.
	stallTimeout = time.Second
	// maxStall is the pause after which a stream is resumed at another upstream although this
	// daemon receives other data from the stream's upstream.
	maxStall = 1600 * time.Millisecond
	// stallCheckInterval is the pause between checks of a stalled stream that no other
	// upstream can take over.
	stallCheckInterval = 200 * time.Millisecond
)

// event is one event of a stream, with its bytes as received.
type event struct {
	raw []byte
	id  int // -1 if the event has no ID
	// isComment is whether the event has no line but comments.
	isComment bool
}

var (
	errTruncatedEvent = errors.New("gateway: stream broke off within an event")
	errEventTooLong   = errors.New("gateway: event too long")
	errNoEvent        = errors.New("gateway: stream without a length ended before its first event")
)

// streamHead is what the responses that make up one stream must have in common.
type streamHead struct {
	status    int
	mediaType string
}

func streamHeadOf(resp *http.Response) streamHead {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return streamHead{resp.StatusCode, strings.ToLower(strings.TrimSpace(mediaType))}
}

// failContinuation handles a response that can't continue the stream that the caller is receiving, for example an
// error. It counts as a run, as nothing says that the request did not run.
func (x *exchange) failContinuation(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	x.reset()
	c.runs++
	c.excluded[x.u.ID] = true
	if !a.HasRetryAfter { // a named wait is no fault
		c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordFailure(c.g.opts.Clock(), x.u.ID, false) })
	}
	c.logStep("answer does not continue the stream", x.u, x.connFate(), errors.New(resp.Status))
	return broken
}

// eventReader reads the events of a stream.
type eventReader struct {
	*bufio.Reader
	memory bodyMemory // for long events
	held   int64      // bytes of memory that the last event takes
}

// release returns the memory of the last event.
func (r *eventReader) release() {
	r.memory.pool.Release(r.memory.conn, r.held)
	r.held = 0
}

// reserve takes memory for an event that is to have the given size in bytes.
func (r *eventReader) reserve(size int) error {
	if size > maxEvent {
		return errEventTooLong
	}
	if size <= maxFreeEvent || int64(size) <= r.held {
		return nil
	}
	more := max(int64(size), 2*r.held, 2*maxFreeEvent) - r.held
	if !r.memory.pool.Take(r.memory.conn, more, r.held, r.memory.wait) {
		return errBodyMemory
	}
	r.held += more
	return nil
}

// next reads one complete event. It returns io.EOF only between events.
func (r *eventReader) next() (event, error) {
	r.release()
	e := event{id: -1, isComment: true}
	for {
		line, err := r.ReadSlice('\n')
		if err := r.reserve(len(e.raw) + len(line)); err != nil {
			return event{id: -1}, err
		}
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return e, errTruncatedEvent
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		e.isComment = e.isComment && text[0] == ':'
		if rest, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if id, err := strconv.Atoi(string(bytes.TrimSpace(rest))); err == nil {
				e.id = id
			}
		}
	}
}

// hasBufferedEvent reports whether the buffer of a reader contains the end of an event, so that eventReader.next would not
// wait.
func hasBufferedEvent(r *bufio.Reader) bool {
	buffered, _ := r.Peek(r.Buffered()) // can't fail
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// forwardStream forwards the events of a response as they are received, except events that the
// caller already has. It watches for stalls, and records the outcome.
func (x *exchange) forwardStream(resp *http.Response, a ResponseMetadata) outcome {
	c := x.c
	flush := http.NewResponseController(c.w)
	last := c.g.opts.Clock()
	x.stopResponseWatch()
	defer x.watchStall()()
	reader := &eventReader{Reader: bufio.NewReaderSize(resp.Body, eventBuffer), memory: c.memoryFor(c.g.opts.Responses)}
	defer reader.release()
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, errBodyMemory) { // not a failure of the upstream
			x.reset()
			c.runs++
			c.logStep("read event", x.u, x.connFate(), err)
			c.fail(decisionlog.BodyMemoryExhausted)
			return delivered
		}
		if err != nil {
			if c.responseStarted {
				_ = flush.Flush() // if the caller has left, its context says so
			}
			return x.abort("read event", err)
		}
		now := c.g.opts.Clock()
		if !x.hadFirstEvent {
			x.recordFirstEvent(now)
			x.recordAnswered(resp.StatusCode)
		}
		if now.Sub(last) > stallTimeout/4 {
			c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.RecordProgress(now, x.u.ID) })
		}
		last = now
		if now.Sub(x.firstEventAt) >= survivalTime {
			x.recordSurvival()
		}
		x.lastEventAt.Store(now.UnixNano())
		if e.id >= 0 && e.id <= c.lastEvent {
			continue // the caller already has this event
		}
		if !c.responseStarted {
			x.startStream(resp)
		}
		if _, err := c.w.Write(e.raw); err != nil {
			x.reset()
			c.logOutcome(decisionlog.CallerLeft, 0)
			return delivered
		}
		x.recordEvent(now)
		if e.id >= 0 {
			c.lastEvent = e.id
		} else if !e.isComment {
			c.cannotResume.Store(true)
		}
		if !hasBufferedEvent(reader.Reader) {
			if err := flush.Flush(); err != nil {
				x.reset()
				c.logOutcome(decisionlog.CallerLeft, 0)
				return delivered
			}
		}
	}
	if !x.hadFirstEvent && isUnframed(resp) {
		return x.abort("read event", errNoEvent)
	}
	if !x.hadFirstEvent {
		x.recordAnswered(resp.StatusCode)
	}
	if !c.responseStarted { // the stream had no events
		x.startStream(resp)
	}
	x.release(resp, a)
	now := c.g.opts.Clock()
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.RecordSuccess(now, x.u.ID)
		switch {
		case c.runs > 0 || !x.hadFirstEvent:
		case c.engine == nil:
			t.ObservePlainStream(x.u.ID, now.Sub(x.sentAt), now.Sub(x.firstEventAt))
		default:
			t.ObserveStreamTime(now.Sub(c.arrival) - c.firstEventDelay)
		}
	})
	if c.engine != nil && c.runs == 0 && x.hadFirstEvent && c.route.GapGoal > 0 { // paces prompts
		c.g.opts.View.ObserveStream(c.service, c.isStalled())
	}
	// A body that ends with its connection looks the same if the upstream crashed in it.
	if x.hadFirstEvent && !isUnframed(resp) {
		x.recordSurvival()
	}
	c.logOutcome(decisionlog.Answered, resp.StatusCode)
	return delivered
}

// startStream writes the head of a stream to the caller.
func (x *exchange) startStream(resp *http.Response) {
	c := x.c
	x.copyHeaders(resp)
	// Events may be left out because the caller has them, or come from another attempt.
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(resp.StatusCode)
	c.responseStarted, c.streamHead = true, streamHeadOf(resp)
}

// pauseSampleInterval is the minimum time between two pauses of a stream from which the
// tracker learns, unless a pause is too long.
const pauseSampleInterval = 100 * time.Millisecond

// recordEvent records that an event was written to the caller.
func (x *exchange) recordEvent(now time.Time) {
	c := x.c
	last := c.lastWrite
	c.lastWrite = now
	if last.IsZero() {
		return
	}
	pause := now.Sub(last)
	if pause > c.longestPause {
		c.longestPause, c.longestPauseAt = pause, x.u.ID
	}
	// A plain service reads no prompts, so that none are held back because of its pauses.
	if c.engine == nil || pause <= c.route.GapGoal && now.Sub(x.pauseSampledAt) < pauseSampleInterval {
		return
	}
	x.pauseSampledAt = now
	c.g.opts.View.WithTracker(func(t *balance.Tracker) { t.ObservePause(now, x.u, pause, c.route.GapGoal) })
}

// recordFirstEvent records the first event of the attempt and stops the start guard.
func (x *exchange) recordFirstEvent(now time.Time) {
	x.hadFirstEvent, x.firstEventAt = true, now
	x.stopStartGuard()
	c := x.c
	took := now.Sub(x.sentAt)
	c.firstEventDelay = now.Sub(c.arrival)
	c.g.opts.View.WithTracker(func(t *balance.Tracker) {
		t.FirstEvent(x.u.ID, c.request)
		t.RecordProgress(now, x.u.ID)
		switch {
		case c.engine == nil:
			t.ObservePlainFirstEvent(x.u.ID, took)
		case c.loadWait == 0: // otherwise the estimate includes a load
			t.ObserveFirstEvent(x.u.ID, c.placement.Estimate, took)
		}
	})
}

// watchStall resets the connection of a resumable stream that has stalled, if another
// upstream can take it over. It returns a function that ends the watch.
func (x *exchange) watchStall() (stop func()) {
	c := x.c
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		return func() {}
	}
	x.lastEventAt.Store(c.g.opts.Clock().UnixNano())
	req := x.placementElsewhere()
	done := make(chan struct{})
	go func() {
		t := time.NewTimer(stallTimeout)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			wait := x.checkStall(req)
			if wait == 0 {
				x.resetFor("stream stalled")
				return
			}
			t.Reset(wait)
		}
	}()
	return func() { close(done) }
}

// checkStall returns the time until the next check of the stream, or zero if the stream is to
// be resumed at another upstream. It then has taken a retry from the budget. A pause alone is
// no reason to end a response: another upstream must be able to continue it in time.
func (x *exchange) checkStall(req fleet.PlacementRequest) time.Duration {
	c := x.c
	now := c.g.opts.Clock()
	if c.cannotResume.Load() {
		return stallCheckInterval
	}
	pause := now.Sub(time.Unix(0, x.lastEventAt.Load()))
	if pause < stallTimeout {
		return stallTimeout - pause
	}
	var progress time.Time
	c.g.opts.View.WithTracker(func(t *balance.Tracker) { progress = t.LastProgress(x.u.ID) })
	if now.Sub(progress) < stallTimeout && pause < maxStall {
		return maxStall - pause
	}
	req.Limits = balance.Limits{LatencyObjective: c.route.Goal, MaxStartDelay: c.abandonAfter()*9/10 - pause}
	if placement := c.g.opts.View.Choose(req); placement.Upstream == nil || placement.Load || !c.g.opts.View.TakeRetry(c.service) {
		return stallCheckInterval
	}
	c.retryTaken.Store(true)
	return 0
}
