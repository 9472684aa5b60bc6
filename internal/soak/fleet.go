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
	model        = "base"
	chatService  = "chat"
	adapterCount = 9
	adapterSlots = 4
	services     = 3 // plain ones
	engineSlots  = 8
	loadTime     = 50 * time.Millisecond
	streamEvents = 12
	eventGap     = 20 * time.Millisecond
	webWork      = 5 * time.Millisecond
	portsOfOne   = 3 // in a row, of a daemon
	readyWithin  = 20 * time.Second
	readyEvery   = 25 * time.Millisecond
	killedWithin = 3 * time.Second
)

func serviceName(i int) string { return fmt.Sprintf("web-%d", i%services) }

func adapterName(i int) string { return fmt.Sprintf("a%d", i) }

func daemonName(i int) string { return fmt.Sprintf("vm-%d", i) }

// upstream is an engine or a plain upstream behind its link.
type upstream struct {
	name    string // of the first process there
	id      string // of the process there now
	service string
	link    *Link
	engine  *modelengine.Engine // or nil
	web     *webservice.Server  // or nil
}

// daemon is a VM with the process that runs there now.
type daemon struct {
	index  int
	front  *Link // from callers
	store  *Link
	peers  *PacketLink
	ready  string // address of the readiness checks
	peer   string // address for peers behind the link
	config string // path of the settings file

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	life int           // index in the history

	turn sync.Mutex // held while the process is replaced
}

// Fleet is the processes of a run and what they talk to.
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
	version  int            // of the configuration
	rotation []int          // daemons that callers are sent to
	latest   map[string]int // number of the last event by what it disturbs
	restarts int            // of engines
}

// NewFleet starts the stand-ins and the daemons. Logs of the daemons go to the directory.
func NewFleet(binary, dir string, size Size) (*Fleet, error) {
	f := &Fleet{size: size, binary: binary, dir: dir, store: objectstore.New(), latest: make(map[string]int)}
	f.history.Events = streamEvents
	f.history.Orders = make(map[string][]modelengine.Order)
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	for i := range f.size.Engines {
		id := fmt.Sprintf("i-%d", i)
		e := modelengine.New(id, model, adapterSlots, loadTime, streamEvents, eventGap)
		if err := f.addUpstream(&upstream{name: id, id: id, service: chatService, engine: e}, e); err != nil {
			return err
		}
	}
	for i := range services * f.size.Services {
		id := fmt.Sprintf("w-%d", i)
		s := webservice.New(id, serviceName(i), webWork)
		if err := f.addUpstream(&upstream{name: id, id: id, service: serviceName(i), web: s}, s); err != nil {
			return err
		}
	}
	f.Configure()
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
		if !f.waitReady(d, readyWithin) {
			return fmt.Errorf("soak: daemon %d is not ready after %s", d.index, readyWithin)
		}
	}
	return nil
}

func (f *Fleet) serve(h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	f.servers = append(f.servers, s)
	return s.Listener.Addr().String()
}

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

// register lists an upstream in the store.
func (f *Fleet) register(u *upstream, state string) {
	held := ""
	if u.engine != nil {
		held = model
	}
	operator.PutUpstream(f.store, u.id, u.service, u.link.Addr, state, held, engineSlots)
}

// Configure puts the next configuration into the store. The service of the routes
// that move follows from its version.
func (f *Fleet) Configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	moving := serviceName(f.version)
	var plain []string
	for i := range services {
		plain = append(plain, serviceName(i))
	}
	c := Config{Version: f.version, Service: moving, Sent: time.Now()}
	operator.PutConfig(f.store, f.version, hostName, []operator.Route{
		{Name: string(ClassChat), Kind: "stream", Service: chatService, Timeout: chatDeadline, Attempts: attempts},
		{Name: string(ClassRead), Kind: "idempotent", Service: moving, Timeout: callDeadline, Attempts: attempts},
		{Name: string(ClassCharge), Kind: "non_idempotent", Service: moving, Timeout: callDeadline, Attempts: attempts},
		{Name: string(ClassFixed), Kind: "idempotent", Service: serviceName(0), Timeout: callDeadline, Attempts: attempts},
	}, plain, operator.Engines{Service: chatService, Model: model, Slots: engineSlots, AdapterSlots: adapterSlots})
	c.Acked = time.Now()
	f.history.Configs = append(f.history.Configs, c)
}

// Announce puts the next version of an adapter into the store.
func (f *Fleet) Announce(adapter string) {
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
	f.history.Versions = append(f.history.Versions, Announced{adapter, version, time.Now()})
}

func (f *Fleet) addDaemon(i int) error {
	ports, err := freePorts(portsOfOne)
	if err != nil {
		return err
	}
	singles := make([]string, 2)
	for k := range singles {
		one, err := freePorts(1)
		if err != nil {
			return err
		}
		singles[k] = fmt.Sprintf("127.0.0.1:%d", one)
	}
	d := &daemon{index: i, ready: singles[1], peer: fmt.Sprintf("127.0.0.1:%d", ports)}
	if d.front, err = NewLink(singles[0]); err != nil {
		return err
	}
	if d.peers, err = NewPacketLink(d.peer); err != nil {
		return err
	}
	if d.store, err = NewLink(f.serve(f.storeFor(d))); err != nil {
		return err
	}
	d.config = filepath.Join(f.dir, daemonName(i)+".settings")
	text := fmt.Sprintf("node_name=%s\nip=127.0.0.1\nzone=z%d\nlisten.front=%s\nlisten.ready=%s\nport_range=%d,%d\nprovider.address=%s\n",
		daemonName(i), i%2, singles[0], d.ready, ports, ports+portsOfOne, d.store.Addr)
	f.daemons = append(f.daemons, d)
	if err := os.WriteFile(d.config, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soak: settings of daemon %d: %w", i, err)
	}
	return nil
}

// storeFor is the store as a daemon sees it: the address that it makes known to its
// peers is replaced by the link to it.
func (f *Fleet) storeFor(d *daemon) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			body = bytes.ReplaceAll(body, []byte(`"`+d.peer+`"`), []byte(`"`+d.peers.Addr+`"`))
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		}
		f.store.ServeHTTP(w, r)
	})
}

// start runs a daemon's process.
func (f *Fleet) start(d *daemon) error {
	name := filepath.Join(f.dir, daemonName(d.index)+".log")
	out, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soak: log of daemon %d: %w", d.index, err)
	}
	cmd := exec.Command(f.binary)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+d.config)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("soak: start daemon %d: %w", d.index, err)
	}
	done := make(chan struct{})
	f.mu.Lock()
	life := len(f.history.Lives)
	f.history.Lives = append(f.history.Lives, Life{Daemon: d.index, From: time.Now()})
	f.mu.Unlock()
	d.mu.Lock()
	d.cmd, d.done, d.life = cmd, done, life
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // its code is read below
		_ = out.Close()
		f.mu.Lock()
		f.history.Lives[life].Ended = time.Now()
		f.history.Lives[life].Code = cmd.ProcessState.ExitCode()
		f.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that runs for a daemon now, by its id.
func (d *daemon) signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// end stops a daemon's process and waits for its end.
func (f *Fleet) end(d *daemon, s syscall.Signal, within time.Duration) error {
	d.mu.Lock()
	done, life := d.done, d.life
	d.mu.Unlock()
	f.mu.Lock()
	if s == syscall.SIGKILL {
		f.history.Lives[life].Killed = true
	} else {
		f.history.Lives[life].Stopped = time.Now()
	}
	f.mu.Unlock()
	if err := d.signal(s); err != nil {
		return fmt.Errorf("soak: signal daemon %d: %w", d.index, err)
	}
	select {
	case <-done:
		return nil
	case <-time.After(within):
	}
	if err := d.signal(syscall.SIGKILL); err != nil {
		return fmt.Errorf("soak: kill daemon %d: %w", d.index, err)
	}
	<-done
	return nil
}

// isReady asks a daemon as the platform's balancer does.
func (d *daemon) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + d.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Fleet) waitReady(d *daemon, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyEvery) {
		if d.isReady(client) {
			return true
		}
	}
	return false
}

// Close ends all processes that the fleet started, and the stand-ins.
func (f *Fleet) Close() {
	for _, d := range f.daemons {
		if d.cmd != nil {
			_ = d.signal(syscall.SIGCONT) // it may be paused
			_ = f.end(d, syscall.SIGKILL, killedWithin)
		}
		for _, l := range []*Link{d.front, d.store} {
			if l != nil {
				l.Close()
			}
		}
		if d.peers != nil {
			d.peers.Close()
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

// Ports of daemons lie below those that the system gives to outgoing connections, so
// that none of these takes one between its choice and its use.
const (
	firstPort = 18_000
	lastPort  = 32_000
)

var lastTried atomic.Int64

// freePorts returns the first of n ports in a row that are free for TCP and UDP. It
// does not return a port twice.
func freePorts(n int) (int, error) {
	lastTried.CompareAndSwap(0, int64(os.Getpid()*97%(lastPort-firstPort)))
	for range lastPort - firstPort {
		first := firstPort + int(lastTried.Add(int64(n))-int64(n))%(lastPort-firstPort)
		if first+n <= lastPort && portsFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.New("soak: no free ports in a row")
}

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
