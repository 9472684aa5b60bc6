package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	chunkBytes = 1 << 10
	manyChunks = 4096 // several times streamWindow in total
)

// handler passes calls to a function of the test and refuses messages.
type handler struct {
	call func(ctx context.Context, call *protocol.Call, sink protocol.Sink)
}

func (h handler) ServeCall(ctx context.Context, _ state.DaemonID, call *protocol.Call, sink protocol.Sink) {
	h.call(ctx, call, sink)
}

func (handler) ServeMessage(context.Context, state.DaemonID, protocol.Frame) (protocol.MessageKind, any, error) {
	return 0, nil, errors.New("messages are not supported")
}

// pair is a server and a pool with a connection to it.
type pair struct {
	server *peer.Server
	pool   *peer.Pool
	to     peer.Peer
}

func newPair(t testing.TB, h handler) pair {
	t.Helper()
	ca, err := peer.NewCA(time.Now(), time.Hour)
	qt.Assert(t, err, qt.IsNil)
	identity := func(id state.DaemonID) peer.Identity {
		i, err := ca.Issue(id)
		qt.Assert(t, err, qt.IsNil)
		return i
	}
	listen, dial := listenUDPSocket(t), listenUDPSocket(t)
	server, err := peer.Listen(listen, peer.NewKeyring(identity("owner"), nil), h)
	qt.Assert(t, err, qt.IsNil)
	pool := peer.NewPool(dial, peer.NewKeyring(identity("entry"), nil))
	t.Cleanup(func() {
		pool.Close()
		server.Close()
		_ = listen.Close()
	})
	return pair{server: server, pool: pool, to: peer.Peer{ID: "owner", Addr: listen.LocalAddr().String()}}
}

func listenUDPSocket(t testing.TB) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return conn
}

func newPlainCall() *protocol.Call {
	return &protocol.Call{RequestID: "r", Attempt: 1, Plain: &protocol.PlainCall{Method: "GET", Path: "/"}}
}

// sink counts chunks. If block is set, Chunk waits until block is closed. Chunk returns err.
type sink struct {
	chunks atomic.Int32
	block  chan struct{}
	err    error
}

func (s *sink) Head(protocol.Head) error { return nil }

func (s *sink) Chunk(protocol.Chunk) error {
	s.chunks.Add(1)
	if s.block != nil {
		<-s.block
	}
	return s.err
}

func (s *sink) End(protocol.End) error { return nil }

// stream sends manyChunks chunks and counts those that out accepted.
func stream(sent *atomic.Int32, out protocol.Sink) error {
	data := make([]byte, chunkBytes)
	for i := range uint32(manyChunks) {
		if err := out.Chunk(protocol.Chunk{Attempt: 1, Offset: i, Count: 1, Data: data}); err != nil {
			return err
		}
		sent.Add(1)
	}
	return out.End(protocol.End{Attempt: 1, Total: manyChunks})
}

func TestSlowReaderAppliesBackpressureToTheOwner(t *testing.T) {
	var sent atomic.Int32
	p := newPair(t, handler{call: func(_ context.Context, _ *protocol.Call, out protocol.Sink) { _ = stream(&sent, out) }})
	s := &sink{block: make(chan struct{})}
	done := make(chan *protocol.Error, 1)
	go func() { done <- p.pool.Call(t.Context(), p.to, newPlainCall(), s) }()
	stableCount := awaitStable(&sent)
	qt.Check(t, stableCount < manyChunks/2, qt.IsTrue, qt.Commentf("%d chunks were sent to a reader that blocks on the first", stableCount))
	close(s.block)
	qt.Check(t, <-done, qt.Equals, (*protocol.Error)(nil))
	qt.Check(t, s.chunks.Load(), qt.Equals, int32(manyChunks))
}

// awaitStable waits until n is positive and has not risen for an interval, and returns n.
func awaitStable(n *atomic.Int32) int32 {
	const interval = 300 * time.Millisecond
	for last := int32(-1); ; {
		now := n.Load()
		if now > 0 && now == last {
			return now
		}
		last = now
		time.Sleep(interval)
	}
}

func TestFailingSinkCancelsTheCallAtTheOwner(t *testing.T) {
	canceled := make(chan struct{})
	p := newPair(t, handler{call: func(ctx context.Context, _ *protocol.Call, out protocol.Sink) {
		_ = out.Chunk(protocol.Chunk{Attempt: 1, Count: 1, Data: []byte("x")})
		<-ctx.Done()
		close(canceled)
	}})
	err := p.pool.Call(t.Context(), p.to, newPlainCall(), &sink{err: errors.New("caller disconnected")})
	qt.Check(t, err.Kind, qt.Equals, protocol.KindCanceled)
	<-canceled
}

func TestOwnerThatStopsDuringACallLeavesTheOutcomeUnknown(t *testing.T) {
	p := newPair(t, handler{call: func(ctx context.Context, _ *protocol.Call, out protocol.Sink) {
		_ = out.Chunk(protocol.Chunk{Attempt: 1, Count: 1, Data: []byte("x")})
		<-ctx.Done()
	}})
	s := &sink{}
	done := make(chan *protocol.Error, 1)
	go func() { done <- p.pool.Call(t.Context(), p.to, newPlainCall(), s) }()
	for s.chunks.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.server.Close()
	err := <-done
	qt.Assert(t, err, qt.Not(qt.Equals), (*protocol.Error)(nil))
	qt.Check(t, err.Outcome, qt.Equals, protocol.OutcomeUnknown)
	qt.Check(t, err.Peer, qt.Equals, "owner")
}

func TestCallThatReachesNoOwnerIsReportedAsNotRun(t *testing.T) {
	p := newPair(t, handler{})
	other := p.to
	other.ID = "another daemon"
	err := p.pool.Call(t.Context(), other, newPlainCall(), &sink{})
	qt.Assert(t, err, qt.Not(qt.Equals), (*protocol.Error)(nil))
	qt.Check(t, err.Outcome, qt.Equals, protocol.OutcomeNotRun, qt.Commentf("%v", err))
}

func TestManyCallsShareOneConnection(t *testing.T) {
	p := newPair(t, handler{call: func(_ context.Context, call *protocol.Call, out protocol.Sink) {
		_ = out.End(protocol.End{Attempt: 1, FinishReason: call.RequestID})
	}})
	done := make(chan error)
	const calls = 64
	for i := range calls {
		go func() {
			call := newPlainCall()
			call.RequestID = fmt.Sprint(i)
			end := &endSink{}
			if err := p.pool.Call(t.Context(), p.to, call, end); err != nil {
				done <- err
				return
			}
			if end.end.FinishReason != call.RequestID {
				done <- fmt.Errorf("call %s got the answer of %s", call.RequestID, end.end.FinishReason)
				return
			}
			done <- nil
		}()
	}
	for range calls {
		qt.Check(t, <-done, qt.IsNil)
	}
}

// endSink keeps the End that it received.
type endSink struct {
	sink
	end protocol.End
}

func (s *endSink) End(e protocol.End) error { s.end = e; return nil }
