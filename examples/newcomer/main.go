// Command newcomer prints the configuration of the demo with one additional
// adapter, endgame. docs/operators/first-steps.md uses this command.
//
//	go run ./examples/newcomer > deployment.json
//	go run ./examples/newcomer -endgame v2 > deployment.json
package main

import (
	"flag"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// keyHash is the hash of the demo's API key, demo-key.
const keyHash = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"

func main() {
	endgame := flag.String("endgame", "v1", "default version of advice/endgame")
	flag.Parse()
	deckconfig.Main(build(*endgame))
}

func build(endgame string) *deckconfig.Builder {
	b := deckconfig.New()
	b.Rank("arbiter").FirstToken(500 * time.Millisecond).BetweenTokens(65 * time.Millisecond).Worth(10).Share(0.3)
	b.Rank("desk").FirstToken(970 * time.Millisecond).BetweenTokens(65 * time.Millisecond).Worth(3).Share(0.2)
	b.Rank("summary").FirstToken(time.Minute).BetweenTokens(time.Second).Worth(1).Share(0.05)
	b.Customer("ridgeline").KeyHashes(keyHash).Share(0.5)
	advice := b.ModelService("advice", "base-7b").DefaultRank("desk")
	for _, name := range []string{"blitz", "rapid", "classic", "bughouse", "chess960"} {
		advice.Adapter(name).Version("v1", "weights/"+name+"/v1").Version("v2", "weights/"+name+"/v2")
	}
	advice.Adapter("endgame").
		Version("v1", "weights/endgame/v1").
		Version("v2", "weights/endgame/v2").
		Default(endgame)
	b.PlainService("booking").DefaultRank("desk").NonRepeatable()
	return b
}
