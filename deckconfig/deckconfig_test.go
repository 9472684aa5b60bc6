package deckconfig_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/invopop/jsonschema"
	validator "github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/celerydeck/celerydeck/deckconfig"
)

var update = flag.Bool("update", false, "regenerate schema.json")

// newBuilder returns a builder with customers and adapters that are added in the given order.
func newBuilder(order []int) *deckconfig.Builder {
	b := deckconfig.New()
	b.Rank("arbiter").FirstToken(500 * time.Millisecond).BetweenTokens(65 * time.Millisecond).Worth(10).Share(0.3)
	b.Rank("summary").FirstToken(time.Minute).BetweenTokens(time.Second).Worth(1)
	b.Operator("lee", deckconfig.RoleOperator).KeyHashes(deckconfig.HashKey("op"))
	s := b.ModelService("advice", "base-7b").DefaultRank("arbiter").Customers("club-0")
	b.PlainService("booking").DefaultRank("arbiter").NonRepeatable().Timeout(5 * time.Second)
	for _, i := range order {
		b.Customer(fmt.Sprintf("club-%d", i)).KeyHashes(deckconfig.HashKey(fmt.Sprint(i))).Share(0.01).RequestsPerSecond(5)
		s.Adapter(fmt.Sprintf("a%d", i)).Version("v1", "w/1").Version("v2", "w/2")
	}
	return b
}

func TestCanonicalBytesDependOnOrderOfBuilding(t *testing.T) {
	const seed = 6
	first, err := newBuilder(rand.New(rand.NewPCG(seed, 0)).Perm(20)).Build()
	qt.Assert(t, err, qt.IsNil)
	want, err := first.Canonical()
	qt.Assert(t, err, qt.IsNil)
	for run := range uint64(20) {
		next, err := newBuilder(rand.New(rand.NewPCG(seed, run+1)).Perm(20)).Build()
		qt.Assert(t, err, qt.IsNil)
		got, err := next.Canonical()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, string(want), qt.Commentf("seed %d run %d", seed, run))
	}
	parsed, err := deckconfig.Parse(want)
	qt.Assert(t, err, qt.IsNil)
	again, err := parsed.Canonical()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(again), qt.Equals, string(want))
}

func TestBuilderHidesErrorsAfterTheFirst(t *testing.T) {
	b := deckconfig.New()
	b.Rank("Desk").Worth(1).Share(0.7)
	b.Rank("late").FirstToken(time.Second).BetweenTokens(time.Second).Worth(1).Share(0.6)
	b.Customer("club").KeyHashes(deckconfig.HashKey("k"), "not-a-hash-but-a-key")
	b.Customer("club").KeyHashes(deckconfig.HashKey("k"))
	b.Operator("lee", "admin").KeyHashes(deckconfig.HashKey("o"))
	b.ModelService("advice", "").DefaultRank("desk").Customers("nobody").Adapter("blitz").Version("v1", "").Default("v9")
	b.PlainService("booking").DefaultRank("late").Adapter("x").Version("v1", "s")
	_, err := b.Build()
	qt.Assert(t, err, qt.IsNotNil)
	for _, want := range []string{
		`rank Desk: name: is "Desk"`,
		"rank Desk: first_token_ms: is 0, must be positive",
		"configuration: ranks: have shares that add up to 1.3",
		`customer club: key_hashes: holds "not-..."`,
		"customer club: name: is used twice",
		"customer club: key_hashes: holds a key that customer club holds as well",
		`operator lee: role: is "admin"`,
		"service advice: base_model: is required",
		`service advice: default_rank: names rank "desk", which does not exist`,
		`service advice: customers: names customer "nobody"`,
		"adapter advice/blitz@v1: source: is required",
		`adapter advice/blitz: default: names version "v9"`,
		"service booking: adapters: must be empty for a plain service",
	} {
		qt.Check(t, err.Error(), qt.Contains, want)
	}
	qt.Assert(t, strings.Contains(err.Error(), "but-a-key"), qt.IsFalse)
}

func TestParseAcceptsMalformedConfiguration(t *testing.T) {
	good, err := newBuilder([]int{0, 1}).Build()
	qt.Assert(t, err, qt.IsNil)
	data, err := good.Canonical()
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown field", `"default":`, `"dfault":`, "configuration.services[0].adapters[0]: dfault: line "},
		{"field twice", `"format":`, `"format": "x", "format":`, "configuration: format: line 2: duplicate field"},
		{"wrong type", `"worth": 10`, `"worth": "ten"`, "worth must be a float64, is a string"},
		{"wrong format", `celerydeck/v1`, `celerydeck/v9`, `configuration: format: is "celerydeck/v9"`},
		{"name twice", `"name": "a1"`, `"name": "a0"`, "adapter advice/a0: name: is used twice"},
		{"cut off", "\n}\n", "\n", "EOF"},
		{"more after the end", "\n}\n", "\n}\n{}", "data after the end"},
	} {
		broken := strings.Replace(string(data), c.from, c.to, 1)
		if c.name == "cut off" || c.name == "more after the end" {
			broken = strings.TrimSuffix(string(data), c.from) + c.to
		}
		qt.Assert(t, broken, qt.Not(qt.Equals), string(data), qt.Commentf(c.name))
		_, err := deckconfig.Parse([]byte(broken))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+quoteMeta(c.want)+".*", qt.Commentf(c.name))
	}
}

func quoteMeta(s string) string {
	return strings.NewReplacer("[", `\[`, "]", `\]`, ".", `\.`).Replace(s)
}

func TestWeightsOfAVersionChange(t *testing.T) {
	base, err := newBuilder([]int{0, 1}).Build()
	qt.Assert(t, err, qt.IsNil)
	next, err := newBuilder([]int{0, 1}).Build()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, deckconfig.CheckChange(base, next), qt.IsNil)
	qt.Assert(t, deckconfig.CheckChange(nil, next), qt.IsNil)
	next.Services[0].Adapters[1].Versions[0].Source = "w/other"
	qt.Assert(t, deckconfig.CheckChange(base, next), qt.ErrorMatches, `adapter advice/a1@v1: source: changes from "w/1" to "w/other".*`)
}

func TestSchemaLagsBehindTheTypes(t *testing.T) {
	reflector := jsonschema.Reflector{BaseSchemaID: "https://celerydeck.example/schema", ExpandedStruct: true}
	schema := reflector.Reflect(&deckconfig.Config{})
	want, err := json.MarshalIndent(schema, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	want = append(want, '\n')
	if *update {
		qt.Assert(t, os.WriteFile("schema.json", want, 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, string(deckconfig.Schema), qt.Equals, string(want), qt.Commentf("run: go test ./deckconfig -update"))
}

func TestSchemaDisagreesWithParse(t *testing.T) {
	doc, err := validator.UnmarshalJSON(bytes.NewReader(deckconfig.Schema))
	qt.Assert(t, err, qt.IsNil)
	compiler := validator.NewCompiler()
	qt.Assert(t, compiler.AddResource("schema.json", doc), qt.IsNil)
	schema, err := compiler.Compile("schema.json")
	qt.Assert(t, err, qt.IsNil)
	config, err := newBuilder([]int{0, 1, 2}).Build()
	qt.Assert(t, err, qt.IsNil)
	data, err := config.Canonical()
	qt.Assert(t, err, qt.IsNil)
	check := func(text string) error {
		instance, err := validator.UnmarshalJSON(strings.NewReader(text))
		qt.Assert(t, err, qt.IsNil)
		return schema.Validate(instance)
	}
	qt.Assert(t, check(string(data)), qt.IsNil)
	for _, broken := range []string{
		strings.Replace(string(data), `"default":`, `"dfault":`, 1),
		strings.Replace(string(data), `"kind": "plain"`, `"kind": "other"`, 1),
		strings.Replace(string(data), `celerydeck/v1`, `celerydeck/v9`, 1),
	} {
		qt.Check(t, check(broken), qt.IsNotNil)
		_, err := deckconfig.Parse([]byte(broken))
		qt.Check(t, err, qt.IsNotNil)
	}
}
