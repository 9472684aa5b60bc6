package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Refusal is the reason why a connection or message of a peer was refused. Its value
// is a label of the refusal metric.
type Refusal string

// Reasons of refusals.
const (
	RefusedNoCertificate Refusal = "no_certificate"
	RefusedUntrusted     Refusal = "stranger"   // certificate that no trusted CA signed or whose hash is not pinned
	RefusedRevoked       Refusal = "revoked"    // connection whose certificate is no longer trusted after a rotation
	RefusedOversized     Refusal = "oversized"  // frame above protocol.MaxFrame
	RefusedMalformed     Refusal = "malformed"  // frame that cannot be decoded
	RefusedMessage       Refusal = "message"    // message that the handler rejects, such as one of an unknown kind
	RefusedWrongName     Refusal = "wrong_name" // dialed daemon whose certificate names another daemon
)

var (
	errNoCertificate = errors.New("peer: no certificate")
	errUntrusted     = errors.New("peer: certificate is not signed by a trusted CA")
)

// Keyring holds the identity of a daemon, which can be rotated while the daemon runs.
// It is safe for concurrent use.
type Keyring struct {
	current atomic.Pointer[Identity]
	refused func(Refusal)
}

// NewKeyring returns a keyring with the given identity. It calls refused for each
// refused connection or message; refused may be nil.
func NewKeyring(id Identity, refused func(Refusal)) *Keyring {
	if refused == nil {
		refused = func(Refusal) {}
	}
	k := &Keyring{refused: refused}
	k.Rotate(id)
	return k
}

// Rotate replaces the identity. New connections use it at once. On connections from
// peers that the new identity does not trust, the server refuses further streams;
// streams in progress are not interrupted.
func (k *Keyring) Rotate(id Identity) { k.current.Store(&id) }

func (k *Keyring) identity() *Identity { return k.current.Load() }

// serverConfig returns a TLS configuration that authenticates each connection with the
// identity in force when its handshake starts.
func (k *Keyring) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id := k.identity()
			return &tls.Config{
				Certificates:     []tls.Certificate{id.Certificate},
				ClientAuth:       tls.RequestClientCert,
				NextProtos:       alpn,
				MinVersion:       tls.VersionTLS13,
				VerifyConnection: k.verifyClient,
			}, nil
		},
	}
}

// verifyClient authenticates a client and counts refusals. It replaces the verification
// of crypto/tls, because an identity may have pins instead of CAs.
func (k *Keyring) verifyClient(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		k.refused(RefusedNoCertificate)
		return errNoCertificate
	}
	if err := k.identity().verify(s.PeerCertificates); err != nil {
		k.refused(RefusedUntrusted)
		return err
	}
	return nil
}

// clientConfig returns a TLS configuration that checks the certificate chain and that
// the certificate names the daemon. Daemons are dialed by IP address, so the ID of the
// daemon takes the place of the host name.
func (k *Keyring) clientConfig(daemon state.DaemonID) *tls.Config {
	id := k.identity()
	if id.Pins != nil {
		return id.pinnedClientConfig(daemon)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{id.Certificate},
		RootCAs:      id.TrustedCAs,
		ServerName:   string(daemon),
		NextProtos:   alpn,
		MinVersion:   tls.VersionTLS13,
	}
}

// verify checks the certificate chain of a client against the trusted CAs or the pins.
func (id *Identity) verify(chain []*x509.Certificate) error {
	if id.Pins != nil {
		return id.Pins.verify(chain[0])
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         id.TrustedCAs,
		Intermediates: intermediates,
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return errors.Join(errUntrusted, err)
	}
	return nil
}
