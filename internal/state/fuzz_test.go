package state_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state"
)

// FuzzAdapterRef checks that a model name that parses is formatted unchanged.
func FuzzAdapterRef(f *testing.F) {
	for _, name := range []string{"a/b", "a/b@v1", "a/b@", "/b", "a/", "a/b/c", "a/b@v@w", "", "a/@v", "ä/b@ü"} {
		f.Add(name)
	}
	f.Fuzz(func(t *testing.T, name string) {
		ref, err := state.ParseAdapterRef(name)
		if err != nil {
			qt.Assert(t, err, qt.Equals, state.ErrBadModelName)
			return
		}
		qt.Assert(t, ref.String(), qt.Equals, name)
		qt.Assert(t, ref.Service == "" || ref.Adapter == "", qt.IsFalse)
	})
}
