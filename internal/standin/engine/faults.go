package engine

import (
	"fmt"
	"slices"
)

const maxLog = 256

// Faults says how an engine misbehaves. Counts are of streams to come.
type Faults struct {
	Duplicate  bool // send every event twice
	Reorder    bool // swap neighboring events
	Cut        int  // break the connection half way
	WrongModel int  // answer in the name of another adapter
	EarlyEnd   int  // end half way as if the answer were whole
	Refuse     int  // refuse with status 503
	ChangeBoot int  // change the boot id half way
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	duplicate, reorder, cut, wrongModel, earlyEnd, refuse, newBoot bool
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Cancels returns how many requests were canceled by order.
func (e *Engine) Cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels
}

// Attempts returns how many attempts of a request the engine began to run.
func (e *Engine) Attempts(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Log returns the orders and requests that the engine got, the latest maxLog.
func (e *Engine) Log() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// note adds a line to the log. The caller must hold mu.
func (e *Engine) note(format string, args ...any) {
	if len(e.log) >= maxLog {
		e.log = e.log[1:]
	}
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

// drawFaults takes the faults of the next stream. The caller must hold mu.
func (e *Engine) drawFaults() streamFaults {
	f := &e.faults
	return streamFaults{
		duplicate:  f.Duplicate,
		reorder:    f.Reorder,
		cut:        take(&f.Cut),
		wrongModel: take(&f.WrongModel),
		earlyEnd:   take(&f.EarlyEnd),
		refuse:     take(&f.Refuse),
		newBoot:    take(&f.ChangeBoot),
	}
}

func take(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// order returns the positions of events in the order in which they are sent.
func (f streamFaults) order(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
		if f.duplicate {
			out = append(out, i)
		}
	}
	for i := 0; f.reorder && i+2 < len(out); i += 2 {
		out[i], out[i+1] = out[i+1], out[i]
	}
	return out
}
