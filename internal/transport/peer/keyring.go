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
	RefusedUntrusted     Refusal = "stranger"   // certificate that is neither signed by a trusted CA nor pinned
	RefusedRevoked       Refusal = "revoked"    // connection with a certificate that the rotated identity does not trust
	RefusedOversized     Refusal = "oversized"  // frame above protocol.MaxFrame
	RefusedMalformed     Refusal = "malformed"  // frame that cannot be decoded
	RefusedMessage       Refusal = "message"    // message that the handler rejects, such as a message of unknown kind
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
// refused connection or message. A nil refused is allowed.
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

// verifyClient checks the certificate of a client and counts a refusal. It replaces the
// verification by crypto/tls, which does not support identities with pins instead of CAs.
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

// clientConfig returns a TLS configuration for dialing a daemon. It requires a trusted
// certificate that names the daemon by its ID, because daemons are dialed by IP address
// and have no host names.
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
