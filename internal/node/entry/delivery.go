package entry

import (
	"errors"
	"fmt"
	"sync"

	"github.com/celerydeck/celerydeck/internal/coordination/answer"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	stepRead  = "read answer"
	stepCheck = "check answer"

	minFinalStatus = 200
	maxFinalStatus = 599
)

// delivery merges the parts of all attempts into one answer and passes each part to
// the caller in order and exactly once. It holds its lock while the caller accepts a
// part, so that a slow caller exerts backpressure on the upstream.
type delivery struct {
	mu     sync.Mutex
	sink   protocol.Sink
	answer *answer.Assembler
}

func newDelivery(call *protocol.Call, sink protocol.Sink) *delivery {
	var expected state.AdapterRef
	if call.Model != nil {
		expected = call.Model.Adapter
	}
	return &delivery{sink: sink, answer: answer.NewAssembler(expected)}
}

func (d *delivery) nextOffset() uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answer.NextOffset()
}

func (d *delivery) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answer.Started()
}

func (d *delivery) ended() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answer.Ended()
}

// newAttempt returns the sink for the parts of a new attempt.
func (d *delivery) newAttempt(call *protocol.Call, tracked *attemptTracker) *attemptSink {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer.OpenAttempt(call.Attempt)
	return &attemptSink{d: d, attempt: call.Attempt, upstream: call.Upstream, tracked: tracked}
}

// attemptSink receives the parts of one attempt. After close it rejects further parts.
type attemptSink struct {
	d        *delivery
	attempt  uint32
	upstream state.UpstreamID
	tracked  *attemptTracker
	failure  *protocol.Error // error of the first invalid part, or reported by the upstream; guarded by d.mu
}

func (a *attemptSink) close() {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.d.answer.CloseAttempt(a.attempt)
}

func (a *attemptSink) firstFailure() *protocol.Error {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.failure
}

// Head implements protocol.Sink.
func (a *attemptSink) Head(h protocol.Head) error {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if err := a.checkAttempt(h.Attempt); err != nil {
		return err
	}
	if h.Status < minFinalStatus || h.Status > maxFinalStatus { // daemons of earlier versions pass on any status
		return a.fail(protocol.KindInterrupted, fmt.Errorf("%d is no status of an answer", h.Status))
	}
	first, err := a.d.answer.AddHead(a.attempt, h.Adapter, h.Boot)
	if err != nil {
		kind := protocol.KindInterrupted
		if errors.Is(err, answer.ErrWrongAdapter) {
			kind = protocol.KindWrongAdapter
		}
		return a.fail(kind, fmt.Errorf("%w: %s", err, h.Adapter))
	}
	if !first {
		return nil
	}
	return a.d.sink.Head(h)
}

// Chunk implements protocol.Sink.
func (a *attemptSink) Chunk(c protocol.Chunk) error {
	a.tracked.observePart(c.Count)
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if err := a.checkAttempt(c.Attempt); err != nil {
		return err
	}
	ready, err := a.d.answer.AddChunk(a.attempt, answer.Chunk{Offset: c.Offset, Count: c.Count, Data: c.Data})
	if err != nil {
		return a.fail(protocol.KindInterrupted, err)
	}
	for _, p := range ready {
		part := protocol.Chunk{Attempt: c.Attempt, Offset: p.Offset, Count: p.Count, Data: p.Data}
		if err := a.d.sink.Chunk(part); err != nil {
			return err
		}
	}
	return nil
}

// End implements protocol.Sink.
func (a *attemptSink) End(e protocol.End) error {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if e.Err != nil {
		a.failure = e.Err
		return nil
	}
	if err := a.checkAttempt(e.Attempt); err != nil {
		return err
	}
	if err := a.d.answer.AddEnd(a.attempt, e.Total); err != nil {
		return a.fail(protocol.KindInterrupted, err)
	}
	return a.d.sink.End(e)
}

// checkAttempt returns an error if number is not the number of the sink's attempt. The
// caller must hold d.mu.
func (a *attemptSink) checkAttempt(number uint32) error {
	if number == a.attempt {
		return nil
	}
	return a.fail(protocol.KindInterrupted, fmt.Errorf("part of attempt %d within attempt %d", number, a.attempt))
}

// fail records the first failure and returns it. The caller must hold d.mu.
func (a *attemptSink) fail(kind protocol.ErrorKind, err error) error {
	if a.failure == nil {
		a.failure = protocol.Errorf(kind, stepCheck, protocol.OutcomeUnknown, "%v", err).WithPeer(string(a.upstream))
	}
	return a.failure
}
