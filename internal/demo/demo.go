// Package demo runs stand-ins of the platform and of the upstreams together with
// two daemons in one process on loopback.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/app"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/standin/booking"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
	"github.com/celerydeck/celerydeck/internal/standin/vmlist"
	"github.com/celerydeck/celerydeck/internal/standin/weightstore"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	loopback     = "127.0.0.1"
	region       = "cascadia"
	baseModel    = "base-7b"
	keyValidity  = 24 * time.Hour
	drainTimeout = 30 * time.Second
)

// Options sets the size and speed of the demo.
type Options struct {
	Zones               []string
	DaemonsPerZone      int
	EnginesPerZone      int
	Config              *deckconfig.Config
	Engine              engine.Options
	ListLag             time.Duration
	StoreLoadTime       time.Duration
	StoreFullSpeedLoads int
	StoreRate           float64 // loads a second of the whole fleet; 0 for no limit
	// CallerPorts are the ports of the daemons; 0 takes a free one.
	CallerPorts []int
	// AdminCertFile and AdminKeyFile make the operators' API speak HTTPS.
	AdminCertFile string
	AdminKeyFile  string
	// AdminPorts are the ports for operators; 0 takes a free one.
	AdminPorts []int
	DrainGrace time.Duration
	// KeysDir, when set, gets the keys of the daemons, which are then not started
	// but run by hand as processes of their own: see Demo.Commands.
	KeysDir string
}

// DefaultOptions returns two availability zones with a daemon and two engines each.
func DefaultOptions() Options {
	return Options{
		Zones:               []string{"cascadia-a", "cascadia-b"},
		DaemonsPerZone:      1,
		EnginesPerZone:      2,
		Config:              DefaultConfig(),
		Engine:              engine.Options{Slots: 4, Batch: 8, TokenTime: 20 * time.Millisecond},
		StoreLoadTime:       250 * time.Millisecond,
		StoreFullSpeedLoads: 8,
		StoreRate:           4,
		CallerPorts:         []int{8080, 8081},
		DrainGrace:          time.Second,
	}
}

// Demo is a running deployment.
type Demo struct {
	Objects *objectapi.Server
	VMs     *vmlist.Server
	Store   *weightstore.Store
	Booking *booking.Server
	Engines []*engine.Engine
	// EngineAddrs are the addresses of Engines.
	EngineAddrs []string
	Daemons     []*app.Daemon
	// Commands are the command lines of the daemons that run on their own.
	Commands []string

	opts      Options
	authority *peer.CA
	platform  string
	servers   []*http.Server
}

// Start starts a deployment. The caller must Close it.
func Start(ctx context.Context, opts Options) (*Demo, error) {
	d := &Demo{
		Objects: objectapi.New(),
		VMs:     vmlist.New(opts.ListLag),
		Store:   weightstore.New(opts.StoreLoadTime, opts.StoreFullSpeedLoads),
		Booking: booking.New(),
		opts:    opts,
	}
	if err := d.start(ctx); err != nil {
		d.Close(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.authority, err = peer.NewCA(time.Now(), keyValidity); err != nil {
		return err
	}
	if err := d.putConfig(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/vms", d.VMs)
	mux.Handle("/", d.Objects.Handler())
	addr, err := d.serve(mux)
	if err != nil {
		return err
	}
	d.platform = "http://" + addr
	for _, zone := range d.opts.Zones {
		if err := d.startUpstreams(zone); err != nil {
			return err
		}
	}
	for _, zone := range d.opts.Zones {
		for i := range d.opts.DaemonsPerZone {
			id := fmt.Sprintf("%s-entry-%d", zone, i+1)
			if d.opts.KeysDir != "" {
				if err := d.prepareDaemon(zone, id); err != nil {
					return err
				}
				continue
			}
			if _, err := d.StartDaemon(ctx, zone, id); err != nil {
				return err
			}
		}
	}
	return nil
}

// putConfig stores the first configuration as an operator's submission would.
func (d *Demo) putConfig() error {
	rec, err := configsync.FirstRecord(d.opts.Config, "demo", time.Now())
	if err != nil {
		return err
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	d.Objects.Put(config.RecordKey(rec.Revision), value)
	return nil
}

func (d *Demo) startUpstreams(zone string) error {
	for i := range d.opts.EnginesPerZone {
		opts := d.opts.Engine
		opts.ID = fmt.Sprintf("%s-engine-%d", zone, i+1)
		opts.WeightStore = d.Store
		e := engine.New(opts)
		addr, err := d.serve(e.Handler())
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
		d.EngineAddrs = append(d.EngineAddrs, addr)
		d.VMs.Put(vmlist.VM{
			ID: opts.ID, Zone: zone, Region: region, Address: addr, Kind: "engine",
			Base: baseModel, Fenced: opts.Fenced, State: "live",
		})
	}
	addr, err := d.serve(d.Booking.Handler())
	if err != nil {
		return err
	}
	d.VMs.Put(vmlist.VM{
		ID: zone + "-booking-1", Zone: zone, Region: region, Address: addr,
		Kind: "plain", Service: "booking", State: "live",
	})
	return nil
}

// StartDaemon starts one more daemon.
func (d *Demo) StartDaemon(ctx context.Context, zone, id string) (*app.Daemon, error) {
	settings, identity, err := d.register(zone, id, len(d.Daemons))
	if err != nil {
		return nil, err
	}
	daemon, err := app.Start(ctx, settings, identity)
	if err != nil {
		return nil, err
	}
	d.Daemons = append(d.Daemons, daemon)
	return daemon, nil
}

// register adds a daemon to the list of VMs and returns its settings and keys.
func (d *Demo) register(zone, id string, number int) (app.Settings, peer.Identity, error) {
	peerAddr, err := freeUDP()
	if err != nil {
		return app.Settings{}, peer.Identity{}, err
	}
	port := portOf(d.opts.CallerPorts, number)
	adminPort := portOf(d.opts.AdminPorts, number)
	identity, err := d.authority.Issue(state.DaemonID(id))
	if err != nil {
		return app.Settings{}, identity, err
	}
	d.VMs.Put(vmlist.VM{ID: id, Zone: zone, Region: region, Address: peerAddr, Kind: "entry", State: "live"})
	settings := app.Settings{
		ID:               id,
		Zone:             zone,
		Region:           region,
		CallerAddr:       fmt.Sprintf("%s:%d", loopback, port),
		PeerAddr:         peerAddr,
		PlatformURL:      d.platform,
		DrainTimeout:     drainTimeout,
		DrainGrace:       d.opts.DrainGrace,
		AdminAddr:        fmt.Sprintf("%s:%d", loopback, adminPort),
		AdminCertFile:    d.opts.AdminCertFile,
		AdminKeyFile:     d.opts.AdminKeyFile,
		BootstrapKeyHash: state.HashKey(OperatorKey),
	}
	if d.opts.StoreRate > 0 {
		settings.StoreRate = d.opts.StoreRate
		settings.StoreInFlight = d.opts.StoreFullSpeedLoads
		settings.StoreEngines = len(d.opts.Zones) * d.opts.EnginesPerZone
	}
	return settings, identity, nil
}

// portOf returns the port of the nth daemon; 0 takes a free one.
func portOf(ports []int, n int) int {
	if n < len(ports) {
		return ports[n]
	}
	return 0
}

// WaitReady waits until every daemon takes requests.
func (d *Demo) WaitReady(ctx context.Context) error {
	const gap = 10 * time.Millisecond
	for _, daemon := range d.Daemons {
		for !daemon.Ready() {
			select {
			case <-time.After(gap):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// Close stops the daemons and then the stand-ins.
func (d *Demo) Close(ctx context.Context) {
	for _, daemon := range d.Daemons {
		_ = daemon.Shutdown(ctx)
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func (d *Demo) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return l.Addr().String(), nil
}

// freeUDP returns a free address; the daemon binds it a moment later.
func freeUDP() (string, error) {
	conn, err := net.ListenPacket("udp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}
