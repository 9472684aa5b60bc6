// Command ridgeline prints the configuration of a provider of booking and advice
// tools for chess clubs: 3,000 adapters, one for each club and topic.
//
//	go run ./examples/ridgeline > ridgeline.json
package main

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
)

const (
	baseModel = "base-7b"
	clubs     = 250
	// clubShare is the minimum share of the fleet that each club keeps in overload.
	clubShare = 0.8 / clubs
)

// topics are the subjects on which every club has an adapter of its own.
var topics = []string{
	"blitz", "rapid", "classic", "bughouse", "chess960", "increment",
	"handicap", "pairing", "loans", "members", "inventory", "newsletter",
}

func main() { deckconfig.Main(build()) }

func build() *deckconfig.Builder {
	b := deckconfig.New()
	addRanks(b)
	b.Operator("pair-morning", deckconfig.RoleOperator).KeyHashes(deckconfig.HashKey("replace-this-morning-key"))
	b.Operator("pair-afternoon", deckconfig.RoleOperator).KeyHashes(deckconfig.HashKey("replace-this-afternoon-key"))
	b.Operator("wallboard", deckconfig.RoleViewer).KeyHashes(deckconfig.HashKey("replace-this-wallboard-key"))
	advice := b.ModelService("advice", baseModel).DefaultRank("desk").Timeout(30 * time.Second)
	b.PlainService("booking").DefaultRank("arbiter").NonRepeatable().Timeout(10 * time.Second)
	for i := range clubs {
		addClub(b, advice, i)
	}
	return b
}

func addRanks(b *deckconfig.Builder) {
	b.Rank("arbiter").FirstToken(500 * time.Millisecond).BetweenTokens(50 * time.Millisecond).Worth(20).Share(0.4)
	b.Rank("desk").FirstToken(970 * time.Millisecond).BetweenTokens(65 * time.Millisecond).Worth(5).Share(0.3)
	b.Rank("summary").FirstToken(2 * time.Minute).BetweenTokens(time.Second).Worth(1).Share(0.05)
}

// addClub adds a club as a customer, with an adapter for each topic.
func addClub(b *deckconfig.Builder, advice *deckconfig.ServiceBuilder, i int) {
	club := fmt.Sprintf("club-%03d", i)
	b.Customer(club).
		KeyHashes(deckconfig.HashKey("replace-this-key-of-" + club)).
		Share(clubShare).
		RequestsPerSecond(20)
	for _, topic := range topics {
		name := club + "-" + topic
		advice.Adapter(name).Version("v1", fmt.Sprintf("weights/%s/%s/v1", club, topic))
	}
}
