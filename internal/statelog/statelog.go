// Package statelog writes structured log lines about changes of state and limits their
// rate. Events that change no state are counted in metrics and not logged.
package statelog

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	linesPerSecond = 10
	burstLines     = 100
)

var defaultLogger = New(rate.NewLimiter(linesPerSecond, burstLines), klog.InfoSDepth)

// Logger writes lines at the rate that its limiter allows.
type Logger struct {
	limiter *rate.Limiter
	write   func(depth int, msg string, kv ...any)
	dropped atomic.Int64
}

// New returns a logger that passes its lines to write.
func New(limiter *rate.Limiter, write func(depth int, msg string, kv ...any)) *Logger {
	return &Logger{limiter: limiter, write: write}
}

// Info writes a line, or drops it if the rate of lines exceeds the limit. The line that is
// written next contains the number of dropped lines.
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

// Info writes a line about a change of state through the default logger.
func Info(msg string, kv ...any) { defaultLogger.info(1, msg, kv...) }

// Request writes a line about a failed request that led to a change of state. The line
// contains the step and the peer at which the error arose.
func Request(msg, requestID string, err *protocol.Error, kv ...any) {
	fields := []any{"request", requestID, "step", err.Step, "peer", err.Peer, "kind", err.Kind, "outcome", err.Outcome}
	defaultLogger.info(1, msg, append(fields, kv...)...)
}
