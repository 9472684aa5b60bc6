package demo

import (
	"fmt"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/state"
)

// CustomerKey is the API key of the demo's customer.
const CustomerKey = "demo-key"

// OperatorKey is the bootstrap key of the demo's operators.
const OperatorKey = "demo-operator-key"

// DefaultConfig returns the configuration of the demo: a model service, advice, with five
// adapters, and a plain service, booking, with non-idempotent calls.
func DefaultConfig() *deckconfig.Config {
	config := &deckconfig.Config{
		Format: deckconfig.Format,
		Ranks: []deckconfig.Rank{
			{Name: "arbiter", FirstTokenMS: 500, BetweenTokensMS: 65, Worth: 10, Share: 0.3},
			{Name: "desk", FirstTokenMS: 970, BetweenTokensMS: 65, Worth: 3, Share: 0.2},
			{Name: "summary", FirstTokenMS: 60000, BetweenTokensMS: 1000, Worth: 1, Share: 0.05},
		},
		Customers: []deckconfig.Customer{
			{Name: "ridgeline", KeyHashes: []string{state.HashKey(CustomerKey)}, Share: 0.5},
		},
		Services: []deckconfig.Service{
			{Name: "advice", Kind: deckconfig.ModelService, BaseModel: baseModel, DefaultRank: "desk"},
			{Name: "booking", Kind: deckconfig.PlainService, DefaultRank: "desk", NonRepeatable: true},
		},
	}
	for _, name := range []string{"blitz", "rapid", "classic", "bughouse", "chess960"} {
		config.Services[0].Adapters = append(config.Services[0].Adapters, deckconfig.Adapter{
			Name:    name,
			Default: "v2",
			Versions: []deckconfig.Version{
				{Name: "v1", Source: fmt.Sprintf("weights/%s/v1", name)},
				{Name: "v2", Source: fmt.Sprintf("weights/%s/v2", name)},
			},
		})
	}
	return config
}
