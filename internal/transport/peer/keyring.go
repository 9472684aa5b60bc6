package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Refusal is the reason for which a connection or a message of a peer was refused.
type Refusal string

// Reasons for refusals.
const (
	RefusedNoCertificate Refusal = "no_certificate"
	RefusedUntrusted     Refusal = "stranger"   // not signed by the authority
	RefusedRevoked       Refusal = "revoked"    // signed by an authority that is no longer trusted
	RefusedOversized     Refusal = "oversized"  // frame over the maximum size
	RefusedMalformed     Refusal = "malformed"  // frame that can't be decoded
	RefusedMessage       Refusal = "message"    // message that the receiver does not accept
	RefusedWrongName     Refusal = "wrong_name" // a dialed daemon showed another certificate
)

var (
	errNoCertificate = errors.New("peer: no certificate")
	errStranger      = errors.New("peer: certificate is not signed by the authority")
)

// Keyring holds the identity of a daemon, which may be replaced while it runs. It
// is safe for concurrent use.
type Keyring struct {
	current atomic.Pointer[Identity]
	refused func(Refusal)
}

// NewKeyring returns a keyring. Refused is called for each refusal; it may be nil.
func NewKeyring(id Identity, refused func(Refusal)) *Keyring {
	if refused == nil {
		refused = func(Refusal) {}
	}
	k := &Keyring{refused: refused}
	k.Rotate(id)
	return k
}

// Rotate replaces the identity. New connections use it at once. Connections of
// peers that the new authority did not sign take no further streams; streams in
// progress end as usual.
func (k *Keyring) Rotate(id Identity) { k.current.Store(&id) }

func (k *Keyring) identity() *Identity { return k.current.Load() }

// serverConfig checks each connection against the identity of that moment.
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

// clientConfig checks the chain and that the certificate names the daemon. The
// address is an IP number, so the name check replaces the one by host name.
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

// verify checks a chain of certificates of a client against the authority.
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
		return errors.Join(errStranger, err)
	}
	return nil
}
