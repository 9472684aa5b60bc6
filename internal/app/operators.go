package app

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/node/operator"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/ownership"
	"github.com/celerydeck/celerydeck/internal/node/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// lateDrains breaks the cycle between the cluster, which asks what is drained, and
// the operators' part, which asks the cluster for its members.
type lateDrains struct {
	node atomic.Pointer[operator.Node]
}

func newLateDrains() *lateDrains { return &lateDrains{} }

// Drained reports whether operators drain an upstream.
func (l *lateDrains) Drained(id state.UpstreamID) bool {
	node := l.node.Load()
	return node != nil && node.Drained(id)
}

type drainer interface{ SetDraining(draining bool) }

// SetDraining takes a daemon out of service for operators, or back into it.
func (d *Daemon) SetDraining(draining bool) {
	d.paused.Store(draining)
	if !d.drained.Load() {
		d.parts.Cluster.SetDraining(draining)
	}
}

// AdminAddr returns the address of the operators' API, empty if it is not served.
func (d *Daemon) AdminAddr() string {
	if d.parts.Admin.listener == nil {
		return ""
	}
	return d.parts.Admin.listener.Addr().String()
}

func newRecorder(lc fx.Lifecycle, s Settings, n *config.Node, late *lateRecorder) *metrics.Recorder {
	classes := s.MetricsClasses
	if classes == 0 {
		classes = defaultMetricsClasses
	}
	r := metrics.New(metrics.Options{
		MaxClasses: classes,
		RankName: func(rank state.Rank) string {
			catalog := n.Catalog()
			if catalog == nil || int(rank) >= len(catalog.Ranks()) {
				return fmt.Sprint(rank)
			}
			return catalog.Ranks()[rank].Name
		},
		Clock: time.Now,
	})
	lc.Append(fx.StopHook(r.Close))
	late.recorder.Store(r)
	return r
}

type operatorParams struct {
	fx.In
	Settings    Settings
	Incarnation state.Incarnation
	Fleet       *state.Fleet
	Owner       *owner.Manager
	Config      *config.Node
	Cluster     *cluster.Cluster
	Ownership   *ownership.Node
	Pool        *peer.Pool
	Platform    *platform.Client
	Recorder    *metrics.Recorder
	Router      *routing.Scored
	Drains      *lateDrains
	Suspects    *suspects.Node
	Drainer     drainer
}

func newOperator(lc fx.Lifecycle, p operatorParams) *operator.Node {
	n := operator.New(operator.Options{
		Self:        state.DaemonID(p.Settings.ID),
		Incarnation: p.Incarnation,
		Zone:        state.Zone(p.Settings.Zone),
		Region:      state.Region(p.Settings.Region),
		Fleet:       p.Fleet,
		Owned:       p.Cluster.Owned,
		Catalog:     p.Config.Catalog,
		Members:     p.Cluster,
		Peers:       p.Pool,
		Objects:     p.Platform,
		Router:      p.Router,
		Stats:       p.Recorder,
		Gauges:      p.Recorder,
		Reporters:   []operator.Reporter{suspectReporter{p.Suspects}, configReporter{p.Config}, ejectionReporter{p.Fleet}, p.Owner, p.Ownership, p.Recorder},
		SetDraining: p.Drainer.SetDraining,
		Clock:       time.Now,
	})
	p.Drains.node.Store(n)
	lc.Append(fx.StartStopHook(n.Start, n.Close))
	return n
}

// configs names the error of an unknown revision as the operators' API does.
type configs struct{ *config.Node }

// At implements admin.Configs.
func (c configs) At(ctx context.Context, revision uint64) (*deckconfig.Config, error) {
	found, err := c.Node.At(ctx, revision)
	if errors.Is(err, config.ErrUnknownRevision) {
		return nil, protocol.Errorf(protocol.KindNotFound, "read configuration", protocol.OutcomeNotRun, "revision %d: %v", revision, err)
	}
	return found, err
}

// adminServer is the listener of the operators' API, nil if it is not served.
type adminServer struct{ listener net.Listener }

func newAdmin(lc fx.Lifecycle, s Settings, n *operator.Node, c *config.Node, r *metrics.Recorder) (adminServer, error) {
	if s.AdminAddr == "" {
		return adminServer{}, nil
	}
	l, err := net.Listen("tcp", s.AdminAddr)
	if err != nil {
		return adminServer{}, fmt.Errorf("listen for operators: %w", err)
	}
	api := admin.New(admin.Options{
		Configs:          configs{c},
		Fleet:            n,
		Catalog:          c.Catalog,
		BootstrapKeyHash: s.BootstrapKeyHash,
		Metrics:          r.Handler(),
		Clock:            time.Now,
	})
	server := &http.Server{Handler: api.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	serve := func() error { return server.Serve(l) }
	if s.AdminCertFile != "" {
		cert, err := tls.LoadX509KeyPair(s.AdminCertFile, s.AdminKeyFile)
		if err != nil {
			_ = l.Close()
			return adminServer{}, fmt.Errorf("certificate for operators: %w", err)
		}
		server.TLSConfig = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
		serve = func() error { return server.ServeTLS(l, "", "") }
	}
	lc.Append(fx.StartStopHook(
		func() { go func() { _ = serve() }() },
		func() { _ = server.Close() },
	))
	return adminServer{listener: l}, nil
}
