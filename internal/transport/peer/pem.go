package peer

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
)

// ErrNotAuthority reports files that hold no authority.
var ErrNotAuthority = errors.New("peer: the files hold no authority of daemons")

// KeyPEM returns the private key of the authority.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, err
	}
	return pemBlock("PRIVATE KEY", der), nil
}

// LoadAuthority reads an authority from PEM files.
func LoadAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, ErrNotAuthority
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
		return nil, ErrNotAuthority
	}
	return &Authority{cert: cert, key: key}, nil
}
