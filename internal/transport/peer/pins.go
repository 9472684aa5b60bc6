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

const selfSignedValid = 30 * 24 * time.Hour

var errNotPinned = errors.New("peer: certificate is not the one that the daemon published")

// Pins holds the hashes of the certificates that daemons published. Peers without
// key files trust each other by them. It is safe for concurrent use.
type Pins struct {
	mu     sync.Mutex
	hashes map[state.DaemonID]string
}

// Set replaces all hashes.
func (p *Pins) Set(hashes map[state.DaemonID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hashes = hashes
}

func (p *Pins) verify(cert *x509.Certificate) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if want := p.hashes[state.DaemonID(cert.Subject.CommonName)]; want == "" || want != CertificateHash(cert.Raw) {
		return errNotPinned
	}
	return nil
}

// CertificateHash returns the hash of a certificate as it is published.
func CertificateHash(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// NewPinnedIdentity makes an identity with a new key pair that trusts the peers in
// pins, and returns the hash to publish.
func NewPinnedIdentity(daemon state.DaemonID, pins *Pins, now time.Time) (Identity, string, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, "", err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: string(daemon)},
		NotBefore:    now.Add(-selfSignedValid),
		NotAfter:     now.Add(selfSignedValid),
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

// pinnedClientConfig accepts the certificate that the daemon published and no other.
func (id *Identity) pinnedClientConfig(daemon state.DaemonID) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{id.Certificate},
		InsecureSkipVerify: true, // VerifyConnection checks the published hash instead of a chain
		NextProtos:         alpn,
		MinVersion:         tls.VersionTLS13,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || s.PeerCertificates[0].Subject.CommonName != string(daemon) {
				return errNotPinned
			}
			return id.Pins.verify(s.PeerCertificates[0])
		},
	}
}
