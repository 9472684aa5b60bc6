// Package decisionlog writes a structured log line for each decision about a request and
// each change of a daemon's view of the fleet. Writing never blocks the caller: lines wait
// in a bounded queue, and rates are limited. Beyond the limits, ends of requests are
// summarized by route and outcome with some of the request ids, and other lines are
// counted as dropped.
package decisionlog

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	queueLines = 1024
	// Limits in lines per second for events, ends of answered requests and ends of failed
	// requests. They are separate, so that a flood of answered requests does not displace
	// the failed ones.
	eventsPerSecond   = 120
	answeredPerSecond = 60
	failedPerSecond   = 60
	burstSeconds      = 2
	flushInterval     = time.Second
	closeTimeout      = 200 * time.Millisecond
	// idsPerSummary is the number of request ids in a summary.
	idsPerSummary = 8
	maxSummaries  = 64
)

// Keys of attributes that all parts of the daemon use.
const (
	KeyRequest = "request"
	KeyErr     = "err"
)

// End describes the end of a request.
type End struct {
	Request string
	Route   string
	Outcome string
	// Answered is set if the caller received the complete answer of an upstream.
	Answered bool
}

type summary struct {
	count int
	ids   []string
}

type summaryKey struct{ route, outcome string }

// Log writes one JSON object per line. It is safe for concurrent use.
type Log struct {
	logger         *slog.Logger
	queue          chan []byte
	events         *rate.Limiter
	answered       *rate.Limiter
	failed         *rate.Limiter
	dropped        atomic.Int64
	done           chan struct{}
	closeRequested chan struct{}

	mu        sync.Mutex
	summaries map[summaryKey]*summary
}

// New returns a log with lines of a daemon on a VM. A separate goroutine writes them to w.
func New(w io.Writer, vm string) *Log {
	limiter := func(perSecond int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)
	}
	l := &Log{
		queue:          make(chan []byte, queueLines),
		events:         limiter(eventsPerSecond),
		answered:       limiter(answeredPerSecond),
		failed:         limiter(failedPerSecond),
		done:           make(chan struct{}),
		closeRequested: make(chan struct{}),
		summaries:      make(map[summaryKey]*summary),
	}
	l.logger = slog.New(slog.NewJSONHandler(queueWriter{l}, nil)).With("vm", vm)
	go l.run(w)
	return l
}

// queueWriter passes lines to the writing goroutine.
type queueWriter struct{ log *Log }

// Write implements io.Writer. It drops the line if the queue is full.
func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.log.queue <- append([]byte(nil), line...):
	default:
		q.log.dropped.Add(1)
	}
	return len(line), nil
}

// Event writes a line, or counts it as dropped if the rate of events exceeds its limit.
func (l *Log) Event(event string, attrs ...slog.Attr) {
	if !l.events.Allow() {
		l.dropped.Add(1)
		return
	}
	l.write(event, attrs)
}

// Request writes a line about the end of a request, or adds it to a summary if the rate
// exceeds its limit.
func (l *Log) Request(end End, attrs ...slog.Attr) {
	limiter := l.failed
	if end.Answered {
		limiter = l.answered
	}
	if !limiter.Allow() {
		l.summarize(end)
		return
	}
	own := []slog.Attr{slog.String(KeyRequest, end.Request), slog.String("route", end.Route), slog.String("outcome", end.Outcome)}
	l.write("request", append(own, attrs...))
}

func (l *Log) write(event string, attrs []slog.Attr) {
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, event, attrs...)
}

func (l *Log) summarize(end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := summaryKey{end.Route, end.Outcome}
	s := l.summaries[key]
	if s == nil && len(l.summaries) >= maxSummaries {
		key.route = ""
		s = l.summaries[key]
	}
	if s == nil {
		s = &summary{}
		l.summaries[key] = s
	}
	s.count++
	if len(s.ids) < idsPerSummary {
		s.ids = append(s.ids, end.Request)
	}
}

// Dropped returns the number of lines that were not written and are in no summary.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and the summaries and ends the log. It stops waiting for
// the output after closeTimeout.
func (l *Log) Close() {
	close(l.closeRequested)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

func (l *Log) run(w io.Writer) {
	defer close(l.done)
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	var reported int64
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line) // a closed standard output stops nothing
		case <-tick.C:
			reported = l.flush(reported)
		case <-l.closeRequested:
			l.flush(reported)
			l.writeQueued(w)
			return
		}
	}
}

// writeQueued writes the lines in the queue.
func (l *Log) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line) // a closed standard output stops nothing
		default:
			return
		}
	}
}

// flush logs and clears the summaries, and logs the number of lines dropped since the
// preceding flush. It takes the total of dropped lines at the preceding flush and returns
// the current total.
func (l *Log) flush(reported int64) int64 {
	l.mu.Lock()
	summaries := l.summaries
	l.summaries = make(map[summaryKey]*summary)
	l.mu.Unlock()
	keys := make([]summaryKey, 0, len(summaries))
	for key := range summaries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b summaryKey) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.outcome, b.outcome))
	})
	for _, key := range keys {
		s := summaries[key]
		l.write("requests summed", []slog.Attr{
			slog.String("route", key.route), slog.String("outcome", key.outcome), slog.Int("count", s.count),
			slog.String("requests", strings.Join(s.ids, " ")),
		})
	}
	n := l.dropped.Load()
	if n > reported {
		l.write("lines dropped", []slog.Attr{slog.Int64("count", n-reported)})
	}
	return n
}
