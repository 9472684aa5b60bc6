package state_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/state"
)

func TestRemovedOperatorKeepsItsKey(t *testing.T) {
	lee := deckconfig.Operator{Name: "lee", Role: deckconfig.RoleOperator, KeyHashes: []string{deckconfig.HashKey("a"), deckconfig.HashKey("b")}}
	first := state.NewCatalog(1, "", &deckconfig.Config{Operators: []deckconfig.Operator{lee}})
	for _, key := range []string{"a", "b"} {
		found, ok := first.OperatorByKey(key)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, found.Name, qt.Equals, "lee")
	}
	_, ok := first.OperatorByKey(deckconfig.HashKey("a"))
	qt.Assert(t, ok, qt.IsFalse)
	second := first.With(2, "", []state.Edit{state.OperatorEdit{Name: "lee"}})
	_, ok = second.OperatorByKey("a")
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = first.OperatorByKey("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, first.Config().Operators, qt.DeepEquals, []deckconfig.Operator{lee})
	qt.Assert(t, second.Config().Operators, qt.HasLen, 0)
}

func TestAdapterOutlivesItsService(t *testing.T) {
	config := &deckconfig.Config{Format: deckconfig.Format, Services: []deckconfig.Service{{
		Name: "advice", Kind: deckconfig.ModelService,
		Adapters: []deckconfig.Adapter{{Name: "blitz", Default: "v1", Versions: []deckconfig.Version{{Name: "v1", Source: "w"}}}},
	}}}
	catalog := state.NewCatalog(1, "", config)
	// One operator deletes the service while another adds an adapter to it.
	orphaned := catalog.With(2, "", []state.Edit{state.ServiceEdit{Name: "advice"}})
	qt.Assert(t, orphaned.Config().Validate(), qt.ErrorMatches, `(?s).*service advice: kind: is "".*`)
	gone := orphaned.With(3, "", []state.Edit{state.AdapterEdit{Ref: state.AdapterRef{Service: "advice", Adapter: "blitz"}}})
	qt.Assert(t, gone.Config().Services, qt.HasLen, 0)
}
