package once

import (
	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// recorder is a sink that passes an answer on to the caller and keeps a copy of the
// answer for replays. It continues to record after the caller has disconnected.
type recorder struct {
	sink       protocol.Sink
	callerGone bool
	answer     core.Answer
	complete   bool
}

// Head implements protocol.Sink.
func (r *recorder) Head(h protocol.Head) error {
	r.answer.Status = h.Status
	r.answer.Adapter = h.Adapter
	r.answer.Upstream = h.Upstream
	r.answer.Boot = h.Boot
	for _, f := range h.Header {
		r.answer.Header = append(r.answer.Header, core.HeaderField(f))
	}
	r.passOn(func() error { return r.sink.Head(h) })
	return nil
}

// Chunk implements protocol.Sink.
func (r *recorder) Chunk(c protocol.Chunk) error {
	if len(r.answer.Data) <= core.MaxReplayBytes {
		// Keep one byte more than the limit, to mark the answer as too large.
		capacity := core.MaxReplayBytes + 1 - len(r.answer.Data)
		r.answer.Data = append(r.answer.Data, c.Data[:min(capacity, len(c.Data))]...)
	}
	r.passOn(func() error { return r.sink.Chunk(c) })
	return nil
}

// End implements protocol.Sink.
func (r *recorder) End(e protocol.End) error {
	r.complete = e.Err == nil
	r.answer.Total = e.Total
	r.answer.FinishReason = e.FinishReason
	r.answer.PromptTokens = e.PromptTokens
	r.passOn(func() error { return r.sink.End(e) })
	return nil
}

// passOn delivers a part of the answer to the caller, unless an earlier delivery failed.
func (r *recorder) passOn(deliver func() error) {
	if !r.callerGone {
		r.callerGone = deliver() != nil
	}
}

// result returns the result of the call, which ended with err.
func (r *recorder) result(err *protocol.Error) core.Result {
	switch {
	case err == nil && r.complete:
		return core.Result{Outcome: core.OutcomeRan, Answer: &r.answer}
	case err != nil && err.Outcome == protocol.OutcomeNotRun:
		return core.Result{Outcome: core.OutcomeNotRun}
	}
	return core.Result{Outcome: core.OutcomeUnknown}
}

// replay sends a kept answer to the caller.
func replay(a *core.Answer, sink protocol.Sink) error {
	head := protocol.Head{
		Status:   a.Status,
		Adapter:  a.Adapter,
		Upstream: a.Upstream,
		Boot:     a.Boot,
		Replayed: true,
	}
	for _, f := range a.Header {
		head.Header = append(head.Header, protocol.HeaderField(f))
	}
	if err := sink.Head(head); err != nil {
		return err
	}
	if len(a.Data) > 0 {
		if err := sink.Chunk(protocol.Chunk{Count: a.Total, Data: a.Data}); err != nil {
			return err
		}
	}
	return sink.End(protocol.End{Total: a.Total, FinishReason: a.FinishReason, PromptTokens: a.PromptTokens})
}
