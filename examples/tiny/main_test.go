package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/celerydeck/celerydeck/deckconfig"
)

func TestPrintedConfigurationChanges(t *testing.T) {
	config, err := build().Build()
	qt.Assert(t, err, qt.IsNil)
	data, err := config.Canonical()
	qt.Assert(t, err, qt.IsNil)
	_, err = deckconfig.Parse(data)
	qt.Assert(t, err, qt.IsNil)
	goldie.New(t).Assert(t, "tiny", data)
}
