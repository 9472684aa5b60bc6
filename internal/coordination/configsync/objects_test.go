package configsync_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/state"
)

func TestOperatorIsLostBetweenSplitAndJoin(t *testing.T) {
	config := &deckconfig.Config{Format: deckconfig.Format, Operators: []deckconfig.Operator{
		{Name: "lee", Role: deckconfig.RoleOperator, KeyHashes: []string{deckconfig.HashKey("a")}},
	}}
	objects, err := configsync.Split(config)
	qt.Assert(t, err, qt.IsNil)
	joined, err := configsync.Join(objects)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, joined, qt.DeepEquals, config)
	changes, err := configsync.Diff(nil, config)
	qt.Assert(t, err, qt.IsNil)
	edits, err := configsync.CatalogEdits(changes)
	qt.Assert(t, err, qt.IsNil)
	_, ok := state.EmptyCatalog().With(1, "", edits).OperatorByKey("a")
	qt.Assert(t, ok, qt.IsTrue)
	changes, err = configsync.Diff(config, &deckconfig.Config{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Assert(t, changes[0].Value, qt.HasLen, 0)
}
