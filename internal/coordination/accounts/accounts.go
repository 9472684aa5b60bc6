// Package accounts finds the client account of an API key. It holds digests of keys only, so
// that no log, dump or message between daemons can contain a key.
package accounts

// Digest is the SHA-256 hash of an API key.
type Digest [32]byte

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
}

// Catalogue finds accounts by key. It is immutable.
type Catalogue struct {
	byKey map[Digest]*Account
}

// NewCatalogue returns the catalogue of a list of accounts, or nil for an empty list. The
// caller must not change the list afterwards.
func NewCatalogue(list []Account) *Catalogue {
	if len(list) == 0 {
		return nil
	}
	c := &Catalogue{byKey: make(map[Digest]*Account)}
	for i := range list {
		for _, key := range list[i].Keys {
			c.byKey[key] = &list[i]
		}
	}
	return c
}
