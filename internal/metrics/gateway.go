package metrics

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Gateway serves a caller's request until its answer is complete or has failed.
type Gateway interface {
	Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error
}

type timedGateway struct {
	next     Gateway
	recorder *Recorder
}

// Instrument returns a gateway that records metrics of the calls of next.
func Instrument(next Gateway, recorder *Recorder) Gateway {
	return timedGateway{next: next, recorder: recorder}
}

// Serve implements Gateway.
func (g timedGateway) Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	class := call.Class()
	timed := &timedSink{
		Sink:     sink,
		recorder: g.recorder,
		class:    class,
		last:     g.recorder.opts.Clock(),
		model:    call.Model != nil,
	}
	err := g.next.Serve(ctx, call, base, timed)
	g.recorder.ended(class, err)
	g.recorder.recordUnknown(call, err)
	return err
}

// timedSink passes an answer on to the caller and records the time until its first token
// and the gaps between its tokens. The gateway does not call it concurrently.
type timedSink struct {
	protocol.Sink
	recorder *Recorder
	class    state.Class
	last     time.Time
	model    bool
	started  bool
}

// Chunk implements protocol.Sink.
func (s *timedSink) Chunk(c protocol.Chunk) error {
	if s.model && c.Count > 0 {
		s.tokens(c.Count)
	}
	return s.Sink.Chunk(c)
}

func (s *timedSink) tokens(count uint32) {
	now := s.recorder.opts.Clock()
	passed := now.Sub(s.last)
	s.last = now
	s.recorder.class(s.class).tokens.Inc(int64(count))
	if s.started {
		s.recorder.betweenTokens(s.class, passed, count)
		return
	}
	s.started = true
	s.recorder.firstToken(s.class, passed)
}
