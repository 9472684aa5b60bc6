// Package statelog writes changes of state as structured log lines and limits how
// many there are a second. Everything else is counted, not logged.
package statelog

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	linesPerSecond = 10
	burst          = 100
)

var std = New(rate.NewLimiter(linesPerSecond, burst), klog.InfoSDepth)

// Logger writes lines as long as its limiter lets it.
type Logger struct {
	limiter *rate.Limiter
	write   func(depth int, msg string, kv ...any)
	dropped atomic.Int64
}

// New returns a logger that hands its lines to write.
func New(limiter *rate.Limiter, write func(depth int, msg string, kv ...any)) *Logger {
	return &Logger{limiter: limiter, write: write}
}

// Info writes a line, or counts it as dropped. The next line tells how many were.
func (l *Logger) Info(msg string, kv ...any) { l.info(1, msg, kv...) }

func (l *Logger) info(depth int, msg string, kv ...any) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	if n := l.dropped.Swap(0); n > 0 {
		kv = append(kv, "droppedLines", n)
	}
	l.write(depth+1, msg, kv...)
}

// Info writes a line about a change of state.
func Info(msg string, kv ...any) { std.info(1, msg, kv...) }

// Request writes a line about a request whose end changed what is known, with the
// step and the peer at which its error arose.
func Request(msg, requestID string, err *protocol.Error, kv ...any) {
	fields := []any{"request", requestID, "step", err.Step, "peer", err.Peer, "kind", err.Kind, "outcome", err.Outcome}
	std.info(1, msg, append(fields, kv...)...)
}
