package deckconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"
)

// Builder collects the objects of a configuration. Ranks must be added in order of urgency,
// all other objects may be added in any order.
type Builder struct {
	ranks     []*RankBuilder
	customers []*CustomerBuilder
	services  []*ServiceBuilder
	operators []*OperatorBuilder
}

// New returns an empty builder.
func New() *Builder { return &Builder{} }

// Rank adds a rank of work that is less urgent than the ranks added before it.
func (b *Builder) Rank(name string) *RankBuilder {
	r := &RankBuilder{rank: Rank{Name: name}}
	b.ranks = append(b.ranks, r)
	return r
}

// Customer adds a customer.
func (b *Builder) Customer(name string) *CustomerBuilder {
	c := &CustomerBuilder{customer: Customer{Name: name}}
	b.customers = append(b.customers, c)
	return c
}

// Operator adds an operator.
func (b *Builder) Operator(name string, role OperatorRole) *OperatorBuilder {
	o := &OperatorBuilder{operator: Operator{Name: name, Role: role}}
	b.operators = append(b.operators, o)
	return o
}

// ModelService adds a service whose adapters are based on a base model.
func (b *Builder) ModelService(name, baseModel string) *ServiceBuilder {
	return b.service(Service{Name: name, Kind: ModelService, BaseModel: baseModel})
}

// PlainService adds a plain HTTP service.
func (b *Builder) PlainService(name string) *ServiceBuilder {
	return b.service(Service{Name: name, Kind: PlainService})
}

func (b *Builder) service(s Service) *ServiceBuilder {
	builder := &ServiceBuilder{service: s}
	b.services = append(b.services, builder)
	return builder
}

// Build returns the configuration in canonical order. If the configuration is invalid, the error has type Errors
// and lists all its faults.
func (b *Builder) Build() (*Config, error) {
	config := &Config{Format: Format}
	for _, r := range b.ranks {
		config.Ranks = append(config.Ranks, r.rank)
	}
	for _, c := range b.customers {
		config.Customers = append(config.Customers, c.customer)
	}
	for _, o := range b.operators {
		config.Operators = append(config.Operators, o.operator)
	}
	for _, s := range b.services {
		config.Services = append(config.Services, s.build())
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return config.sorted(), nil
}

// Main prints the configuration on standard output and exits with code 0. If the configuration is invalid, Main
// prints the errors on standard error and exits with code 1. A program that prints a configuration can call Main
// as its whole main function.
func Main(b *Builder) { os.Exit(run(b, os.Stdout, os.Stderr)) }

func run(b *Builder, stdout, stderr io.Writer) int {
	config, err := b.Build()
	if err == nil {
		err = config.Write(stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// HashKey returns the hash of an API key or an operator key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// RankBuilder sets the fields of a rank.
type RankBuilder struct{ rank Rank }

// FirstToken sets the target for the time from a request to its first token.
func (r *RankBuilder) FirstToken(d time.Duration) *RankBuilder {
	r.rank.FirstTokenMS = int(d.Milliseconds())
	return r
}

// BetweenTokens sets the target for the time between two consecutive tokens.
func (r *RankBuilder) BetweenTokens(d time.Duration) *RankBuilder {
	r.rank.BetweenTokensMS = int(d.Milliseconds())
	return r
}

// Worth sets the value of a request of the rank that meets its latency targets, relative to requests of other
// ranks.
func (r *RankBuilder) Worth(worth float64) *RankBuilder {
	r.rank.Worth = worth
	return r
}

// Share sets the minimum share of the fleet that the rank keeps in overload, from 0 to 1.
func (r *RankBuilder) Share(share float64) *RankBuilder {
	r.rank.Share = share
	return r
}

// CustomerBuilder sets the fields of a customer.
type CustomerBuilder struct{ customer Customer }

// KeyHashes adds hashes of API keys.
func (c *CustomerBuilder) KeyHashes(hashes ...string) *CustomerBuilder {
	c.customer.KeyHashes = append(c.customer.KeyHashes, hashes...)
	return c
}

// Share sets the minimum share of the fleet that the customer keeps in overload, from 0 to 1.
func (c *CustomerBuilder) Share(share float64) *CustomerBuilder {
	c.customer.Share = share
	return c
}

// RequestsPerSecond limits the rate of requests of the customer. A rate of 0 means no limit.
func (c *CustomerBuilder) RequestsPerSecond(rate float64) *CustomerBuilder {
	c.customer.RequestsPerSecond = rate
	return c
}

// OperatorBuilder sets the fields of an operator.
type OperatorBuilder struct{ operator Operator }

// KeyHashes adds hashes of operator keys.
func (o *OperatorBuilder) KeyHashes(hashes ...string) *OperatorBuilder {
	o.operator.KeyHashes = append(o.operator.KeyHashes, hashes...)
	return o
}

// ServiceBuilder sets the fields of a service.
type ServiceBuilder struct {
	service  Service
	adapters []*AdapterBuilder
}

// DefaultRank sets the rank of requests that do not name a rank.
func (s *ServiceBuilder) DefaultRank(rank string) *ServiceBuilder {
	s.service.DefaultRank = rank
	return s
}

// Customers adds customers that may call the service. If no customers are added, all customers may call it.
func (s *ServiceBuilder) Customers(names ...string) *ServiceBuilder {
	s.service.Customers = append(s.service.Customers, names...)
	return s
}

// NonRepeatable marks the calls of the service as calls that must run at most once.
func (s *ServiceBuilder) NonRepeatable() *ServiceBuilder {
	s.service.NonRepeatable = true
	return s
}

// Timeout sets the timeout of requests without a timeout header.
func (s *ServiceBuilder) Timeout(d time.Duration) *ServiceBuilder {
	s.service.TimeoutMS = int(d.Milliseconds())
	return s
}

// Adapter adds an adapter.
func (s *ServiceBuilder) Adapter(name string) *AdapterBuilder {
	a := &AdapterBuilder{adapter: Adapter{Name: name}}
	s.adapters = append(s.adapters, a)
	return a
}

func (s *ServiceBuilder) build() Service {
	service := s.service
	for _, a := range s.adapters {
		service.Adapters = append(service.Adapters, a.adapter)
	}
	return service
}

// AdapterBuilder sets the fields of an adapter.
type AdapterBuilder struct {
	adapter    Adapter
	defaultSet bool
}

// Version adds a version with the location of its weights in the weight store. The version that is added last
// becomes the default version, unless Default sets another version.
func (a *AdapterBuilder) Version(name, source string) *AdapterBuilder {
	a.adapter.Versions = append(a.adapter.Versions, Version{Name: name, Source: source})
	if !a.defaultSet {
		a.adapter.Default = name
	}
	return a
}

// Default sets the version that serves requests that name no version.
func (a *AdapterBuilder) Default(version string) *AdapterBuilder {
	a.adapter.Default = version
	a.defaultSet = true
	return a
}
