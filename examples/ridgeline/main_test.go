package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
)

func TestConfigurationIsRefused(t *testing.T) {
	config, err := build().Build()
	qt.Assert(t, err, qt.IsNil)
	data, err := config.Canonical()
	qt.Assert(t, err, qt.IsNil)
	parsed, err := deckconfig.Parse(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(parsed.Services[0].Adapters), qt.Equals, 3000)
}
