package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"errors"
	"math/big"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// selfSignedValidity is how long a self-signed certificate is valid before and after the
// time of its creation.
const selfSignedValidity = 30 * 24 * time.Hour

var errPinMismatch = errors.New("peer: certificate does not match the hash that the daemon published")

// Pins holds, for each daemon, the hash of the certificate that the daemon published.
// Daemons without certificates of a CA authenticate each other by the published hashes.
// Pins is safe for concurrent use.
type Pins struct {
	mu     sync.Mutex
	hashes map[state.DaemonID]string
}

// Set replaces the published hashes of all daemons.
func (p *Pins) Set(hashes map[state.DaemonID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hashes = hashes
}

// verify reads the daemon ID in the common name of a certificate. It returns an error
// unless the certificate has the hash that this daemon published.
func (p *Pins) verify(cert *x509.Certificate) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if want := p.hashes[state.DaemonID(cert.Subject.CommonName)]; want == "" || want != CertificateHash(cert.Raw) {
		return errPinMismatch
	}
	return nil
}

// CertificateHash returns the hexadecimal SHA-256 hash of a DER certificate, the form
// in which daemons publish it.
func CertificateHash(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// NewPinnedIdentity returns an identity with a new key pair, a self-signed certificate and
// trust in the daemons of pins. The second result is the hash of the certificate, which
// the daemon must publish.
func NewPinnedIdentity(daemon state.DaemonID, pins *Pins, now time.Time) (Identity, string, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, "", err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: string(daemon)},
		NotBefore:    now.Add(-selfSignedValidity),
		NotAfter:     now.Add(selfSignedValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return Identity{}, "", err
	}
	id := Identity{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Pins: pins}
	return id, CertificateHash(der), nil
}

// pinnedClientConfig returns a TLS configuration for dialing a daemon. It accepts only a
// certificate that names this daemon and has the hash that the daemon published.
func (id *Identity) pinnedClientConfig(daemon state.DaemonID) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{id.Certificate},
		InsecureSkipVerify: true, // VerifyConnection checks the published hash instead of the chain
		NextProtos:         alpn,
		MinVersion:         tls.VersionTLS13,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || s.PeerCertificates[0].Subject.CommonName != string(daemon) {
				return errPinMismatch
			}
			return id.Pins.verify(s.PeerCertificates[0])
		},
	}
}
