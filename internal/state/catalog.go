package state

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// catalogShards is the number of shards of the adapter table. An edit copies only
// the shards that it changes.
const catalogShards = 1024

// RankInfo is a configured rank with its latency targets and weights.
type RankInfo struct {
	Rank          Rank
	Name          string
	FirstToken    time.Duration // target for the first token
	BetweenTokens time.Duration // target for the gap between two tokens
	Worth         float64       // value of a request that meets its targets
	Share         float64       // least share of the fleet that the rank keeps in an overload
}

// Catalog is one compiled revision of the configuration. It is immutable. A catalog
// made by With shares all unchanged parts with its predecessor.
type Catalog struct {
	Revision uint64
	Digest   string

	ranks     []RankInfo
	rankIndex map[string]Rank
	rawRanks  []deckconfig.Rank
	keys      map[string]CustomerID
	customers map[CustomerID]*deckconfig.Customer
	services  map[ServiceID]*deckconfig.Service                 // without adapters
	adapters  [catalogShards]map[AdapterRef]*deckconfig.Adapter // keyed without version
	operators map[string]*deckconfig.Operator

	lazyConfig func() *deckconfig.Config
}

// Edit replaces or deletes one object of the configuration.
type Edit interface{ edit(*Catalog) }

// Edits of a Catalog. An edit whose object is nil deletes the object that it names.
type (
	// RanksEdit replaces the ranks.
	RanksEdit struct{ Ranks []deckconfig.Rank }
	// CustomerEdit replaces a customer.
	CustomerEdit struct {
		Name     CustomerID
		Customer *deckconfig.Customer
	}
	// ServiceEdit replaces a service without its adapters.
	ServiceEdit struct {
		Name    ServiceID
		Service *deckconfig.Service
	}
	// OperatorEdit replaces an operator.
	OperatorEdit struct {
		Name     string
		Operator *deckconfig.Operator
	}
	// AdapterEdit replaces an adapter. Ref has no version.
	AdapterEdit struct {
		Ref     AdapterRef
		Adapter *deckconfig.Adapter
	}
)

// EmptyCatalog returns a catalog without objects at revision 0.
func EmptyCatalog() *Catalog {
	c := &Catalog{
		rankIndex: make(map[string]Rank),
		keys:      make(map[string]CustomerID),
		customers: make(map[CustomerID]*deckconfig.Customer),
		services:  make(map[ServiceID]*deckconfig.Service),
		operators: make(map[string]*deckconfig.Operator),
	}
	c.lazyConfig = sync.OnceValue(c.buildConfig)
	return c
}

// NewCatalog compiles a configuration. The caller must not modify config afterwards.
func NewCatalog(revision uint64, digest string, config *deckconfig.Config) *Catalog {
	edits := []Edit{RanksEdit{Ranks: config.Ranks}}
	for i := range config.Customers {
		customer := &config.Customers[i]
		edits = append(edits, CustomerEdit{Name: CustomerID(customer.Name), Customer: customer})
	}
	for i := range config.Operators {
		operator := &config.Operators[i]
		edits = append(edits, OperatorEdit{Name: operator.Name, Operator: operator})
	}
	for _, service := range config.Services {
		bare := service
		bare.Adapters = nil
		edits = append(edits, ServiceEdit{Name: ServiceID(service.Name), Service: &bare})
		for j := range service.Adapters {
			ref := AdapterRef{Service: ServiceID(service.Name), Adapter: service.Adapters[j].Name}
			edits = append(edits, AdapterEdit{Ref: ref, Adapter: &service.Adapters[j]})
		}
	}
	return EmptyCatalog().With(revision, digest, edits)
}

// With returns a new catalog with the edits applied in order.
func (c *Catalog) With(revision uint64, digest string, edits []Edit) *Catalog {
	next := &Catalog{
		Revision:  revision,
		Digest:    digest,
		ranks:     c.ranks,
		rankIndex: c.rankIndex,
		rawRanks:  c.rawRanks,
		keys:      c.keys,
		customers: c.customers,
		services:  c.services,
		adapters:  c.adapters,
		operators: c.operators,
	}
	next.cloneEdited(edits)
	for _, e := range edits {
		e.edit(next)
	}
	next.lazyConfig = sync.OnceValue(next.buildConfig)
	return next
}

// cloneEdited clones the maps and shards that the edits modify.
func (c *Catalog) cloneEdited(edits []Edit) {
	var customers, services, operators bool
	copied := make(map[uint64]bool)
	for _, e := range edits {
		switch e := e.(type) {
		case CustomerEdit:
			customers = true
		case ServiceEdit:
			services = true
		case OperatorEdit:
			operators = true
		case AdapterEdit:
			i := adapterShard(e.Ref)
			if copied[i] {
				continue
			}
			copied[i] = true
			shard := make(map[AdapterRef]*deckconfig.Adapter, len(c.adapters[i])+1)
			maps.Copy(shard, c.adapters[i])
			c.adapters[i] = shard
		}
	}
	if customers {
		c.customers = maps.Clone(c.customers)
		c.keys = maps.Clone(c.keys)
	}
	if services {
		c.services = maps.Clone(c.services)
	}
	if operators {
		c.operators = maps.Clone(c.operators)
	}
}

func (e RanksEdit) edit(c *Catalog) {
	c.rawRanks = e.Ranks
	c.ranks = make([]RankInfo, 0, len(e.Ranks))
	c.rankIndex = make(map[string]Rank, len(e.Ranks))
	for i, r := range e.Ranks {
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
}

func (e CustomerEdit) edit(c *Catalog) {
	if old := c.customers[e.Name]; old != nil {
		for _, hash := range old.KeyHashes {
			delete(c.keys, hash)
		}
	}
	delete(c.customers, e.Name)
	if e.Customer == nil {
		return
	}
	c.customers[e.Name] = e.Customer
	for _, hash := range e.Customer.KeyHashes {
		c.keys[hash] = e.Name
	}
}

func (e ServiceEdit) edit(c *Catalog) {
	delete(c.services, e.Name)
	if e.Service != nil {
		c.services[e.Name] = e.Service
	}
}

func (e OperatorEdit) edit(c *Catalog) {
	delete(c.operators, e.Name)
	if e.Operator != nil {
		c.operators[e.Name] = e.Operator
	}
}

func (e AdapterEdit) edit(c *Catalog) {
	shard := c.adapters[adapterShard(e.Ref)]
	delete(shard, e.Ref)
	if e.Adapter != nil {
		shard[e.Ref] = e.Adapter
	}
}

func adapterShard(ref AdapterRef) uint64 {
	return (xxhash.Sum64String(ref.Adapter) ^ xxhash.Sum64String(string(ref.Service))) % catalogShards
}

// Config returns the whole configuration, sorted by name. Callers must not modify it.
func (c *Catalog) Config() *deckconfig.Config { return c.lazyConfig() }

// buildConfig assembles the configuration. It runs at the first call of Config.
func (c *Catalog) buildConfig() *deckconfig.Config {
	config := &deckconfig.Config{Format: deckconfig.Format, Ranks: c.rawRanks}
	for _, name := range slices.Sorted(maps.Keys(c.customers)) {
		config.Customers = append(config.Customers, *c.customers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.operators)) {
		config.Operators = append(config.Operators, *c.operators[name])
	}
	byService := make(map[ServiceID][]deckconfig.Adapter)
	for _, shard := range c.adapters {
		for ref, a := range shard {
			byService[ref.Service] = append(byService[ref.Service], *a)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		service := *c.services[name]
		service.Adapters = byService[name]
		slices.SortFunc(service.Adapters, func(a, b deckconfig.Adapter) int {
			return strings.Compare(a.Name, b.Name)
		})
		config.Services = append(config.Services, service)
		delete(byService, name)
	}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		// Another change has deleted the service of these adapters. The service is added
		// without a kind, so that the validation rejects the configuration.
		config.Services = append(config.Services, deckconfig.Service{Name: string(name), Adapters: byService[name]})
	}
	return config
}

// HashKey returns the SHA-256 hash of an API key in hex, as the configuration
// stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByKey returns the customer of an API key. The lookup by SHA-256 hash
// reveals nothing about the key through its timing.
func (c *Catalog) CustomerByKey(key string) (CustomerID, bool) {
	customer, ok := c.keys[HashKey(key)]
	return customer, ok
}

// OperatorByKey returns the operator of an operator key. It compares the hash of
// the key with every hash of the configuration in constant time.
func (c *Catalog) OperatorByKey(key string) (deckconfig.Operator, bool) {
	hash := []byte(HashKey(key))
	var found deckconfig.Operator
	ok := false
	for _, operator := range c.operators {
		for _, configured := range operator.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(configured)) == 1 {
				found, ok = *operator, true
			}
		}
	}
	return found, ok
}

// Customer returns a customer, or nil if it is not configured.
func (c *Catalog) Customer(id CustomerID) *deckconfig.Customer { return c.customers[id] }

// Service returns a service without its adapters, or nil if it is not configured.
func (c *Catalog) Service(id ServiceID) *deckconfig.Service { return c.services[id] }

// Admits reports whether a customer may call a service. A service without a list of
// customers admits all.
func (c *Catalog) Admits(service *deckconfig.Service, customer CustomerID) bool {
	return len(service.Customers) == 0 || slices.Contains(service.Customers, string(customer))
}

// Ranks returns the ranks, most urgent first. Callers must not modify the slice.
func (c *Catalog) Ranks() []RankInfo { return c.ranks }

// RankByName returns a rank by its name.
func (c *Catalog) RankByName(name string) (Rank, bool) {
	r, ok := c.rankIndex[name]
	return r, ok
}

// Adapter returns an adapter, or nil if it is not configured. It ignores the version
// of ref.
func (c *Catalog) Adapter(ref AdapterRef) *deckconfig.Adapter {
	ref.Version = ""
	return c.adapters[adapterShard(ref)][ref]
}

// Resolve fills in the default version if ref has none and returns the version's
// configuration. It returns false if the adapter or the version is not configured.
func (c *Catalog) Resolve(ref AdapterRef) (AdapterRef, deckconfig.Version, bool) {
	adapter := c.Adapter(ref)
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
