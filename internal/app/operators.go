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

// drainsRef refers to the operator node, which is stored in it after construction. It
// breaks a cycle of constructors: the cluster reads the operators' drains, and the
// operator node reads the cluster's members.
type drainsRef struct {
	node atomic.Pointer[operator.Node]
}

func newDrainsRef() *drainsRef { return &drainsRef{} }

// Drained reports whether operators have drained an upstream.
func (ref *drainsRef) Drained(id state.UpstreamID) bool {
	node := ref.node.Load()
	return node != nil && node.Drained(id)
}

type drainer interface{ SetDraining(draining bool) }

// SetDraining starts or ends a drain of this daemon by operators.
func (d *Daemon) SetDraining(draining bool) {
	d.drainedByOperator.Store(draining)
	if !d.shuttingDown.Load() {
		d.parts.Cluster.SetDraining(draining)
	}
}

// AdminAddr returns the address of the operators' API, or "" if the API is not served.
func (d *Daemon) AdminAddr() string {
	if d.parts.Admin.listener == nil {
		return ""
	}
	return d.parts.Admin.listener.Addr().String()
}

func newRecorder(lc fx.Lifecycle, s Settings, n *config.Node, ref *recorderRef) *metrics.Recorder {
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
	ref.recorder.Store(r)
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
	Drains      *drainsRef
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

// adminConfigs adapts config.Node to the operators' API: an unknown revision is reported
// as an error of kind KindNotFound.
type adminConfigs struct{ *config.Node }

// At implements admin.Configs.
func (c adminConfigs) At(ctx context.Context, revision uint64) (*deckconfig.Config, error) {
	found, err := c.Node.At(ctx, revision)
	if errors.Is(err, config.ErrUnknownRevision) {
		return nil, protocol.Errorf(protocol.KindNotFound, "read configuration", protocol.OutcomeNotRun, "revision %d: %v", revision, err)
	}
	return found, err
}

// adminServer holds the listener of the operators' API, nil if the API is not served.
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
		Configs:          adminConfigs{c},
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
			return adminServer{}, fmt.Errorf("load certificate for operators: %w", err)
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
