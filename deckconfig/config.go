// Package deckconfig describes the configuration of a celerydeck deployment.
// Operators write Go programs that build a Config and print it; the celerydeck
// command submits the printed JSON.
package deckconfig

// Format is the version of the configuration format.
const Format = "celerydeck/v1"

// Config is the complete configuration of a deployment.
type Config struct {
	Format    string     `json:"format" jsonschema:"enum=celerydeck/v1"`
	Ranks     []Rank     `json:"ranks"`
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services"`
	// Operators may read or change the deployment.
	Operators []Operator `json:"operators,omitempty"`
}

// Rank is a priority level of requests with its latency targets. The first rank is the most urgent.
type Rank struct {
	Name string `json:"name"`
	// FirstTokenMS is the target for the time from a request to its first token, in milliseconds.
	FirstTokenMS int `json:"first_token_ms"`
	// BetweenTokensMS is the target for the time between two consecutive tokens, in milliseconds.
	BetweenTokensMS int `json:"between_tokens_ms"`
	// Worth is the value of a request of the rank that meets its latency targets, relative to requests of other
	// ranks.
	Worth float64 `json:"worth"`
	// Share is the minimum share of the fleet that the rank keeps in overload, from 0 to 1.
	Share float64 `json:"share"`
}

// Customer is a caller of the system with its API keys.
type Customer struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 hashes of API keys, in lower-case hex.
	KeyHashes []string `json:"key_hashes"`
	// Share is the minimum share of the fleet that the customer keeps in overload, from 0 to 1.
	Share float64 `json:"share,omitempty"`
	// RequestsPerSecond limits the rate of requests of the customer. A rate of 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// OperatorRole is the set of permissions of an operator.
type OperatorRole string

// Roles of operators. RoleViewer permits reading the state of the deployment. RoleOperator also permits changing it.
const (
	RoleViewer   OperatorRole = "viewer"
	RoleOperator OperatorRole = "operator"
)

// Operator is a person or program that manages the deployment.
type Operator struct {
	Name string       `json:"name"`
	Role OperatorRole `json:"role" jsonschema:"enum=viewer,enum=operator"`
	// KeyHashes are SHA-256 hashes of operator keys, in lower-case hex.
	KeyHashes []string `json:"key_hashes"`
}

// ServiceKind distinguishes services of model engines from plain HTTP services.
type ServiceKind string

// Kinds of services.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a named group of adapters, or a plain HTTP service.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind" jsonschema:"enum=model,enum=plain"`
	// BaseModel is the base model of the adapters. Plain services have no base model.
	BaseModel string `json:"base_model,omitempty"`
	// DefaultRank is the rank of requests without a rank header.
	DefaultRank string `json:"default_rank"`
	// Customers lists the customers that may call the service. If the list is empty, all customers may call it.
	Customers []string `json:"customers,omitempty"`
	// NonRepeatable marks the calls of the service as calls that must run at most once. GET and HEAD calls of
	// plain services are repeatable nevertheless.
	NonRepeatable bool `json:"non_repeatable,omitempty"`
	// TimeoutMS is the timeout of requests without a timeout header, in milliseconds. 0 means the default timeout
	// of the API for callers.
	TimeoutMS int       `json:"timeout_ms,omitempty"`
	Adapters  []Adapter `json:"adapters,omitempty"`
}

// Adapter is a fine-tuned adapter of the service's base model.
type Adapter struct {
	Name string `json:"name"`
	// Default is the version that serves requests that name no version.
	Default  string    `json:"default"`
	Versions []Version `json:"versions"`
}

// Version is an immutable version of an adapter.
type Version struct {
	Name string `json:"name"`
	// Source is the location of the weights in the weight store.
	Source string `json:"source"`
}
