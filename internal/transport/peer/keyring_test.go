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

// refusals counts refusals by reason.
type refusals struct {
	mu     sync.Mutex
	counts map[peer.Refusal]int
	seen   chan peer.Refusal
}

func newRefusals() *refusals {
	return &refusals{counts: make(map[peer.Refusal]int), seen: make(chan peer.Refusal, 100)}
}

func (r *refusals) note(reason peer.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[reason]++
	r.seen <- reason
}

// echo answers every heartbeat and refuses every other message.
type echo struct{}

func (echo) ServeCall(context.Context, state.DaemonID, *protocol.Call, protocol.Sink) {}

func (echo) ServeMessage(_ context.Context, _ state.DaemonID, f protocol.Frame) (protocol.MessageKind, any, error) {
	if f.Kind != protocol.MsgHeartbeat {
		return 0, nil, fmt.Errorf("unknown message kind %d", f.Kind)
	}
	return protocol.MsgHeartbeatAck, protocol.HeartbeatAck{Sequence: 7}, nil
}

type secureServer struct {
	keys     *peer.Keyring
	refusals *refusals
	addr     string
}

func newAuthority(t *testing.T) *peer.CA {
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

func newSecureServer(t *testing.T, id peer.Identity) *secureServer {
	r := newRefusals()
	conn := listenUDP(t)
	keys := peer.NewKeyring(id, r.note)
	server, err := peer.Listen(conn, keys, echo{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		server.Close()
		_ = conn.Close()
	})
	return &secureServer{keys: keys, refusals: r, addr: conn.LocalAddr().String()}
}

func newClient(t *testing.T, keys *peer.Keyring) *peer.Pool {
	pool := peer.NewPool(listenUDP(t), keys)
	t.Cleanup(pool.Close)
	return pool
}

func (s *secureServer) beat(t *testing.T, pool *peer.Pool, name state.DaemonID) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var ack protocol.HeartbeatAck
	err := pool.Exchange(ctx, peer.Peer{ID: name, Addr: s.addr}, protocol.MsgHeartbeat, protocol.Heartbeat{}, &ack)
	if err != nil {
		return err
	}
	return nil
}

func TestStrangersDaemonIsRefused(t *testing.T) {
	s := newSecureServer(t, issue(t, newAuthority(t), "owner"))
	stranger := newAuthority(t)
	pool := newClient(t, peer.NewKeyring(issue(t, stranger, "entry"), nil))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNotNil)
}

func TestStrangerWhoTrustsUsIsRefusedAndCounted(t *testing.T) {
	ours := newAuthority(t)
	s := newSecureServer(t, issue(t, ours, "owner"))
	mixed := issue(t, ours, "entry")
	mixed.Certificate = issue(t, newAuthority(t), "entry").Certificate
	pool := newClient(t, peer.NewKeyring(mixed, nil))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNotNil)
	qt.Assert(t, <-s.refusals.seen, qt.Equals, peer.RefusedUntrusted)
}

func TestDaemonUnderAnotherNameIsRefused(t *testing.T) {
	a := newAuthority(t)
	s := newSecureServer(t, issue(t, a, "owner"))
	r := newRefusals()
	pool := newClient(t, peer.NewKeyring(issue(t, a, "entry"), r.note))
	qt.Assert(t, s.beat(t, pool, "other"), qt.IsNotNil)
	qt.Assert(t, <-r.seen, qt.Equals, peer.RefusedWrongName)
}

func TestRotationOfKeysNeedsNoRestart(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	s := newSecureServer(t, issue(t, first, "owner"))
	keys := peer.NewKeyring(issue(t, first, "entry"), nil)
	pool := newClient(t, keys)
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNil)
	both := func(id peer.Identity) peer.Identity {
		id.TrustedCAs = x509.NewCertPool()
		for _, a := range []*peer.CA{first, second} {
			pem, _, err := a.PEM()
			qt.Assert(t, err, qt.IsNil)
			id.TrustedCAs.AppendCertsFromPEM(pem)
		}
		return id
	}
	// Both sides trust both authorities, then use the new one, then drop the old one.
	s.keys.Rotate(both(issue(t, first, "owner")))
	keys.Rotate(both(issue(t, first, "entry")))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNil)
	s.keys.Rotate(both(issue(t, second, "owner")))
	keys.Rotate(both(issue(t, second, "entry")))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNil)
	s.keys.Rotate(issue(t, second, "owner"))
	keys.Rotate(issue(t, second, "entry"))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNil)
}

func TestConnectionOfARevokedAuthorityTakesNoMoreStreams(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	s := newSecureServer(t, issue(t, first, "owner"))
	pool := newClient(t, peer.NewKeyring(issue(t, first, "entry"), nil))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNil)
	s.keys.Rotate(issue(t, second, "owner"))
	qt.Assert(t, s.beat(t, pool, "owner"), qt.IsNotNil)
	qt.Assert(t, <-s.refusals.seen, qt.Equals, peer.RefusedRevoked)
}

// TestBadFramesAreRefusedAndCounted writes raw frames on a stream.
func TestBadFramesAreRefusedAndCounted(t *testing.T) {
	a := newAuthority(t)
	s := newSecureServer(t, issue(t, a, "owner"))
	oversized := make([]byte, 5)
	binary.BigEndian.PutUint32(oversized, protocol.MaxFrame+1)
	cases := []struct {
		name  string
		frame []byte
		want  peer.Refusal
	}{
		{"oversized", oversized, peer.RefusedOversized},
		{"truncated", []byte{0, 0, 0, 9, byte(protocol.MsgHeartbeat), 1}, peer.RefusedMalformed},
		{"call that is no call", []byte{0, 0, 0, 1, byte(protocol.MsgCall), 0xff}, peer.RefusedMalformed},
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

func TestPeerWithoutACommonVersionIsRefused(t *testing.T) {
	a := newAuthority(t)
	s := newSecureServer(t, issue(t, a, "owner"))
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
