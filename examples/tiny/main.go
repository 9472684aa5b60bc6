// Command tiny prints a minimal useful configuration: one customer, one service
// with one adapter and two ranks.
//
//	go run ./examples/tiny > tiny.json
package main

import (
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// keyHash is the hash of the API key "tiny-key", as printed by
// celerydeck keys hash.
const keyHash = "7c4b278d27191ce740c4130e9a225e79a4e30a1353c8062e367c7bb57f0841af"

func main() { deckconfig.Main(build()) }

func build() *deckconfig.Builder {
	b := deckconfig.New()
	b.Rank("urgent").FirstToken(500 * time.Millisecond).BetweenTokens(65 * time.Millisecond).Worth(10).Share(0.3)
	b.Rank("batch").FirstToken(time.Minute).BetweenTokens(time.Second).Worth(1)
	b.Customer("club").KeyHashes(keyHash)
	b.ModelService("advice", "base-7b").DefaultRank("urgent").
		Adapter("blitz").Version("v1", "weights/blitz/v1")
	return b
}
