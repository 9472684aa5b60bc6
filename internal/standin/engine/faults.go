package engine

import (
	"fmt"
	"slices"
)

const maxLog = 256

// Faults are the faults that an engine injects. Integer fields count the further streams
// that are affected.
type Faults struct {
	Duplicate  bool // send every event twice
	Reorder    bool // swap neighboring events
	Cut        int  // break the connection in the middle
	WrongModel int  // answer with the name of another adapter
	EarlyEnd   int  // end in the middle as if the answer were complete
	Refuse     int  // answer with status 503
	ChangeBoot int  // change the boot id in the middle
	CutHead    int  // close the connection in the middle of the response head
	// RepeatRefusal makes the engine write each refusal of Refuse once more before the next answer on the
	// connection, and an interim response before both.
	RepeatRefusal bool
	// ErrorOnResume is the status with which the engine answers a resumed request, with an error as its body; zero
	// for none.
	ErrorOnResume int
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	duplicate, reorder, cut, wrongModel, earlyEnd, refuse, changeBoot, cutHead, repeatRefusal bool
	errorOnResume                                                                             int
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Cancels returns the number of running requests that cancel calls have ended.
func (e *Engine) Cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels
}

// Attempts returns the number of attempts of a request that the engine started.
func (e *Engine) Attempts(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts[requestID]
}

// AllAttempts returns the number of attempts that the engine started, of all requests.
func (e *Engine) AllAttempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.attempts {
		sum += n
	}
	return sum
}

// Running returns the number of requests in flight.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Log returns the last maxLog load and unload orders and requests, one line each.
func (e *Engine) Log() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// logf adds a line to the log. The caller must hold mu.
func (e *Engine) logf(format string, args ...any) {
	if len(e.log) >= maxLog {
		e.log = e.log[1:]
	}
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

// nextFaults returns the faults of the next stream and counts them down. The caller must
// hold mu.
func (e *Engine) nextFaults() streamFaults {
	f := &e.faults
	return streamFaults{
		duplicate:  f.Duplicate,
		reorder:    f.Reorder,
		cut:        consume(&f.Cut),
		wrongModel: consume(&f.WrongModel),
		earlyEnd:   consume(&f.EarlyEnd),
		refuse:     consume(&f.Refuse),
		changeBoot: consume(&f.ChangeBoot),
		cutHead:    consume(&f.CutHead),

		repeatRefusal: f.RepeatRefusal,
		errorOnResume: f.ErrorOnResume,
	}
}

// consume decrements a count and reports whether it was above zero.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// sendOrder returns the offsets in [from, to) in the order in which the faults send their
// events.
func (f streamFaults) sendOrder(from, to int) []int {
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
