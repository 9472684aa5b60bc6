//go:build soak

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxSeeds is the number of seeds within which the soak must detect a faulty build.
const maxSeeds = 10

// Each case builds the daemon with one fault in its source. Run with: make soak-broken
func TestBrokenBuildsAreCaught(t *testing.T) {
	for _, tc := range []struct {
		name, file, from, to, guarantee string
	}{
		{
			"repeats a non-idempotent request", "../node/gateway/call.go",
			"c.route.Repeatable() && c.runs < c.route.Attempts", "c.runs < c.route.Attempts",
			"a non-idempotent request runs at most once",
		},
		{
			"keeps a stale configuration", "../node/fleet/view.go",
			"t != nil && t.Config.Version >= c.Version", "t != nil",
			"a new configuration takes effect in time",
		},
		{
			"refuses no prompt part", "../coordination/quarantine/quarantine.go",
			"partCrashLimit = 3\n", "partCrashLimit = 300\n",
			"requests with a prompt part that crashes engines are refused",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			binary := build(c, overlay(c, tc.file, tc.from, tc.to))
			size := DefaultSize()
			size.CrashRate = crashRate
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				v, err := Run(context.Background(), Options{Binary: binary, Dir: c.TempDir(), Seed: seed, Size: size, Out: io.Discard})
				c.Assert(err, qt.IsNil)
				for _, b := range v.Violations {
					if b.Guarantee == tc.guarantee {
						t.Logf("detected by seed %d: %s", seed, b)
						return
					}
				}
			}
			t.Errorf("not detected within %d seeds", maxSeeds)
		})
	}
}

// overlay writes a file for go build -overlay that replaces one text in a source file. It
// returns the path of the written file.
func overlay(c *qt.C, file, from, to string) string {
	path, err := filepath.Abs(file)
	c.Assert(err, qt.IsNil)
	source, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(source), from), qt.Equals, 1, qt.Commentf("occurrences of the text to replace in %s", file))
	dir := c.TempDir()
	changed := filepath.Join(dir, "changed.go")
	c.Assert(os.WriteFile(changed, []byte(strings.Replace(string(source), from, to, 1)), 0o600), qt.IsNil)
	list, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	c.Assert(err, qt.IsNil)
	name := filepath.Join(dir, fmt.Sprintf("overlay-%s.json", filepath.Base(file)))
	c.Assert(os.WriteFile(name, list, 0o600), qt.IsNil)
	return name
}
