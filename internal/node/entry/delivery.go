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
)

// delivery hands the parts of all attempts to the caller, in order and once. Its
// lock is held while the caller takes a part, so that a slow caller slows down
// the upstream.
type delivery struct {
	mu     sync.Mutex
	sink   protocol.Sink
	answer *answer.Assembler
}

func newDelivery(call *protocol.Call, sink protocol.Sink) *delivery {
	var want state.AdapterRef
	if call.Model != nil {
		want = call.Model.Adapter
	}
	return &delivery{sink: sink, answer: answer.NewAssembler(want)}
}

func (d *delivery) next() uint32 {
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

// open returns the sink of a new attempt.
func (d *delivery) open(call *protocol.Call, tracked *tracking) *attemptSink {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer.OpenAttempt(call.Attempt)
	return &attemptSink{d: d, number: call.Attempt, upstream: call.Upstream, tracked: tracked}
}

// attemptSink takes the parts of one attempt. After close it refuses them.
type attemptSink struct {
	d        *delivery
	number   uint32
	upstream state.UpstreamID
	tracked  *tracking
	failure  *protocol.Error // guarded by d.mu; set by the first bad part
}

func (a *attemptSink) close() {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.d.answer.CloseAttempt(a.number)
}

func (a *attemptSink) failed() *protocol.Error {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.failure
}

// Head implements protocol.Sink.
func (a *attemptSink) Head(h protocol.Head) error {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if err := a.check(h.Attempt); err != nil {
		return err
	}
	first, err := a.d.answer.AddHead(a.number, h.Adapter, h.Boot)
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
	a.tracked.part(c.Count)
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if err := a.check(c.Attempt); err != nil {
		return err
	}
	ready, err := a.d.answer.AddChunk(a.number, answer.Chunk{Offset: c.Offset, Count: c.Count, Data: c.Data})
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
	if err := a.check(e.Attempt); err != nil {
		return err
	}
	if err := a.d.answer.AddEnd(a.number, e.Total); err != nil {
		return a.fail(protocol.KindInterrupted, err)
	}
	return a.d.sink.End(e)
}

// check refuses the parts of another attempt. The caller must hold d.mu.
func (a *attemptSink) check(number uint32) error {
	if number == a.number {
		return nil
	}
	return a.fail(protocol.KindInterrupted, fmt.Errorf("part of attempt %d within attempt %d", number, a.number))
}

// fail keeps the first failure. The caller must hold d.mu.
func (a *attemptSink) fail(kind protocol.ErrorKind, err error) error {
	if a.failure == nil {
		a.failure = protocol.Errorf(kind, stepCheck, protocol.OutcomeUnknown, "%v", err).WithPeer(string(a.upstream))
	}
	return a.failure
}
