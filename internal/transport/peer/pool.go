package peer

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/inflight"
)

// retireTimeout is how long a connection may stay open for its streams in progress after
// the identity that opened it was replaced.
const retireTimeout = 15 * time.Minute

// Peer is the ID and the UDP address of a daemon.
type Peer struct {
	ID   state.DaemonID
	Addr string
}

// Pool is the client side of the transport. It shares one connection to each peer
// among all calls and messages and is safe for concurrent use.
type Pool struct {
	keys      *Keyring
	transport *quic.Transport

	mu    sync.Mutex
	conns map[Peer]*pooledConn
}

// pooledConn is a connection, the identity that it was opened with and the number of
// its open streams.
type pooledConn struct {
	conn    *quic.Conn
	id      *Identity
	streams *inflight.Counter
}

// retire closes the connection once its streams have ended or after retireTimeout.
func (c *pooledConn) retire() {
	ctx, cancel := context.WithTimeout(c.conn.Context(), retireTimeout)
	defer cancel()
	_ = c.streams.Wait(ctx)
	_ = c.conn.CloseWithError(codeShutdown, "keys were replaced")
}

// NewPool returns a pool that sends from a packet connection of its own.
func NewPool(conn net.PacketConn, keys *Keyring) *Pool {
	return &Pool{keys: keys, transport: &quic.Transport{Conn: conn}, conns: make(map[Peer]*pooledConn)}
}

// Close closes all connections and the socket.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.conn.CloseWithError(codeShutdown, "closing")
	}
	p.conns = nil
	_ = p.transport.Close()
	_ = p.transport.Conn.Close()
}

// Drop closes the connection to a peer, for example to a peer that does not respond. The
// next call or message to the peer opens a new connection.
func (p *Pool) Drop(peer Peer) {
	p.mu.Lock()
	c := p.conns[peer]
	delete(p.conns, peer)
	p.mu.Unlock()
	if c != nil {
		_ = c.conn.CloseWithError(codeShutdown, "silent")
	}
}

// Exchange sends a message on a new stream and decodes the answer into reply.
func (p *Pool) Exchange(ctx context.Context, peer Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error {
	step := fmt.Sprintf("exchange message %d", kind)
	stream, done, err := p.open(ctx, peer)
	if err != nil {
		return peerError(step, peer, protocol.OutcomeNotRun, err)
	}
	defer done()
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

// Call sends a call to its owner, the given peer, and passes the parts of the answer to
// sink. It returns nil if sink received an End from the owner, even an End that reports an
// error. Canceling ctx cancels the call at the owner.
func (p *Pool) Call(ctx context.Context, peer Peer, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	const step = "call owner"
	stream, done, err := p.open(ctx, peer)
	if err != nil {
		return peerError(step, peer, protocol.OutcomeNotRun, err)
	}
	defer done()
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
		if errors.Is(err, errBadMessage) {
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

// deliver decodes a frame of an answer and passes it to sink. It reports whether the
// frame was the End. Its error wraps errBadMessage if the frame is invalid, and otherwise is
// the error of sink.
func deliver(frame protocol.Frame, sink protocol.Sink) (bool, error) {
	switch frame.Kind {
	case protocol.MsgHead:
		var head protocol.Head
		if err := frame.Decode(&head); err != nil {
			return false, errors.Join(errBadMessage, err)
		}
		return false, sink.Head(head)
	case protocol.MsgChunk:
		var chunk protocol.Chunk
		if err := frame.Decode(&chunk); err != nil {
			return false, errors.Join(errBadMessage, err)
		}
		return false, sink.Chunk(chunk)
	case protocol.MsgEnd:
		var end protocol.End
		if err := frame.Decode(&end); err != nil {
			return false, errors.Join(errBadMessage, err)
		}
		return true, sink.End(end)
	}
	return false, fmt.Errorf("%w: unexpected kind %d", errBadMessage, frame.Kind)
}

var errBadMessage = errors.New("peer: invalid message from the owner")

// open opens a stream to a peer. The caller must call the returned function after it has
// finished with the stream.
func (p *Pool) open(ctx context.Context, peer Peer) (*quic.Stream, func(), error) {
	c, err := p.conn(ctx, peer)
	if err != nil {
		return nil, nil, err
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		c.streams.Done()
		return nil, nil, err
	}
	return stream, c.streams.Done, nil
}

// conn returns a connection to a peer, which it dials if none is open, and increments the
// stream count of the connection. If two concurrent calls dial the same peer, the
// connection that is established second is closed.
func (p *Pool) conn(ctx context.Context, peer Peer) (*pooledConn, error) {
	if c := p.liveConn(peer); c != nil {
		return c, nil
	}
	addr, err := net.ResolveUDPAddr("udp", peer.Addr)
	if err != nil {
		return nil, err
	}
	id := p.keys.identity()
	conn, err := p.transport.Dial(ctx, addr, p.keys.clientConfig(peer.ID), quicConfig())
	if err != nil {
		var name x509.HostnameError
		if errors.As(err, &name) {
			p.keys.refused(RefusedWrongName)
		}
		return nil, err
	}
	return p.store(peer, &pooledConn{conn: conn, id: id, streams: inflight.New()})
}

// store adds a new connection to the pool and returns it. If a concurrent dial has already
// added a connection with the same identity, store closes the new connection and returns
// the existing connection instead. It increments the stream count of the connection that
// it returns.
func (p *Pool) store(peer Peer, c *pooledConn) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		_ = c.conn.CloseWithError(codeShutdown, "closing")
		return nil, net.ErrClosed
	}
	if first := p.conns[peer]; first != nil && first.conn.Context().Err() == nil && first.id == c.id {
		_ = c.conn.CloseWithError(codeShutdown, "duplicate")
		first.streams.Add()
		return first, nil
	}
	p.conns[peer] = c
	c.streams.Add()
	return c, nil
}

// liveConn returns the open connection to a peer and increments its stream count. It
// returns nil if no connection is open. It retires a connection whose identity was
// replaced.
func (p *Pool) liveConn(peer Peer) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[peer]
	if c == nil {
		return nil
	}
	if c.conn.Context().Err() != nil {
		delete(p.conns, peer)
		return nil
	}
	if c.id != p.keys.identity() {
		delete(p.conns, peer)
		go c.retire()
		return nil
	}
	c.streams.Add()
	return c
}

func peerError(step string, peer Peer, outcome protocol.Outcome, err error) *protocol.Error {
	return protocol.Errorf(protocol.KindUnavailable, step, outcome, "%v", err).WithPeer(string(peer.ID))
}
