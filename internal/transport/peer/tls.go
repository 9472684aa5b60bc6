// Package peer implements the transport between daemons: the messages of package
// protocol over QUIC with mutual TLS.
package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// alpn carries the protocol version, so that daemons without a common version fail
// in the TLS handshake.
var alpn = []string{fmt.Sprintf("celerydeck/%d", protocol.Version)}

// Identity is the certificate of a daemon together with what the daemon trusts. If Pins is
// set, it trusts peers whose certificates have the published hashes. Otherwise it trusts
// peers whose certificates are signed by one of TrustedCAs.
type Identity struct {
	Certificate tls.Certificate
	TrustedCAs  *x509.CertPool
	Pins        *Pins
}

// LoadIdentity returns an identity from the contents of three PEM files: the certificate
// of the daemon, its private key and the certificates of the trusted CAs.
func LoadIdentity(certPEM, keyPEM, caPEM []byte) (Identity, error) {
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return Identity{}, fmt.Errorf("daemon certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return Identity{}, errors.New("certificate authority: no certificate found")
	}
	return Identity{Certificate: cert, TrustedCAs: pool}, nil
}

// CA is a certificate authority that signs the certificates of daemons.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA returns a certificate authority with a new key. Its certificate expires after
// validity.
func NewCA(now time.Time, validity time.Duration) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "celerydeck authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &CA{cert: cert, key: key}, nil
}

// Issue generates a key for a daemon, signs its certificate and returns the identity,
// which trusts this CA only.
func (a *CA) Issue(daemon state.DaemonID) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return Identity{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(daemon)},
		DNSNames:     []string{string(daemon)},
		NotBefore:    a.cert.NotBefore,
		NotAfter:     a.cert.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Identity{}, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return Identity{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, TrustedCAs: pool}, nil
}
