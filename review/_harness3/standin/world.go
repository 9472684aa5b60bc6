// Command standin plays the cases of the third review: it starts daemons as processes of their own and
// plays the platform's store, the engines and the clients for them. It exits with 1 if the rule of the
// case was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
)

// Settings of a small deployment, as the example of the pages has them. The rest of a settings file
// depends on the machine.
const commonSettings = `role=deck
machine_class=edge
serves=edge
region=r1
zones.z1=r1
zones.z2=r1
bears_loss=false
limits.cpu_share=0.4
limits.vcpus=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
guarantees=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_ms=3000
bounds.ack_ms=4000
bounds.sync_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.apply_ms=2000
bounds.downgrade_ms=250
bounds.outer_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_burst=52
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.require_fence=false
bounds.lease_ms=3000
bounds.unfreeze_ms=300
bounds.ceiling_window_s=5
bounds.load_burst_factor=1.1
bounds.version_ms=5000
provider.form=objects
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
provider.value_bytes=1048576
provider.ttl_min_ms=1000
`

// trafficDelay is how long after the machines traffic starts. The pages name 10 s; the leases of all engines
// are claimed within 4.
const trafficDelay = 4 * time.Second

// Names of the deployment.
const (
	host  = "clubs.example"
	model = "m0"
)

// errCannotRun reports that a case can't be judged.
var errCannotRun = errors.New("the case can't run")

// world is the platform of one case.
type world struct {
	dir     string
	trouble bool
	store   *objectstore.Store
	storeAt string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	version int
}

// newWorld starts the store and writes the first configuration.
func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "celerydeck-review-3")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: file, trouble: os.Getenv("TROUBLE") != "0", store: objectstore.New(), began: time.Now()}
	w.storeAt, err = serve(w.store)
	return w, err
}

// serve serves HTTP on a free loopback port and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }() // until the program ends
	return l.Addr().String(), nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all daemons and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	list := w.daemons
	w.mu.Unlock()
	for _, d := range list {
		d.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// route and service are entries of the configuration as the pages show them.
func streamRoute(name, prefix, service string, resumable bool, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "stream", "timeout_ms": 15000, "goal_ms": 600, "priority": 1,
		"service": service, "attempts": attempts, "sticky": true, "resumable": resumable, "gap_aim_ms": 250,
	}
}

func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "goal_ms": 150, "priority": 2,
		"service": service, "attempts": attempts,
	}
}

func modelService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
		"backend": map[string]any{
			"slots": slots, "kv_capacity": 140667, "kv_token_bytes": 327680, "stride": 3, "cap": 12, "weights_mb": 66600.0, "lora_slots": 20,
			"loads_per_s": 2.9, "models": []any{map[string]any{"name": model, "weights_mb": 65100.0, "load_time_s": 3.8, "adapters": 3000, "lora_mb": 12.0}},
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}
}

// configure writes the next configuration, as the operator does.
func (w *world) configure(routes, services []any) {
	w.version++
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// register lists an engine that was started at a time in Unix milliseconds. It renews the entry at each
// heartbeat, as engines do, until stop is called.
func (w *world) register(id, service, addr, zone string, slots int, models []any, born int64) (stop func()) {
	var seq atomic.Int64
	write := func() {
		entry := map[string]any{
			"service": service, "address": addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "born": born, "seq": seq.Add(1),
		}
		if models != nil {
			entry["models"], entry["phase"] = models, "both"
		}
		w.store.Put("servers", id, entry)
	}
	write()
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				write()
			case <-done:
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// daemon is one machine of the system: its settings, and the process that runs there.
type daemon struct {
	w                  *world
	name, ip, settings string
	front, ready       string
	peerAddr           string // receives messages of other daemons
	log                *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addDaemon prepares a machine with ports of its own. Each machine has a loopback address of its own.
func (w *world) addDaemon(name, zone string, bootstrap bool) (*daemon, error) {
	ip := fmt.Sprintf("127.0.0.%d", 11+len(w.daemons))
	const rangeSize = 16
	first, err := freePorts(ip, rangeSize+3)
	if err != nil {
		return nil, err
	}
	d := &daemon{w: w, name: name, ip: ip, front: fmt.Sprintf("%s:%d", ip, first+rangeSize), ready: fmt.Sprintf("%s:%d", ip, first+rangeSize+1), peerAddr: fmt.Sprintf("%s:%d", ip, first)}
	text := fmt.Sprintf("node_name=%s\nip=%s\nzone=%s\nlisten.front=%s\nlisten.ready=%s\nport_range=%d,%d\nseeds=\nbootstrap=%t\nprovider.address=%s\n%s",
		name, ip, zone, d.front, d.ready, first, first+rangeSize-1, bootstrap, w.storeAt, commonSettings)
	d.settings = filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	return d, nil
}

// start starts the process of the machine, by the command of the deploy file.
func (d *daemon) start() error {
	binary, err := filepath.Abs("target/celerydeckd")
	if err != nil {
		return err
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CELERYDECK_BOOT=" + d.settings}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.w.note("%s: process %d started", d.name, cmd.Process.Pid)
	go func() {
		defer close(exited)
		_ = cmd.Wait() // the cases look at the end of a process themselves
	}()
	return nil
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + d.ready + "/v1/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if d.hasExited() {
			break
		}
	}
	return fmt.Errorf("%w: %s is not ready", errCannotRun, d.name)
}

func (d *daemon) hasExited() bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // it may have ended
	d.w.note("%s: signal %s", d.name, s)
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// freePorts returns the first of n ports in a row that are free at an address, below those that the
// system gives to outgoing connections.
func freePorts(ip string, n int) (int, error) {
	const minPort, maxPort = 12000, 32000
	for range 200 {
		first := minPort + rand.IntN(maxPort-minPort-n)
		free := true
		for port := first; port < first+n && free; port++ {
			addr := net.JoinHostPort(ip, strconv.Itoa(port))
			l, err := net.Listen("tcp", addr)
			p, errUDP := net.ListenPacket("udp", addr)
			free = err == nil && errUDP == nil
			if err == nil {
				_ = l.Close()
			}
			if errUDP == nil {
				_ = p.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports at %s", errCannotRun, ip)
}

var requestIDs atomic.Uint64

// newID returns an identity for one attempt of a client.
func newID(kind string) string { return fmt.Sprintf("%s-%d", kind, requestIDs.Add(1)) }

// answer is what a client received. Status is 0 without a whole answer.
type answer struct {
	id     string
	status int
	body   string
	took   time.Duration
	err    error
}

// send sends a request on a connection of its own and waits for its answer.
func send(d *daemon, path, id string, header map[string]string, body string, limit time.Duration) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limit}
	begin := time.Now()
	a := answer{id: id}
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body = string(data)
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err, a.took = err, time.Since(begin)
	return a
}

// errText returns the text of an error, or nothing.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
