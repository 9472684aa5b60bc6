package app

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/hedge"
)

// Guards against hedging that is on without having been asked for, and against a mistyped limit
// that a daemon starts with.
func TestHedgeVariables(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		share, fill string
		want        hedge.Limits
		err         string
	}{
		{"", "", hedge.Limits{MaxFill: 0.7}, ""},
		{"0", "0.5", hedge.Limits{MaxFill: 0.5}, ""},
		{"0.02", "", hedge.Limits{Share: 0.02, MaxFill: 0.7}, ""},
		{"2%", "", hedge.Limits{}, `CELERYDECK_HEDGE_SHARE must be a number from 0 to 1, not "2%"`},
		{"NaN", "7", hedge.Limits{}, `(?s).*HEDGE_SHARE must .* "NaN".*HEDGE_MAX_FILL must .* "7"`},
		{"-0.1", "", hedge.Limits{}, `.*HEDGE_SHARE must .*`},
	} {
		values := map[string]string{envHedgeShare: test.share, envHedgeMaxFill: test.fill}
		got, err := ParseEdgeOptions(func(name string) string { return values[name] })
		if test.err != "" {
			c.Check(err, qt.ErrorMatches, test.err)
			continue
		}
		c.Check(err, qt.IsNil)
		c.Check(got.Hedge, qt.Equals, test.want)
	}
}
