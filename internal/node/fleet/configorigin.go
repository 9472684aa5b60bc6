package fleet

import (
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// Ways in which a configuration reaches a daemon.
const (
	configByRead  = "store read"
	configByWatch = "store watch"
	configByPush  = "push"  // a peer's message
	configByReply = "reply" // a peer's reply to a message of this daemon
)

// ConfigOrigin is the way in which a configuration came to this daemon.
type ConfigOrigin struct {
	Way  string
	Peer string // VM, if it came from a peer
}

// ConfigInForce is a configuration that came into force at this daemon. It must not be changed.
type ConfigInForce struct {
	Table  *routes.Table
	Since  time.Duration // by ViewOptions.BootClock
	Origin ConfigOrigin
}

// newerConfig is the newest version that a peer named and this daemon has not put in force.
type newerConfig struct {
	version uint64
	peer    string        // VM of the peer that first named it
	since   time.Duration // by ViewOptions.BootClock
}

// ConfigInForce returns the configuration in force, or nil if there is none yet.
func (v *View) ConfigInForce() *ConfigInForce { return v.inForce.Load() }

// RecordNewerConfig records that a peer has a newer configuration than this daemon. It logs the
// first peer that names a version.
func (v *View) RecordNewerConfig(version uint64, peer string) {
	v.confirmation.mu.Lock()
	defer v.confirmation.mu.Unlock()
	if version <= v.confirmation.newer.version || v.version() >= version {
		return
	}
	v.confirmation.newer = newerConfig{version: version, peer: peer, since: v.opts.BootClock()}
	v.opts.Log.Event("newer configuration known", slog.Uint64("version", version), slog.Uint64("in_force", v.version()), slog.String("peer", peer))
}

// version returns the version in force, or 0 if there is none.
func (v *View) version() uint64 {
	if t := v.Table(); t != nil {
		return t.Config.Version
	}
	return 0
}

// ConfigBasis describes the configuration that decided about a request, for its log line.
type ConfigBasis struct {
	Version uint64
	Held    time.Duration // how long the version has been in force here
	Age     time.Duration // since it was last known to be the newest one
	Origin  ConfigOrigin
	// Newer is the newest version that a peer has named, and NewerKnown is for how long, if that
	// version is not in force here.
	Newer      uint64
	NewerKnown time.Duration
}

// ConfigBasis returns the description of a configuration that is or was in force.
func (v *View) ConfigBasis(c *ConfigInForce) ConfigBasis {
	if c == nil {
		return ConfigBasis{}
	}
	now := v.opts.BootClock()
	v.confirmation.mu.Lock()
	defer v.confirmation.mu.Unlock()
	b := ConfigBasis{Version: c.Table.Config.Version, Held: now - c.Since, Age: now - v.confirmation.at, Origin: c.Origin}
	if newer := v.confirmation.newer; newer.version > b.Version {
		b.Newer, b.NewerKnown = newer.version, now-newer.since
	}
	return b
}

// Attrs returns the attributes of the log line of a request.
func (b *ConfigBasis) Attrs() []slog.Attr {
	return []slog.Attr{
		slog.Uint64("config", b.Version), slog.Duration("config_held", b.Held), slog.Duration("config_age", b.Age),
		slog.String("config_way", b.Origin.Way), slog.String("config_peer", b.Origin.Peer),
		slog.Uint64("newer_config", b.Newer), slog.Duration("newer_known", b.NewerKnown),
	}
}
