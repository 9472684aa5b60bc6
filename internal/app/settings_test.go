package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func requiredArgs() []string {
	return []string{
		"--id", "d1", "--zone=z1", "--region", "r1", "--platform-url", "http://127.0.0.1:1",
		"--cert-file", "c", "--key-file", "k", "--ca-file", "a",
	}
}

func TestSettingsStopAtTheFirstError(t *testing.T) {
	_, err := ParseSettings(
		[]string{"--drain-timeout", "soon", "--metrics-classes=many", "--caller-addr", "nowhere", "--platform-url", "host", "--admin-cert-file", "c"},
		[]string{"CELERYDECK_ZNE=z", "CELERYDECK_ZONE=z", "CELERYDECK_CLI_KEY=secret", "OTHER=1", "CELERYDECK_BOOTSTRAP_KEY_HASH=secret"})
	qt.Assert(t, err, qt.IsNotNil)
	for _, want := range []string{
		`--drain-timeout must be a duration such as 30s, is "soon"`,
		`--metrics-classes must be a whole number, is "many"`,
		"CELERYDECK_ZNE is no setting of the daemon",
		"--id is required",
		"--region is required",
		"--caller-addr must be host:port",
		"--platform-url must be a URL",
		"--admin-cert-file and --admin-key-file go together",
		"--bootstrap-key-hash must be SHA-256",
	} {
		qt.Check(t, err.Error(), qt.Contains, want)
	}
	for _, wrong := range []string{"--zone is required", "CELERYDECK_CLI_KEY", "secret", "--drain-timeout must be positive"} {
		qt.Check(t, strings.Contains(err.Error(), wrong), qt.IsFalse, qt.Commentf(wrong))
	}
}

func TestVariableBeatsFlag(t *testing.T) {
	s, err := ParseSettings(append(requiredArgs(), "--drain-timeout", "7s"), []string{"CELERYDECK_DRAIN_TIMEOUT=9s", "CELERYDECK_ADMIN_ADDR="})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.DrainTimeout, qt.Equals, 7*time.Second)
	qt.Assert(t, s.AdminAddr, qt.Equals, "")
	qt.Assert(t, s.CallerAddr, qt.Equals, "127.0.0.1:8080")
	_, err = ParseSettings(append(requiredArgs(), "--no-such-flag"), nil)
	qt.Assert(t, err, qt.ErrorMatches, ".*--no-such-flag.*")
}

func TestIdentityStopsAtTheFirstMissingFile(t *testing.T) {
	dir := t.TempDir()
	s := Settings{CertFile: filepath.Join(dir, "c"), KeyFile: filepath.Join(dir, "k"), CAFile: filepath.Join(dir, "a")}
	qt.Assert(t, os.WriteFile(s.CertFile, []byte("x"), 0o600), qt.IsNil)
	_, err := s.Identity()
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*/k: no such file.*/a: no such file.*")
}
