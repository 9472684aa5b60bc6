package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/modelengine"
	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
	"github.com/celerydeck/celerydeck/internal/standin/operator"
	"github.com/celerydeck/celerydeck/internal/standin/webservice"
	"github.com/celerydeck/celerydeck/platform"
)

const (
	model             = "base"
	engineService     = "chat"
	adapterCount      = 9
	adapterSlots      = 4
	serviceCount      = 3 // number of plain services
	engineSlots       = 8
	adapterLoadTime   = 50 * time.Millisecond
	streamEvents      = 12
	eventInterval     = 20 * time.Millisecond
	serviceTime       = 5 * time.Millisecond
	portsPerDaemon    = 3 // consecutive ports of one daemon
	readyTimeout      = 20 * time.Second
	readyPollInterval = 25 * time.Millisecond
	killTimeout       = 3 * time.Second
)

func serviceName(i int) string { return fmt.Sprintf("web-%d", i%serviceCount) }

func adapterName(i int) string { return fmt.Sprintf("a%d", i) }

func daemonName(i int) string { return fmt.Sprintf("vm-%d", i) }

// upstream is the stand-in of an engine or a plain upstream, reached through its link.
type upstream struct {
	name    string // identity of its first boot, stable over restarts
	id      string // identity of its current boot
	service string
	link    *Link
	engine  *modelengine.Engine // nil for the other kind of upstream
	web     *webservice.Server  // nil for the other kind of upstream
}

// daemon is a VM with its current daemon process.
type daemon struct {
	index        int
	callerLink   *Link // from callers to the daemon
	storeLink    *Link
	peerLink     *PacketLink
	readyAddr    string // serves readiness checks
	peerAddr     string // receives gossip behind peerLink
	settingsPath string

	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{} // closed when the process has exited
	incarnation int           // index in History.Incarnations

	replacing sync.Mutex // held while the process is stopped and started
}

// Fleet holds the daemon processes of a run and the stand-ins and links that they use.
type Fleet struct {
	size   Size
	binary string
	dir    string

	store     *objectstore.Store
	servers   []*httptest.Server
	upstreams []*upstream // engines first
	daemons   []*daemon

	mu       sync.Mutex
	history  History
	version  int            // of the newest configuration
	rotation []int          // indexes of the daemons that new connections go to
	latest   map[string]int // number of the latest event, by target
	restarts int            // of all engines, for unique identities
	failure  error          // of a stand-in
}

// NewFleet starts the stand-ins and the daemons. The daemons log to files in dir.
func NewFleet(binary, dir string, size Size) (*Fleet, error) {
	f := &Fleet{size: size, binary: binary, dir: dir, store: objectstore.New(), latest: make(map[string]int)}
	f.history.StreamEvents = streamEvents
	f.history.Orders = make(map[string][]modelengine.Order)
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startAll starts the stand-ins, writes the first configuration, starts the daemons and
// waits until they are ready.
func (f *Fleet) startAll() error {
	for i := range f.size.Engines {
		id := fmt.Sprintf("i-%d", i)
		e := modelengine.New(id, model, adapterSlots, adapterLoadTime, streamEvents, eventInterval)
		u := &upstream{name: id, id: id, service: engineService, engine: e}
		if err := f.addUpstream(u, e); err != nil {
			return err
		}
		e.CrashOn(crashingPart, func() { go f.crashEngine(u) })
	}
	for i := range serviceCount * f.size.Services {
		id := fmt.Sprintf("w-%d", i)
		s := webservice.New(id, serviceName(i), serviceTime)
		s.SetStreams(webservice.Streams{Prefix: "/" + string(ClassAsk) + "/", Events: streamEvents, Interval: eventInterval})
		if err := f.addUpstream(&upstream{name: id, id: id, service: serviceName(i), web: s}, s); err != nil {
			return err
		}
	}
	f.PutNextConfig()
	for i := range f.size.Daemons {
		if err := f.addDaemon(i); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if !f.waitReady(d, readyTimeout) {
			return fmt.Errorf("soak: daemon %d is not ready after %s", d.index, readyTimeout)
		}
	}
	return nil
}

// serve starts a loopback HTTP server and returns its address.
func (f *Fleet) serve(h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	f.servers = append(f.servers, s)
	return s.Listener.Addr().String()
}

// addUpstream starts a stand-in behind a link and lists it as ready.
func (f *Fleet) addUpstream(u *upstream, h http.Handler) error {
	link, err := NewLink(f.serve(h))
	if err != nil {
		return err
	}
	u.link = link
	f.upstreams = append(f.upstreams, u)
	f.register(u, "ready")
	return nil
}

// register lists an upstream with the given state in the object store.
func (f *Fleet) register(u *upstream, state string) {
	residentModel := ""
	if u.engine != nil {
		residentModel = model
	}
	operator.PutUpstream(f.store, u.id, u.service, u.link.Addr, state, residentModel, engineSlots)
}

// PutNextConfig writes the next configuration to the object store. The routes read and
// charge move to another service with each version.
func (f *Fleet) PutNextConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	movingService := serviceName(f.version)
	var plainServices []string
	for i := range serviceCount {
		plainServices = append(plainServices, serviceName(i))
	}
	c := ConfigWrite{Version: f.version, Service: movingService, Sent: time.Now()}
	operator.PutConfig(f.store, f.version, hostName, []operator.Route{
		{Name: string(ClassChat), Kind: "stream", Service: engineService, Timeout: chatDeadline, Attempts: maxAttempts},
		{Name: string(ClassAsk), Kind: "stream", Service: engineService, Second: serviceName(0), Timeout: chatDeadline, Attempts: maxAttempts},
		{Name: string(ClassRead), Kind: "idempotent", Service: movingService, Timeout: callDeadline, Attempts: maxAttempts},
		{Name: string(ClassCharge), Kind: "non_idempotent", Service: movingService, Timeout: callDeadline, Attempts: maxAttempts},
		{Name: string(ClassFixed), Kind: "idempotent", Service: serviceName(0), Timeout: callDeadline, Attempts: maxAttempts},
	}, plainServices, operator.Engines{Service: engineService, Model: model, Slots: engineSlots, AdapterSlots: adapterSlots})
	c.Acked = time.Now()
	f.history.Configs = append(f.history.Configs, c)
}

// PutNextVersion writes the next version of an adapter to the object store.
func (f *Fleet) PutNextVersion(adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := 2
	for _, v := range f.history.Versions {
		if v.Adapter == adapter {
			version = v.Version + 1
		}
	}
	for _, u := range f.upstreams {
		if u.engine != nil {
			u.engine.SetNewestVersion(adapter, version)
		}
	}
	operator.PutVersion(f.store, model, adapter, version)
	f.history.Versions = append(f.history.Versions, VersionWrite{adapter, version, time.Now()})
}

// addDaemon opens the links of a daemon and writes its settings file. It does not start
// the process.
func (f *Fleet) addDaemon(i int) error {
	firstPeerPort, err := freePorts(portsPerDaemon)
	if err != nil {
		return err
	}
	addrs := make([]string, 2)
	for k := range addrs {
		port, err := freePorts(1)
		if err != nil {
			return err
		}
		addrs[k] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	d := &daemon{index: i, readyAddr: addrs[1], peerAddr: fmt.Sprintf("127.0.0.1:%d", firstPeerPort)}
	if d.callerLink, err = NewLink(addrs[0]); err != nil {
		return err
	}
	if d.peerLink, err = NewPacketLink(d.peerAddr); err != nil {
		return err
	}
	if d.storeLink, err = NewLink(f.serve(f.storeFor(d))); err != nil {
		return err
	}
	d.settingsPath = filepath.Join(f.dir, daemonName(i)+".settings")
	text := fmt.Sprintf("node_name=%s\nip=127.0.0.1\nzone=z%d\nlisten.front=%s\nlisten.ready=%s\nport_range=%d,%d\nprovider.address=%s\n",
		daemonName(i), i%2, addrs[0], d.readyAddr, firstPeerPort, firstPeerPort+portsPerDaemon, d.storeLink.Addr)
	f.daemons = append(f.daemons, d)
	if err := os.WriteFile(d.settingsPath, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soak: write settings of daemon %d: %w", i, err)
	}
	return nil
}

// storeFor returns the handler of the object store for one daemon. It replaces the gossip
// address that the daemon publishes by the address of the daemon's peer link, so that
// gossip to the daemon passes through the link.
func (f *Fleet) storeFor(d *daemon) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			body = bytes.ReplaceAll(body, []byte(`"`+d.peerAddr+`"`), []byte(`"`+d.peerLink.Addr+`"`))
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		}
		f.store.ServeHTTP(w, r)
	})
}

// start starts a daemon's process.
func (f *Fleet) start(d *daemon) error {
	name := filepath.Join(f.dir, daemonName(d.index)+".log")
	out, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soak: open log of daemon %d: %w", d.index, err)
	}
	cmd := exec.Command(f.binary)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+d.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("soak: start daemon %d: %w", d.index, err)
	}
	done := make(chan struct{})
	f.mu.Lock()
	incarnation := len(f.history.Incarnations)
	f.history.Incarnations = append(f.history.Incarnations, Incarnation{Daemon: d.index, From: time.Now()})
	f.mu.Unlock()
	d.mu.Lock()
	d.cmd, d.done, d.incarnation = cmd, done, incarnation
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit code is read from ProcessState
		_ = out.Close()
		f.mu.Lock()
		f.history.Incarnations[incarnation].Ended = time.Now()
		f.history.Incarnations[incarnation].Code = cmd.ProcessState.ExitCode()
		f.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the daemon's current process. It returns no error if the
// process has exited already.
func (d *daemon) signal(sig syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// end sends a signal to a daemon's process, waits for its exit and kills it after the
// timeout.
func (f *Fleet) end(d *daemon, sig syscall.Signal, timeout time.Duration) error {
	d.mu.Lock()
	done, incarnation := d.done, d.incarnation
	d.mu.Unlock()
	f.mu.Lock()
	if sig == syscall.SIGKILL {
		f.history.Incarnations[incarnation].Killed = true
	} else {
		f.history.Incarnations[incarnation].Stopped = time.Now()
	}
	f.mu.Unlock()
	if err := d.signal(sig); err != nil {
		return fmt.Errorf("soak: signal daemon %d: %w", d.index, err)
	}
	select {
	case <-done:
		return nil
	case <-time.After(timeout):
	}
	if err := d.signal(syscall.SIGKILL); err != nil {
		return fmt.Errorf("soak: kill daemon %d: %w", d.index, err)
	}
	<-done
	return nil
}

// isReady reports whether a daemon passes the readiness check of the platform's load
// balancer.
func (d *daemon) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + d.readyAddr + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady reports whether a daemon gets ready within the timeout.
func (f *Fleet) waitReady(d *daemon, timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if d.isReady(client) {
			return true
		}
	}
	return false
}

// Close kills all daemon processes and closes the links and stand-ins.
func (f *Fleet) Close() {
	for _, d := range f.daemons {
		if d.cmd != nil {
			_ = d.signal(syscall.SIGCONT) // a paused process must continue to exit
			_ = f.end(d, syscall.SIGKILL, killTimeout)
		}
		for _, l := range []*Link{d.callerLink, d.storeLink} {
			if l != nil {
				l.Close()
			}
		}
		if d.peerLink != nil {
			d.peerLink.Close()
		}
	}
	for _, u := range f.upstreams {
		u.link.Close()
	}
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// The daemons' ports lie below the system's ephemeral range, so that no outgoing
// connection takes a selected port until the daemon listens on it.
const (
	firstPort = 18_000
	lastPort  = 32_000
)

// nextPort is the offset from firstPort of the next port to try.
var nextPort atomic.Int64

// freePorts returns the first of n consecutive ports that are free for TCP and UDP. It
// never returns the same port twice.
func freePorts(n int) (int, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid()*97%(lastPort-firstPort)))
	for range lastPort - firstPort {
		first := firstPort + int(nextPort.Add(int64(n))-int64(n))%(lastPort-firstPort)
		if first+n <= lastPort && portsFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.New("soak: no free consecutive ports")
}

// portsFree reports whether n consecutive ports are free for TCP and UDP.
func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", addr)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}
