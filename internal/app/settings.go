// Package app wires the parts of a daemon together and runs it.
package app

import (
	"errors"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// Settings are the settings of a daemon, from flags and environment variables.
type Settings struct {
	ID            string        `arg:"--id,env:CELERYDECK_ID" help:"name of this daemon, as in the list of VMs"`
	Zone          string        `arg:"--zone,env:CELERYDECK_ZONE" help:"availability zone of this daemon"`
	Region        string        `arg:"--region,env:CELERYDECK_REGION" help:"region of this daemon"`
	CallerAddr    string        `arg:"--caller-addr,env:CELERYDECK_CALLER_ADDR" default:"127.0.0.1:8080" help:"TCP address for callers"`
	PeerAddr      string        `arg:"--peer-addr,env:CELERYDECK_PEER_ADDR" default:"127.0.0.1:7443" help:"UDP address for other daemons"`
	PlatformURL   string        `arg:"--platform-url,env:CELERYDECK_PLATFORM_URL" help:"base URL of the platform"`
	CertFile      string        `arg:"--cert-file,env:CELERYDECK_CERT_FILE" help:"PEM file with the certificate of this daemon"`
	KeyFile       string        `arg:"--key-file,env:CELERYDECK_KEY_FILE" help:"PEM file with the private key of this daemon"`
	CAFile        string        `arg:"--ca-file,env:CELERYDECK_CA_FILE" help:"PEM file with the authority of all daemons"`
	DrainTimeout  time.Duration `arg:"--drain-timeout,env:CELERYDECK_DRAIN_TIMEOUT" default:"5m" help:"longest wait for requests in progress at shutdown"`
	DrainGrace    time.Duration `arg:"--drain-grace,env:CELERYDECK_DRAIN_GRACE" default:"2s" help:"time in which new requests are refused before the port for callers closes"`
	CheckSettings bool          `arg:"--check-settings" help:"check the settings and exit"`
}

// Description is the text at the top of the help.
func (Settings) Description() string {
	return "celerydeckd serves LoRA adapters of one base model to many callers."
}

// ParseSettings reads the settings from arguments and the environment.
func ParseSettings(args []string) (Settings, error) {
	var s Settings
	parser, err := arg.NewParser(arg.Config{Program: "celerydeckd"}, &s)
	if err != nil {
		return s, err
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
	}
	return s, err
}

// Check returns every error of the settings.
func (s Settings) Check() error {
	var errs []error
	required := []struct{ name, value string }{
		{"--id", s.ID},
		{"--zone", s.Zone},
		{"--region", s.Region},
		{"--platform-url", s.PlatformURL},
		{"--cert-file", s.CertFile},
		{"--key-file", s.KeyFile},
		{"--ca-file", s.CAFile},
	}
	for _, r := range required {
		if r.value == "" {
			errs = append(errs, errors.New(r.name+" is required"))
		}
	}
	for _, addr := range []struct{ name, value string }{{"--caller-addr", s.CallerAddr}, {"--peer-addr", s.PeerAddr}} {
		if _, _, err := net.SplitHostPort(addr.value); err != nil {
			errs = append(errs, errors.New(addr.name+" must be host:port"))
		}
	}
	if u, err := url.Parse(s.PlatformURL); err != nil || (s.PlatformURL != "" && u.Host == "") {
		errs = append(errs, errors.New("--platform-url must be a URL such as http://10.0.0.1:80"))
	}
	if s.DrainGrace < 0 {
		errs = append(errs, errors.New("--drain-grace must not be negative"))
	}
	if s.DrainTimeout <= s.DrainGrace {
		errs = append(errs, errors.New("--drain-timeout must be longer than --drain-grace"))
	}
	return errors.Join(errs...)
}

// Identity reads the keys.
func (s Settings) Identity() (peer.Identity, error) {
	var pem [3][]byte
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		data, err := os.ReadFile(name)
		if err != nil {
			return peer.Identity{}, err
		}
		pem[i] = data
	}
	return peer.LoadIdentity(pem[0], pem[1], pem[2])
}
