package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// RankInfo is a rank of the configuration with its targets.
type RankInfo struct {
	Rank          Rank
	Name          string
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Worth         float64
	Share         float64
}

// Catalog is one compiled revision of the configuration. It is immutable.
type Catalog struct {
	Revision uint64
	Digest   string

	config    *deckconfig.Config
	ranks     []RankInfo
	rankIndex map[string]Rank
	keys      map[string]CustomerID
	customers map[CustomerID]*deckconfig.Customer
	services  map[ServiceID]*deckconfig.Service
	adapters  map[AdapterRef]*deckconfig.Adapter // keyed without version
}

// NewCatalog compiles a configuration. The caller must not change config after.
func NewCatalog(revision uint64, digest string, config *deckconfig.Config) *Catalog {
	c := &Catalog{
		Revision:  revision,
		Digest:    digest,
		config:    config,
		rankIndex: make(map[string]Rank, len(config.Ranks)),
		keys:      make(map[string]CustomerID),
		customers: make(map[CustomerID]*deckconfig.Customer, len(config.Customers)),
		services:  make(map[ServiceID]*deckconfig.Service, len(config.Services)),
		adapters:  make(map[AdapterRef]*deckconfig.Adapter),
	}
	for i, r := range config.Ranks {
		c.rankIndex[r.Name] = Rank(i)
		c.ranks = append(c.ranks, RankInfo{
			Rank:          Rank(i),
			Name:          r.Name,
			FirstToken:    time.Duration(r.FirstTokenMS) * time.Millisecond,
			BetweenTokens: time.Duration(r.BetweenTokensMS) * time.Millisecond,
			Worth:         r.Worth,
			Share:         r.Share,
		})
	}
	for i := range config.Customers {
		customer := &config.Customers[i]
		c.customers[CustomerID(customer.Name)] = customer
		for _, hash := range customer.KeyHashes {
			c.keys[hash] = CustomerID(customer.Name)
		}
	}
	for i := range config.Services {
		service := &config.Services[i]
		c.services[ServiceID(service.Name)] = service
		for j := range service.Adapters {
			ref := AdapterRef{Service: ServiceID(service.Name), Adapter: service.Adapters[j].Name}
			c.adapters[ref] = &service.Adapters[j]
		}
	}
	return c
}

// Config returns the configuration. Callers must not change it.
func (c *Catalog) Config() *deckconfig.Config { return c.config }

// HashKey returns the form in which the configuration holds an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByKey returns the customer of an API key. Looking up the SHA-256 hash
// of the key keeps the comparison independent of the key's content.
func (c *Catalog) CustomerByKey(key string) (CustomerID, bool) {
	customer, ok := c.keys[HashKey(key)]
	return customer, ok
}

// Customer returns a customer, or nil.
func (c *Catalog) Customer(id CustomerID) *deckconfig.Customer { return c.customers[id] }

// Service returns a service, or nil.
func (c *Catalog) Service(id ServiceID) *deckconfig.Service { return c.services[id] }

// Admits reports whether a customer may call a service.
func (c *Catalog) Admits(service *deckconfig.Service, customer CustomerID) bool {
	return len(service.Customers) == 0 || slices.Contains(service.Customers, string(customer))
}

// Ranks returns the ranks, most urgent first. Callers must not change them.
func (c *Catalog) Ranks() []RankInfo { return c.ranks }

// RankByName returns a rank by its name.
func (c *Catalog) RankByName(name string) (Rank, bool) {
	r, ok := c.rankIndex[name]
	return r, ok
}

// Resolve fills in the default version of ref and returns the version. It
// reports false when the adapter or the version is not configured.
func (c *Catalog) Resolve(ref AdapterRef) (AdapterRef, deckconfig.Version, bool) {
	adapter := c.adapters[AdapterRef{Service: ref.Service, Adapter: ref.Adapter}]
	if adapter == nil {
		return ref, deckconfig.Version{}, false
	}
	if ref.Version == "" {
		ref.Version = adapter.Default
	}
	for _, v := range adapter.Versions {
		if v.Name == ref.Version {
			return ref, v, true
		}
	}
	return ref, deckconfig.Version{}, false
}
