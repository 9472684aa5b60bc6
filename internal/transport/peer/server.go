package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/inflight"
)

const (
	idleTimeout       = 5 * time.Second
	keepAlivePeriod   = 2 * time.Second
	maxStreams        = 8192      // per connection
	streamWindow      = 256 << 10 // bytes
	codeCanceled      = quic.StreamErrorCode(1)
	codeBadMessage    = quic.StreamErrorCode(2)
	codeShutdown      = quic.ApplicationErrorCode(1)
	codeRevoked       = quic.StreamErrorCode(3)
	firstFrameTimeout = 5 * time.Second
	answerReadTimeout = 5 * time.Second // for the peer to read the end of an answer
)

// Handler serves the calls and messages of peers.
type Handler interface {
	// ServeCall runs a call and passes its answer to sink, including the End.
	ServeCall(ctx context.Context, from state.DaemonID, call *protocol.Call, sink protocol.Sink)
	// ServeMessage returns the kind and body of the answer to any other message. An
	// error makes the server refuse the message and reset its stream.
	ServeMessage(ctx context.Context, from state.DaemonID, frame protocol.Frame) (protocol.MessageKind, any, error)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:             idleTimeout,
		KeepAlivePeriod:            keepAlivePeriod,
		MaxIncomingStreams:         maxStreams,
		InitialStreamReceiveWindow: streamWindow,
		MaxStreamReceiveWindow:     streamWindow,
	}
}

// Server accepts connections of peers and serves their calls and messages.
type Server struct {
	listener *quic.Listener
	handler  Handler
	wg       sync.WaitGroup
	cancel   context.CancelFunc
	calls    *inflight.Counter
	keys     *Keyring
}

// Listen starts a server on a packet connection, which the caller closes after Close.
func Listen(conn net.PacketConn, keys *Keyring, handler Handler) (*Server, error) {
	listener, err := quic.Listen(conn, keys.serverConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handler: handler, cancel: cancel, calls: inflight.New(), keys: keys}
	s.wg.Add(1)
	go s.accept(ctx)
	return s, nil
}

// Drain waits until the peers have read the answers to all calls in flight. It returns the
// error of ctx if ctx ends first.
func (s *Server) Drain(ctx context.Context) error { return s.calls.Wait(ctx) }

// Close closes all connections and waits for their calls and messages to return.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.wg.Wait()
}

func (s *Server) accept(ctx context.Context) {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		s.wg.Add(1)
		go s.serveConn(ctx, conn)
	}
}

// serveConn serves the streams of a connection. It verifies the certificate of the peer
// again after each rotation of the identity.
func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer s.wg.Done()
	certs := conn.ConnectionState().TLS.PeerCertificates
	from := state.DaemonID(certs[0].Subject.CommonName)
	id := s.keys.identity()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(codeShutdown, "closing")
			return
		}
		if current := s.keys.identity(); current != id {
			if err := current.verify(certs); err != nil {
				s.keys.refused(RefusedRevoked)
				reset(stream, codeRevoked)
				continue
			}
			id = current
		}
		s.wg.Add(1)
		go s.serveStream(ctx, from, stream)
	}
}

// serveStream serves the one call or message that a stream carries.
func (s *Server) serveStream(ctx context.Context, from state.DaemonID, stream *quic.Stream) {
	defer s.wg.Done()
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	frame, err := protocol.ReadFrame(stream)
	if err != nil {
		s.refuse(stream, refusalOf(err))
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if frame.Kind == protocol.MsgCall {
		s.serveCall(ctx, from, stream, frame)
		return
	}
	kind, reply, err := s.handler.ServeMessage(ctx, from, frame)
	if err != nil {
		klog.V(2).InfoS("Refused peer message", "peer", from, "kind", frame.Kind, "err", err)
		s.refuse(stream, RefusedMessage)
		return
	}
	if err := protocol.WriteMessage(stream, kind, reply); err != nil {
		reset(stream, codeCanceled)
		return
	}
	_ = stream.Close()
}

// serveCall serves a call. It returns only after the peer has read the answer, because
// Drain waits for the calls that have not returned.
func (s *Server) serveCall(ctx context.Context, from state.DaemonID, stream *quic.Stream, frame protocol.Frame) {
	var call protocol.Call
	if err := frame.Decode(&call); err != nil || (call.Model == nil) == (call.Plain == nil) {
		s.refuse(stream, RefusedMalformed)
		return
	}
	s.calls.Add()
	defer s.calls.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		awaitAnswerRead(stream, cancel)
	}()
	s.handler.ServeCall(ctx, from, &call, newStreamSink(stream))
	_ = stream.Close()
	select {
	case <-finished:
	case <-time.After(answerReadTimeout):
	}
}

// awaitAnswerRead returns once the peer has closed its side of the stream, which shows
// that the peer has read the whole answer. If the peer resets the stream instead,
// awaitAnswerRead calls cancel.
func awaitAnswerRead(stream *quic.Stream, cancel context.CancelFunc) {
	var buf [1]byte
	_, err := stream.Read(buf[:])
	if !errors.Is(err, io.EOF) {
		cancel()
	}
}

// refuse counts a refusal and resets the stream.
func (s *Server) refuse(stream *quic.Stream, reason Refusal) {
	s.keys.refused(reason)
	reset(stream, codeBadMessage)
}

func refusalOf(err error) Refusal {
	if errors.Is(err, protocol.ErrFrameTooLarge) {
		return RefusedOversized
	}
	return RefusedMalformed
}

func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

// streamSink writes an answer to a stream. The head is buffered and sent together with
// the first chunk or the end.
type streamSink struct{ out *bufio.Writer }

func newStreamSink(stream *quic.Stream) streamSink { return streamSink{out: bufio.NewWriter(stream)} }

func (s streamSink) Head(m protocol.Head) error {
	return protocol.WriteMessage(s.out, protocol.MsgHead, m)
}

func (s streamSink) Chunk(m protocol.Chunk) error {
	if err := protocol.WriteMessage(s.out, protocol.MsgChunk, m); err != nil {
		return err
	}
	return s.out.Flush()
}

func (s streamSink) End(m protocol.End) error {
	if err := protocol.WriteMessage(s.out, protocol.MsgEnd, m); err != nil {
		return err
	}
	return s.out.Flush()
}
