package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
)

func TestMergedBasesClash(t *testing.T) {
	markets, err := readBases()
	qt.Assert(t, err, qt.IsNil)
	config, err := build(markets).Build()
	qt.Assert(t, err, qt.IsNil)
	data, err := config.Canonical()
	qt.Assert(t, err, qt.IsNil)
	parsed, err := deckconfig.Parse(data)
	qt.Assert(t, err, qt.IsNil)
	adapters := 0
	for _, s := range parsed.Services {
		adapters += len(s.Adapters)
	}
	qt.Assert(t, adapters, qt.Equals, 3132)
}

func TestCustomerOfTwoBasesLosesAKey(t *testing.T) {
	markets, err := readBases()
	qt.Assert(t, err, qt.IsNil)
	config, err := build(markets).Build()
	qt.Assert(t, err, qt.IsNil)
	for _, c := range config.Customers {
		if c.Name == "ferias-norte-7" {
			qt.Assert(t, len(c.KeyHashes), qt.Equals, 2)
			return
		}
	}
	t.Fatal("customer is missing")
}
