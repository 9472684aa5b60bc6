// Command credenciales prints the configuration of badge services for street
// markets. It merges three customer bases, each with its own file format and
// naming, into one deployment with thousands of adapters.
//
//	go run ./examples/credenciales > credenciales.json
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
)

const baseModel = "base-7b"

// service is a model service. Every market has one adapter in the service for each name in adapters.
type service struct {
	name        string
	defaultRank string
	adapters    []string
}

var services = []service{
	{"inspection", "gate", []string{"badge-check", "stall-check", "complaint", "handover"}},
	{"permits", "vendor", []string{"renewal", "transfer", "appeal", "stall-draft", "fee-advice"}},
	{"summaries", "batch", []string{"daily", "weekly", "incidents"}},
}

func main() {
	markets, err := readBases()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	deckconfig.Main(build(markets))
}

func build(markets []market) *deckconfig.Builder {
	b := deckconfig.New()
	b.Rank("gate").FirstToken(400 * time.Millisecond).BetweenTokens(50 * time.Millisecond).Worth(50).Share(0.5)
	b.Rank("vendor").FirstToken(970 * time.Millisecond).BetweenTokens(65 * time.Millisecond).Worth(5).Share(0.3)
	b.Rank("batch").FirstToken(5 * time.Minute).BetweenTokens(2 * time.Second).Worth(1).Share(0.05)
	b.Operator("turno-manana", deckconfig.RoleOperator).KeyHashes(deckconfig.HashKey("replace-this-manana"))
	b.Operator("turno-tarde", deckconfig.RoleOperator).KeyHashes(deckconfig.HashKey("replace-this-tarde"))
	addCustomers(b, markets)
	for _, s := range services {
		addService(b, s, markets)
	}
	b.PlainService("registry").DefaultRank("gate").NonRepeatable().Timeout(10 * time.Second)
	return b
}

// addCustomers adds every customer once. A customer that occurs in several bases gets the key hashes of all of them.
func addCustomers(b *deckconfig.Builder, markets []market) {
	added := make(map[string]*deckconfig.CustomerBuilder)
	seenKeys := make(map[string]bool)
	for _, m := range markets {
		if added[m.customer] == nil {
			added[m.customer] = b.Customer(m.customer).RequestsPerSecond(50)
		}
		if !seenKeys[m.keyHash] {
			added[m.customer].KeyHashes(m.keyHash)
		}
		seenKeys[m.keyHash] = true
	}
}

// addService adds a service with the adapters of every market.
func addService(b *deckconfig.Builder, s service, markets []market) {
	builder := b.ModelService(s.name, baseModel).DefaultRank(s.defaultRank)
	for _, m := range markets {
		for _, adapter := range s.adapters {
			builder.Adapter(m.name+"-"+adapter).
				Version("v1", fmt.Sprintf("weights/%s/%s/%s/v1", s.name, m.name, adapter))
		}
	}
}
