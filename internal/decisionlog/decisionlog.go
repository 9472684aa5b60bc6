// Package decisionlog writes one structured line for each decision about a request
// and each change of what a daemon believes. Writing never blocks the caller: lines
// wait in a bounded queue, and lines beyond the budget are counted.
package decisionlog

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	queueLines     = 1024
	linesPerSecond = 200
	burstLines     = 400
	dropReport     = time.Second
)

// Log writes lines of JSON. It is safe for concurrent use.
type Log struct {
	logger  *slog.Logger
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	closing chan struct{}
}

// New returns a log that writes to w from a goroutine of its own.
func New(w io.Writer, vm string) *Log {
	l := &Log{
		queue:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
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
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, event, attrs...)
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what is queued, for at most a moment.
func (l *Log) Close() {
	close(l.closing)
	select {
	case <-l.done:
	case <-time.After(200 * time.Millisecond):
	}
}

func (l *Log) run(w io.Writer) {
	defer close(l.done)
	tick := time.NewTicker(dropReport)
	defer tick.Stop()
	var reported int64
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line) // a closed standard output stops nothing
		case <-tick.C:
			if n := l.dropped.Load(); n > reported {
				l.logger.Warn("log lines dropped", "count", n-reported)
				reported = n
			}
		case <-l.closing:
			for {
				select {
				case line := <-l.queue:
					_, _ = w.Write(line)
				default:
					return
				}
			}
		}
	}
}
