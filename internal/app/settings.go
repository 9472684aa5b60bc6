// Package app constructs a daemon from its parts and runs it.
package app

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	defaultMetricsClasses = 200
	maxMetricsClasses     = 5000
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Settings are the settings of a daemon, from flags and environment variables.
type Settings struct {
	ID               string        `arg:"--id,env:CELERYDECK_ID" help:"name of this daemon, as in the list of VMs"`
	Zone             string        `arg:"--zone,env:CELERYDECK_ZONE" help:"availability zone of this daemon"`
	Region           string        `arg:"--region,env:CELERYDECK_REGION" help:"region of this daemon"`
	CallerAddr       string        `arg:"--caller-addr,env:CELERYDECK_CALLER_ADDR" default:"127.0.0.1:8080" help:"TCP address for callers"`
	PeerAddr         string        `arg:"--peer-addr,env:CELERYDECK_PEER_ADDR" default:"127.0.0.1:7443" help:"UDP address for other daemons"`
	PlatformURL      string        `arg:"--platform-url,env:CELERYDECK_PLATFORM_URL" help:"base URL of the platform"`
	CertFile         string        `arg:"--cert-file,env:CELERYDECK_CERT_FILE" help:"PEM file with the certificate of this daemon"`
	KeyFile          string        `arg:"--key-file,env:CELERYDECK_KEY_FILE" help:"PEM file with the private key of this daemon"`
	CAFile           string        `arg:"--ca-file,env:CELERYDECK_CA_FILE" help:"PEM file with the authority of all daemons"`
	DrainTimeout     time.Duration `arg:"--drain-timeout,env:CELERYDECK_DRAIN_TIMEOUT" default:"5m" help:"longest wait for requests in progress at shutdown"`
	DrainGrace       time.Duration `arg:"--drain-grace,env:CELERYDECK_DRAIN_GRACE" default:"2s" help:"time in which new requests are refused before the port for callers closes"`
	AdminAddr        string        `arg:"--admin-addr,env:CELERYDECK_ADMIN_ADDR" default:"127.0.0.1:9090" help:"TCP address for operators; empty serves none"`
	AdminCertFile    string        `arg:"--admin-cert-file,env:CELERYDECK_ADMIN_CERT_FILE" help:"PEM file with the certificate for operators; without it their API speaks plain HTTP"`
	AdminKeyFile     string        `arg:"--admin-key-file,env:CELERYDECK_ADMIN_KEY_FILE" help:"PEM file with the private key of that certificate"`
	BootstrapKeyHash string        `arg:"--bootstrap-key-hash,env:CELERYDECK_BOOTSTRAP_KEY_HASH" help:"SHA-256 hash of an operator key that holds before the configuration names operators"`
	MetricsClasses   int           `arg:"--metrics-classes,env:CELERYDECK_METRICS_CLASSES" default:"200" help:"customers' classes with metrics of their own; the others share one"`
	StoreRate        float64       `arg:"--store-rate,env:CELERYDECK_STORE_RATE" help:"loads a second that the weight store allows the whole fleet; 0 for no limit"`
	StoreInFlight    int           `arg:"--store-in-flight,env:CELERYDECK_STORE_IN_FLIGHT" help:"loads in flight that the weight store allows the whole fleet"`
	StoreEngines     int           `arg:"--store-engines,env:CELERYDECK_STORE_ENGINES" help:"largest number of engines among which the limits of the weight store are divided"`
	CheckSettings    bool          `arg:"--check-settings" help:"check the settings and exit"`
}

// Description returns the first lines of the help text.
func (Settings) Description() string {
	return "celerydeckd serves LoRA adapters of one base model to many callers."
}

// Check returns an error that lists every invalid setting, or nil.
func (s Settings) Check() error {
	var errs []error
	add := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	for _, r := range []struct{ name, value string }{
		{"--id", s.ID},
		{"--zone", s.Zone},
		{"--region", s.Region},
		{"--platform-url", s.PlatformURL},
		{"--cert-file", s.CertFile},
		{"--key-file", s.KeyFile},
		{"--ca-file", s.CAFile},
	} {
		if r.value == "" {
			add("%s is required", r.name)
		}
	}
	for _, a := range []struct{ name, value string }{
		{"--caller-addr", s.CallerAddr},
		{"--peer-addr", s.PeerAddr},
		{"--admin-addr", s.AdminAddr},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil && (a.value != "" || a.name != "--admin-addr") {
			add("%s must be host:port", a.name)
		}
	}
	if u, err := url.Parse(s.PlatformURL); err != nil || (s.PlatformURL != "" && u.Host == "") {
		add("--platform-url must be a URL such as http://10.0.0.1:80")
	}
	if s.DrainGrace < 0 {
		add("--drain-grace must not be negative")
	}
	if s.DrainTimeout <= s.DrainGrace {
		add("--drain-timeout must be longer than --drain-grace")
	}
	if (s.AdminCertFile == "") != (s.AdminKeyFile == "") {
		add("--admin-cert-file and --admin-key-file go together")
	}
	if s.BootstrapKeyHash != "" && !hashPattern.MatchString(s.BootstrapKeyHash) {
		add("--bootstrap-key-hash must be SHA-256 in 64 lower-case hex digits")
	}
	if s.MetricsClasses < 1 || s.MetricsClasses > maxMetricsClasses {
		add("--metrics-classes must be 1 to %d", maxMetricsClasses)
	}
	if s.StoreRate < 0 || s.StoreRate > 0 && (s.StoreInFlight <= 0 || s.StoreEngines <= 0) {
		add("--store-rate needs --store-in-flight and --store-engines, all positive")
	}
	return errors.Join(errs...)
}

// Identity loads the daemon's identity from the certificate, key and CA files.
func (s Settings) Identity() (peer.Identity, error) {
	var pem [3][]byte
	var errs []error
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		var err error
		pem[i], err = os.ReadFile(name)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return peer.Identity{}, err
	}
	return peer.LoadIdentity(pem[0], pem[1], pem[2])
}
