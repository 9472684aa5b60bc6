package cli_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/cli"
	"github.com/celerydeck/celerydeck/internal/configcheck"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
)

// Guards against an exit status that lets a script submit a configuration that is faulty or was not
// checked.
func TestCheckExitStatus(t *testing.T) {
	c := qt.New(t)
	const platformFile, ownFile = "../configcheck/testdata/platform.json", "../configcheck/testdata/own.json"
	sound, err := os.ReadFile(platformFile)
	c.Assert(err, qt.IsNil)
	faulty := filepath.Join(t.TempDir(), "faulty.json")
	c.Assert(os.WriteFile(faulty, []byte(strings.Replace(string(sound), `"idempotent"`, `"x"`, 1)), 0o600), qt.IsNil)
	data, err := os.ReadFile(ownFile)
	c.Assert(err, qt.IsNil)
	config, err := deckconfig.Parse(data)
	c.Assert(err, qt.IsNil)
	daemon := stubServer(t, http.StatusOK, admin.ConfigBody{Revision: 3, Config: config})
	for _, test := range []struct {
		want int
		args []string
	}{
		{cli.ExitOK, []string{"check", platformFile}},
		{cli.ExitOK, []string{"check", ownFile, "--against", ownFile}},
		{cli.ExitOK, []string{"--addr", daemon, "check", ownFile, "--in-force"}},
		{cli.ExitFailed, []string{"check", faulty}},
		{cli.ExitFailed, []string{"check", "--memory-mb", "8", platformFile}},
		{cli.ExitFailed, []string{"check", "-"}},
		{cli.ExitUsage, []string{"check", faulty + ".none"}},
		{cli.ExitUsage, []string{"check", "--against", faulty, platformFile}},
		{cli.ExitUsage, []string{"check", "--against", ownFile, platformFile}},
		{cli.ExitUsage, []string{"check", "--in-force", platformFile}},
		{cli.ExitUsage, []string{"--addr", "127.0.0.1:1", "check", "--in-force", ownFile}},
		{cli.ExitUsage, []string{"check", "--daemons", "0", platformFile}},
	} {
		got := run(t, cli.Shell{}, test.args...)
		c.Check(got.code, qt.Equals, test.want, qt.Commentf("%v: %s%s", test.args, got.out, got.err))
	}

	got := run(t, cli.Shell{}, "check", "--against", platformFile, faulty)
	c.Check(got.code, qt.Equals, cli.ExitFailed)
	c.Check(got.out, qt.Contains, "not compared")
	c.Check(got.out, qt.Contains, `error: line 5: routes[1].kind: "x" must be`)
}

// Guards against JSON that programs can't read.
func TestCheckPrintsJSON(t *testing.T) {
	c := qt.New(t)
	got := run(t, cli.Shell{}, "check", "--json", "--memory-mb", "8", "--against", "../configcheck/testdata/platform.json", "../configcheck/testdata/platform.json")
	var r configcheck.Report
	c.Assert(json.Unmarshal([]byte(got.out), &r), qt.IsNil)
	c.Check(r.Compared, qt.IsTrue)
	c.Check(r.Findings, qt.HasLen, 1)
	c.Check(r.Findings[0].Kind, qt.Equals, configcheck.BodyOverMemory)
}
