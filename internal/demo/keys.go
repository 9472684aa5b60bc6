package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/celerydeck/celerydeck/internal/app"
)

const (
	keysDirMode = 0o700
	keyFileMode = 0o600
)

// prepareDaemon writes the key files of a daemon that runs as a separate process and
// appends its command line to Commands.
func (d *Demo) prepareDaemon(zone, id string) error {
	settings, identity, err := d.register(zone, id, len(d.Commands))
	if err != nil {
		return err
	}
	cert, key, err := identity.PEM()
	if err != nil {
		return err
	}
	ca, _, err := d.ca.PEM()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(d.opts.KeysDir, keysDirMode); err != nil {
		return err
	}
	settings.CertFile = filepath.Join(d.opts.KeysDir, id+"-cert.pem")
	settings.KeyFile = filepath.Join(d.opts.KeysDir, id+"-key.pem")
	settings.CAFile = filepath.Join(d.opts.KeysDir, "ca.pem")
	files := []struct {
		name string
		data []byte
	}{{settings.CertFile, cert}, {settings.KeyFile, key}, {settings.CAFile, ca}}
	for _, f := range files {
		if err := os.WriteFile(f.name, f.data, keyFileMode); err != nil {
			return err
		}
	}
	d.Commands = append(d.Commands, commandLine(settings))
	return nil
}

// commandLine returns the command that runs a daemon with the given settings.
func commandLine(s app.Settings) string {
	flags := []struct{ name, value string }{
		{"id", s.ID},
		{"zone", s.Zone},
		{"region", s.Region},
		{"caller-addr", s.CallerAddr},
		{"peer-addr", s.PeerAddr},
		{"platform-url", s.PlatformURL},
		{"admin-addr", s.AdminAddr},
		{"bootstrap-key-hash", s.BootstrapKeyHash},
		{"cert-file", s.CertFile},
		{"key-file", s.KeyFile},
		{"ca-file", s.CAFile},
	}
	var b strings.Builder
	b.WriteString("celerydeckd")
	for _, f := range flags {
		fmt.Fprintf(&b, " --%s %s", f.name, f.value)
	}
	return b.String()
}
