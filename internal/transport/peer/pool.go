package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Peer is the name and address of a daemon.
type Peer struct {
	ID   state.DaemonID
	Addr string
}

// Pool keeps one connection to each peer. It is safe for concurrent use.
type Pool struct {
	id        Identity
	transport *quic.Transport

	mu    sync.Mutex
	conns map[Peer]*quic.Conn
}

// NewPool returns a pool that sends from a packet connection of its own.
func NewPool(conn net.PacketConn, id Identity) *Pool {
	return &Pool{id: id, transport: &quic.Transport{Conn: conn}, conns: make(map[Peer]*quic.Conn)}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.CloseWithError(codeShutdown, "closing")
	}
	p.conns = nil
	_ = p.transport.Close()
	_ = p.transport.Conn.Close()
}

// Exchange sends a message and decodes the answer into reply.
func (p *Pool) Exchange(ctx context.Context, peer Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error {
	step := fmt.Sprintf("exchange message %d", kind)
	stream, err := p.open(ctx, peer)
	if err != nil {
		return peerError(step, peer, protocol.OutcomeNotRun, err)
	}
	stop := context.AfterFunc(ctx, func() { reset(stream, codeCanceled) })
	defer stop()
	if err := protocol.WriteMessage(stream, kind, msg); err != nil {
		reset(stream, codeCanceled)
		return peerError(step, peer, protocol.OutcomeUnknown, err)
	}
	_ = stream.Close()
	frame, err := protocol.ReadFrame(stream)
	if err == nil {
		err = frame.Decode(reply)
	}
	if err != nil {
		stream.CancelRead(codeCanceled)
		return peerError(step, peer, protocol.OutcomeUnknown, err)
	}
	return nil
}

// Call runs a call at its owner and hands the parts of the answer to sink. A nil
// result means that the owner's End was delivered, whatever it says. Canceling
// ctx cancels the call at the owner.
func (p *Pool) Call(ctx context.Context, peer Peer, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	const step = "call owner"
	stream, err := p.open(ctx, peer)
	if err != nil {
		return peerError(step, peer, protocol.OutcomeNotRun, err)
	}
	stop := context.AfterFunc(ctx, func() { reset(stream, codeCanceled) })
	defer stop()
	if err := protocol.WriteMessage(stream, protocol.MsgCall, call); err != nil {
		reset(stream, codeCanceled)
		return peerError(step, peer, protocol.OutcomeUnknown, err)
	}
	defer func() { _ = stream.Close() }()
	reader := protocol.NewFrameReader(stream)
	for {
		frame, err := reader.Next()
		if err != nil {
			reset(stream, codeCanceled)
			return peerError("read answer of owner", peer, protocol.OutcomeUnknown, err)
		}
		ended, err := deliver(frame, sink)
		if errors.Is(err, errBadFrame) {
			reset(stream, codeBadMessage)
			return protocol.Errorf(protocol.KindInterrupted, "read answer of owner", protocol.OutcomeUnknown, "%v", err).WithPeer(string(peer.ID))
		}
		if err != nil {
			reset(stream, codeCanceled)
			return protocol.Errorf(protocol.KindCanceled, step, protocol.OutcomeUnknown, "%v", err).WithPeer(string(peer.ID))
		}
		if ended {
			return nil
		}
	}
}

func deliver(frame protocol.Frame, sink protocol.Sink) (bool, error) {
	switch frame.Kind {
	case protocol.MsgHead:
		var head protocol.Head
		if err := frame.Decode(&head); err != nil {
			return false, errors.Join(errBadFrame, err)
		}
		return false, sink.Head(head)
	case protocol.MsgChunk:
		var chunk protocol.Chunk
		if err := frame.Decode(&chunk); err != nil {
			return false, errors.Join(errBadFrame, err)
		}
		return false, sink.Chunk(chunk)
	case protocol.MsgEnd:
		var end protocol.End
		if err := frame.Decode(&end); err != nil {
			return false, errors.Join(errBadFrame, err)
		}
		return true, sink.End(end)
	}
	return false, fmt.Errorf("%w: unexpected kind %d", errBadFrame, frame.Kind)
}

var errBadFrame = errors.New("peer: bad message of the owner")

func (p *Pool) open(ctx context.Context, peer Peer) (*quic.Stream, error) {
	conn, err := p.conn(ctx, peer)
	if err != nil {
		return nil, err
	}
	return conn.OpenStreamSync(ctx)
}

// conn returns the live connection to a peer and dials a new one if needed. Two
// concurrent dials are possible; the later one is closed.
func (p *Pool) conn(ctx context.Context, peer Peer) (*quic.Conn, error) {
	if conn := p.live(peer); conn != nil {
		return conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", peer.Addr)
	if err != nil {
		return nil, err
	}
	conn, err := p.transport.Dial(ctx, addr, p.id.clientConfig(peer.ID), quicConfig())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		_ = conn.CloseWithError(codeShutdown, "closing")
		return nil, net.ErrClosed
	}
	if first := p.conns[peer]; first != nil && first.Context().Err() == nil {
		_ = conn.CloseWithError(codeShutdown, "duplicate")
		return first, nil
	}
	p.conns[peer] = conn
	return conn, nil
}

func (p *Pool) live(peer Peer) *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[peer]
	if conn != nil && conn.Context().Err() != nil {
		delete(p.conns, peer)
		return nil
	}
	return conn
}

func peerError(step string, peer Peer, outcome protocol.Outcome, err error) *protocol.Error {
	return protocol.Errorf(protocol.KindUnavailable, step, outcome, "%v", err).WithPeer(string(peer.ID))
}
