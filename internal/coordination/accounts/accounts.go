// Package accounts finds the client account of an API key. It holds digests of keys only, so
// that no log, dump or message between daemons can contain a key.
package accounts

import (
	"crypto/sha256"
	"encoding/hex"
)

// MaxKeyBytes is the length in bytes of the longest key.
const MaxKeyBytes = 512

// Digest is the SHA-256 hash of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	// The buffer stays on the stack, where a conversion of a long key would allocate.
	var buf [MaxKeyBytes]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// Fingerprint returns the start of the digest. It stands for the key in logs.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:4]) }

// IsKey reports whether a text can be a key: a request must be able to carry it unchanged in one
// header of the form "Bearer KEY".
func IsKey(text string) bool {
	if text == "" || len(text) > MaxKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] >= 0x7f {
			return false
		}
	}
	return true
}

// Quota limits what all daemons together send to upstreams for an account. It is not in
// force if PerSecond is zero.
type Quota struct {
	PerSecond   float64 `cbor:"1,keyasint"`
	Burst       float64 `cbor:"2,keyasint"`
	InTokens    bool    `cbor:"3,keyasint,omitempty"` // PerSecond and Burst count tokens, otherwise requests
	PlainTokens int     `cbor:"4,keyasint,omitempty"` // tokens of a request that names no token counts
}

// Account is a client account of the configuration.
type Account struct {
	Name        string   `cbor:"1,keyasint"`
	Keys        []Digest `cbor:"2,keyasint"`
	Priority    int      `cbor:"3,keyasint,omitempty"` // 0 is the most urgent; valid if HasPriority
	HasPriority bool     `cbor:"4,keyasint,omitempty"`
	Quota       Quota    `cbor:"5,keyasint"`
	// Unusable is set if the entry of the configuration could not be decoded. It has no name, and
	// its keys are unknown.
	Unusable bool `cbor:"6,keyasint,omitempty"`
}

// Catalogue finds accounts by key. It is immutable.
type Catalogue struct {
	byKey map[Digest]*Account
}

// NewCatalogue returns the catalogue of a list of accounts, or nil for an empty list. A key that
// several accounts hold belongs to the first of them. The caller must not change the list
// afterwards.
func NewCatalogue(list []Account) *Catalogue {
	if len(list) == 0 {
		return nil
	}
	c := &Catalogue{byKey: make(map[Digest]*Account, len(list))}
	for i := range list {
		for _, key := range list[i].Keys {
			if c.byKey[key] == nil {
				c.byKey[key] = &list[i]
			}
		}
	}
	return c
}

// Lookup returns the account that holds a key.
func (c *Catalogue) Lookup(key string) (*Account, bool) { return c.LookupDigest(DigestOf(key)) }

// LookupDigest returns the account that holds the key with a digest.
func (c *Catalogue) LookupDigest(d Digest) (*Account, bool) {
	a, ok := c.byKey[d]
	return a, ok
}
