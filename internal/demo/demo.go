// Package demo runs a deployment on loopback in one process: stand-ins of the platform
// and of the upstreams, and daemons.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// Options configure the size and speed of a deployment.
type Options struct {
	Zones               []string
	DaemonsPerZone      int
	EnginesPerZone      int
	Config              *deckconfig.Config
	Engine              engine.Options
	VMListLag           time.Duration
	StoreLoadTime       time.Duration
	StoreFullSpeedLoads int
	StoreRate           float64 // loads per second of the whole fleet; 0 for no limit
	// CallerPorts are the ports for callers, by daemon; 0 or a missing element selects a
	// free port.
	CallerPorts []int
	// AdminCertFile and AdminKeyFile, when set, make the operators' API use HTTPS.
	AdminCertFile string
	AdminKeyFile  string
	// AdminPorts are the ports for operators, by daemon; 0 or a missing element selects a
	// free port.
	AdminPorts []int
	DrainGrace time.Duration
	// KeysDir, when set, is the directory for the keys of the daemons. The daemons are then
	// not started; Demo.Commands lists the commands that run them as separate processes.
	KeysDir string
}

// DefaultOptions returns a deployment of two availability zones with one daemon and two
// engines each.
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
	Objects     *objectapi.Server
	VMs         *vmlist.Server
	WeightStore *weightstore.Store
	Booking     *booking.Server
	Engines     []*engine.Engine
	// EngineAddrs are the addresses of Engines.
	EngineAddrs []string
	Daemons     []*app.Daemon
	// Commands are the command lines of the daemons if KeysDir is set.
	Commands []string

	opts        Options
	ca          *peer.CA
	platformURL string
	servers     []*http.Server
}

// Start starts a deployment. The caller must close it.
func Start(ctx context.Context, opts Options) (*Demo, error) {
	d := &Demo{
		Objects:     objectapi.New(),
		VMs:         vmlist.New(opts.VMListLag),
		WeightStore: weightstore.New(opts.StoreLoadTime, opts.StoreFullSpeedLoads),
		Booking:     booking.New(),
		opts:        opts,
	}
	if err := d.start(ctx); err != nil {
		d.Close(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.ca, err = peer.NewCA(time.Now(), keyValidity); err != nil {
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
	d.platformURL = "http://" + addr
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

// putConfig stores the first configuration in the form of an operator's submission.
func (d *Demo) putConfig() error {
	record, err := configsync.FirstRecord(d.opts.Config, "demo", time.Now())
	if err != nil {
		return err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	d.Objects.Put(config.RecordKey(record.Revision), value)
	return nil
}

// startUpstreams starts the engines and the booking service of an availability zone and
// lists them as VMs.
func (d *Demo) startUpstreams(zone string) error {
	for i := range d.opts.EnginesPerZone {
		opts := d.opts.Engine
		opts.ID = fmt.Sprintf("%s-engine-%d", zone, i+1)
		opts.WeightStore = d.WeightStore
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

// StartDaemon starts a further daemon in an availability zone.
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

// register issues the keys of a daemon, adds the daemon to the list of VMs and returns its
// settings and keys.
func (d *Demo) register(zone, id string, index int) (app.Settings, peer.Identity, error) {
	peerAddr, err := freeUDPAddr()
	if err != nil {
		return app.Settings{}, peer.Identity{}, err
	}
	port := portAt(d.opts.CallerPorts, index)
	adminPort := portAt(d.opts.AdminPorts, index)
	identity, err := d.ca.Issue(state.DaemonID(id))
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
		PlatformURL:      d.platformURL,
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

// portAt returns the port at an index, or 0, which selects a free port.
func portAt(ports []int, index int) int {
	if index < len(ports) {
		return ports[index]
	}
	return 0
}

// WaitReady waits until every daemon is ready for requests.
func (d *Demo) WaitReady(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for _, daemon := range d.Daemons {
		for !daemon.Ready() {
			select {
			case <-time.After(pollInterval):
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

// serve starts a loopback HTTP server and returns its address.
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

const (
	// firstPeerPort and peerPorts are the ports of daemons. They lie below the range from which systems draw ports for
	// other sockets: one of these could take a port until the daemon binds it.
	firstPeerPort = 20000
	peerPorts     = 12000
	maxPortTries  = 100
)

// freeUDPAddr returns a loopback address with a free UDP port. Another demo may take the port until the daemon binds it.
func freeUDPAddr() (string, error) {
	var err error
	for range maxPortTries {
		var conn net.PacketConn
		if conn, err = net.ListenPacket("udp", fmt.Sprintf("%s:%d", loopback, firstPeerPort+rand.IntN(peerPorts))); err == nil {
			defer conn.Close()
			return conn.LocalAddr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port for a daemon: %w", err)
}
