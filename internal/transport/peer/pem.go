package peer

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
)

const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// ErrNotCA reports that PEM files do not hold the certificate of a certificate authority
// and the key of this certificate.
var ErrNotCA = errors.New("peer: the files do not hold a certificate authority and its key")

// PEM returns the certificate and the private key of the CA.
func (a *CA) PEM() (cert, key []byte, err error) {
	return encodePEM(a.cert.Raw, a.key)
}

// LoadCA returns the certificate authority with the given PEM certificate and key.
func LoadCA(certPEM, keyPEM []byte) (*CA, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, ErrNotCA
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !cert.IsCA || !key.PublicKey.Equal(cert.PublicKey) {
		return nil, ErrNotCA
	}
	return &CA{cert: cert, key: key}, nil
}

// PEM returns the certificate and the private key of a daemon.
func (id Identity) PEM() (cert, key []byte, err error) {
	return encodePEM(id.Certificate.Certificate[0], id.Certificate.PrivateKey)
}

func encodePEM(der []byte, key any) ([]byte, []byte, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
	return cert, pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: keyDER}), nil
}
