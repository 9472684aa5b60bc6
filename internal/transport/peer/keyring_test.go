package peer_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// refusals counts refusals by reason and sends each reason to seen.
type refusals struct {
	mu     sync.Mutex
	counts map[peer.Refusal]int
	seen   chan peer.Refusal
}

func newRefusals() *refusals {
	return &refusals{counts: make(map[peer.Refusal]int), seen: make(chan peer.Refusal, 100)}
}

func (r *refusals) record(reason peer.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[reason]++
	r.seen <- reason
}

// heartbeatHandler answers heartbeats and refuses all other messages.
type heartbeatHandler struct{}

func (heartbeatHandler) ServeCall(context.Context, state.DaemonID, *protocol.Call, protocol.Sink) {}

func (heartbeatHandler) ServeMessage(_ context.Context, _ state.DaemonID, f protocol.Frame) (protocol.MessageKind, any, error) {
	if f.Kind != protocol.MsgHeartbeat {
		return 0, nil, fmt.Errorf("unknown message kind %d", f.Kind)
	}
	return protocol.MsgHeartbeatAck, protocol.HeartbeatAck{Sequence: 7}, nil
}

type testServer struct {
	keys     *peer.Keyring
	refusals *refusals
	addr     string
}

func newCA(t *testing.T) *peer.CA {
	a, err := peer.NewCA(time.Now(), time.Hour)
	qt.Assert(t, err, qt.IsNil)
	return a
}

func issue(t *testing.T, a *peer.CA, id state.DaemonID) peer.Identity {
	identity, err := a.Issue(id)
	qt.Assert(t, err, qt.IsNil)
	return identity
}

func listenUDP(t *testing.T) net.PacketConn {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return conn
}

func newTestServer(t *testing.T, id peer.Identity) *testServer {
	r := newRefusals()
	conn := listenUDP(t)
	keys := peer.NewKeyring(id, r.record)
	server, err := peer.Listen(conn, keys, heartbeatHandler{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		server.Close()
		_ = conn.Close()
	})
	return &testServer{keys: keys, refusals: r, addr: conn.LocalAddr().String()}
}

func newClient(t *testing.T, keys *peer.Keyring) *peer.Pool {
	pool := peer.NewPool(listenUDP(t), keys)
	t.Cleanup(pool.Close)
	return pool
}

func (s *testServer) sendHeartbeat(t *testing.T, pool *peer.Pool, name state.DaemonID) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var ack protocol.HeartbeatAck
	err := pool.Exchange(ctx, peer.Peer{ID: name, Addr: s.addr}, protocol.MsgHeartbeat, protocol.Heartbeat{}, &ack)
	if err != nil {
		return err
	}
	return nil
}

func TestDaemonOfAnotherCAIsRefused(t *testing.T) {
	s := newTestServer(t, issue(t, newCA(t), "owner"))
	otherCA := newCA(t)
	pool := newClient(t, peer.NewKeyring(issue(t, otherCA, "entry"), nil))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNotNil)
}

func TestClientOfAnotherCAThatTrustsTheServerIsRefusedAndCounted(t *testing.T) {
	ca := newCA(t)
	s := newTestServer(t, issue(t, ca, "owner"))
	identity := issue(t, ca, "entry")
	identity.Certificate = issue(t, newCA(t), "entry").Certificate
	pool := newClient(t, peer.NewKeyring(identity, nil))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNotNil)
	qt.Assert(t, <-s.refusals.seen, qt.Equals, peer.RefusedUntrusted)
}

func TestDaemonWithACertificateForAnotherNameIsRefused(t *testing.T) {
	a := newCA(t)
	s := newTestServer(t, issue(t, a, "owner"))
	r := newRefusals()
	pool := newClient(t, peer.NewKeyring(issue(t, a, "entry"), r.record))
	qt.Assert(t, s.sendHeartbeat(t, pool, "other"), qt.IsNotNil)
	qt.Assert(t, <-r.seen, qt.Equals, peer.RefusedWrongName)
}

func TestIdentityRotationNeedsNoRestart(t *testing.T) {
	first, second := newCA(t), newCA(t)
	s := newTestServer(t, issue(t, first, "owner"))
	keys := peer.NewKeyring(issue(t, first, "entry"), nil)
	pool := newClient(t, keys)
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNil)
	both := func(id peer.Identity) peer.Identity {
		id.TrustedCAs = x509.NewCertPool()
		for _, a := range []*peer.CA{first, second} {
			pem, _, err := a.PEM()
			qt.Assert(t, err, qt.IsNil)
			id.TrustedCAs.AppendCertsFromPEM(pem)
		}
		return id
	}
	// First both sides trust both CAs, then both use certificates of the second CA, and
	// finally both stop trusting the first one.
	s.keys.Rotate(both(issue(t, first, "owner")))
	keys.Rotate(both(issue(t, first, "entry")))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNil)
	s.keys.Rotate(both(issue(t, second, "owner")))
	keys.Rotate(both(issue(t, second, "entry")))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNil)
	s.keys.Rotate(issue(t, second, "owner"))
	keys.Rotate(issue(t, second, "entry"))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNil)
}

func TestConnectionOfARevokedCAAcceptsNoFurtherStreams(t *testing.T) {
	first, second := newCA(t), newCA(t)
	s := newTestServer(t, issue(t, first, "owner"))
	pool := newClient(t, peer.NewKeyring(issue(t, first, "entry"), nil))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNil)
	s.keys.Rotate(issue(t, second, "owner"))
	qt.Assert(t, s.sendHeartbeat(t, pool, "owner"), qt.IsNotNil)
	qt.Assert(t, <-s.refusals.seen, qt.Equals, peer.RefusedRevoked)
}

// TestBadFramesAreRefusedAndCounted writes invalid frames directly to streams, because a
// Pool sends only valid frames.
func TestBadFramesAreRefusedAndCounted(t *testing.T) {
	a := newCA(t)
	s := newTestServer(t, issue(t, a, "owner"))
	oversized := make([]byte, 5)
	binary.BigEndian.PutUint32(oversized, protocol.MaxFrame+1)
	cases := []struct {
		name  string
		frame []byte
		want  peer.Refusal
	}{
		{"oversized", oversized, peer.RefusedOversized},
		{"truncated", []byte{0, 0, 0, 9, byte(protocol.MsgHeartbeat), 1}, peer.RefusedMalformed},
		{"call that cannot be decoded", []byte{0, 0, 0, 1, byte(protocol.MsgCall), 0xff}, peer.RefusedMalformed},
		{"unknown kind", []byte{0, 0, 0, 1, 250, 0xa0}, peer.RefusedMessage},
	}
	id := issue(t, a, "entry")
	conn, err := quic.DialAddr(t.Context(), s.addr, &tls.Config{
		Certificates: []tls.Certificate{id.Certificate},
		RootCAs:      id.TrustedCAs,
		ServerName:   "owner",
		NextProtos:   []string{fmt.Sprintf("celerydeck/%d", protocol.Version)},
		MinVersion:   tls.VersionTLS13,
	}, nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.CloseWithError(0, "") }()
	for _, c := range cases {
		stream, err := conn.OpenStreamSync(t.Context())
		qt.Assert(t, err, qt.IsNil)
		_, err = stream.Write(c.frame)
		qt.Assert(t, err, qt.IsNil)
		_ = stream.Close()
		qt.Assert(t, <-s.refusals.seen, qt.Equals, c.want, qt.Commentf("%s", c.name))
		_, err = stream.Read(make([]byte, 1))
		var reset *quic.StreamError
		qt.Assert(t, errors.As(err, &reset), qt.IsTrue, qt.Commentf("%s: %v", c.name, err))
	}
}

func TestPeerWithoutACommonProtocolVersionIsRefused(t *testing.T) {
	a := newCA(t)
	s := newTestServer(t, issue(t, a, "owner"))
	id := issue(t, a, "entry")
	_, err := quic.DialAddr(t.Context(), s.addr, &tls.Config{
		Certificates: []tls.Certificate{id.Certificate},
		RootCAs:      id.TrustedCAs,
		ServerName:   "owner",
		NextProtos:   []string{"celerydeck/999"},
		MinVersion:   tls.VersionTLS13,
	}, nil)
	qt.Assert(t, err, qt.ErrorMatches, ".*no application protocol.*")
}
