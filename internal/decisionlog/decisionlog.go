// Package decisionlog writes one structured line for each decision about a request
// and each change of what a daemon believes. Writing never blocks the caller: lines
// wait in a bounded queue. Lines beyond a budget are not lost without a trace: the ends
// of requests are summed by outcome, with some of their ids, and the others are counted.
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
	// Budgets in lines a second. Failures have one of their own, so that a flood of
	// answered requests does not hide them.
	eventsPerSecond   = 120
	answeredPerSecond = 60
	failedPerSecond   = 60
	burstSeconds      = 2
	flushInterval     = time.Second
	closeWait         = 200 * time.Millisecond
	// idsPerSum is how many ids of summed requests are kept.
	idsPerSum = 8
	maxSums   = 64
)

// Keys of lines that every part of the daemon uses.
const (
	KeyRequest = "request"
	KeyErr     = "err"
)

// End is the end of a request.
type End struct {
	Request string
	Route   string
	Outcome string
	// Answered says that the caller has a whole answer of an upstream.
	Answered bool
}

type sum struct {
	count int
	ids   []string
}

type sumKey struct{ route, outcome string }

// Log writes lines of JSON. It is safe for concurrent use.
type Log struct {
	logger   *slog.Logger
	queue    chan []byte
	events   *rate.Limiter
	answered *rate.Limiter
	failed   *rate.Limiter
	dropped  atomic.Int64
	done     chan struct{}
	closing  chan struct{}

	mu   sync.Mutex
	sums map[sumKey]*sum
}

// New returns a log that writes to w from a goroutine of its own.
func New(w io.Writer, vm string) *Log {
	limiter := func(perSecond int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)
	}
	l := &Log{
		queue:    make(chan []byte, queueLines),
		events:   limiter(eventsPerSecond),
		answered: limiter(answeredPerSecond),
		failed:   limiter(failedPerSecond),
		done:     make(chan struct{}),
		closing:  make(chan struct{}),
		sums:     make(map[sumKey]*sum),
	}
	l.logger = slog.New(slog.NewJSONHandler(queueWriter{l}, nil)).With("vm", vm)
	go l.run(w)
	return l
}

// queueWriter hands lines over to the writing goroutine.
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

// Event writes a line unless the budget of lines is spent.
func (l *Log) Event(event string, attrs ...slog.Attr) {
	if !l.events.Allow() {
		l.dropped.Add(1)
		return
	}
	l.write(event, attrs)
}

// Request writes the line of a request's end, or sums it up with others.
func (l *Log) Request(end End, attrs ...slog.Attr) {
	limiter := l.failed
	if end.Answered {
		limiter = l.answered
	}
	if !limiter.Allow() {
		l.add(end)
		return
	}
	own := []slog.Attr{slog.String(KeyRequest, end.Request), slog.String("route", end.Route), slog.String("outcome", end.Outcome)}
	l.write("request", append(own, attrs...))
}

func (l *Log) write(event string, attrs []slog.Attr) {
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, event, attrs...)
}

func (l *Log) add(end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := sumKey{end.Route, end.Outcome}
	s := l.sums[key]
	if s == nil && len(l.sums) >= maxSums {
		key.route = ""
		s = l.sums[key]
	}
	if s == nil {
		s = &sum{}
		l.sums[key] = s
	}
	s.count++
	if len(s.ids) < idsPerSum {
		s.ids = append(s.ids, end.Request)
	}
}

// Dropped returns the number of lines that were not written and are in no sum.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what is queued, for at most a moment.
func (l *Log) Close() {
	close(l.closing)
	select {
	case <-l.done:
	case <-time.After(closeWait):
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
		case <-l.closing:
			l.flush(reported)
			l.drain(w)
			return
		}
	}
}

// drain writes what is queued.
func (l *Log) drain(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line) // a closed standard output stops nothing
		default:
			return
		}
	}
}

// flush writes the sums, and how many lines were dropped since the last report.
func (l *Log) flush(reported int64) int64 {
	l.mu.Lock()
	sums := l.sums
	l.sums = make(map[sumKey]*sum)
	l.mu.Unlock()
	keys := make([]sumKey, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b sumKey) int { return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.outcome, b.outcome)) })
	for _, key := range keys {
		s := sums[key]
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
