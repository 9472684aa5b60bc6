// Command standin plays the cases of the review: it starts daemons with the program of the deploy
// file as separate processes, and is their platform, their engines and their clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
)

// Bounds of the platform, as in the settings of a small deployment.
const (
	drainMS  = 2000
	graceS   = 8
	stableMS = 3000
	leaseMS  = 3000
	beat     = 1200 * time.Millisecond
)

// world holds the platform, the engines and the daemons of a case.
type world struct {
	begin   time.Time
	dir     string
	trouble bool
	store   *objectstore.Store
	record  *os.File
	mu      sync.Mutex
	daemons []*daemon
	servers []*server
	broken  []string // findings
}

// The kernel sends Pdeathsig when the thread ends that started the daemon, so that daemons are started
// by the main thread only.
func init() { runtime.LockOSThread() }

func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	f, err := os.Create(recordPath)
	must(err)
	return &world{begin: time.Now(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: objectstore.New(), record: f}
}

// cannotRun ends the program if the case could not run.
func (w *world) cannotRun(format string, args ...any) {
	w.log("the case could not run: "+format, args...)
	w.close()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func (w *world) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(w.begin).Seconds()) }

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%s "+format+"\n", append([]any{w.at(time.Now())}, args...)...)
}

func (w *world) violation(format string, args ...any) {
	w.log("BROKEN "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// finish ends all processes and returns the exit status.
func (w *world) finish() int {
	w.close()
	for _, b := range w.broken {
		fmt.Println("broken:", b)
	}
	if len(w.broken) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// gate is the link between one daemon and the store.
type gate struct {
	w    *world
	cut  atomic.Bool
	name string
	addr string
	// onCall is called with each call before it is served.
	onCall atomic.Pointer[func(r *http.Request)]
}

// newGate opens an address at which one daemon reaches the store.
func (w *world) newGate(name string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	g := &gate{w: w, name: name, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, g) }()
	return g
}

// ServeHTTP passes a call on to the store, or resets its connection while the link is cut.
func (g *gate) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if f := g.onCall.Load(); f != nil {
		(*f)(r)
	}
	if g.cut.Load() {
		g.reset(rw)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		g.w.store.ServeHTTP(rw, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() { // a watch that waits is cut, too
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				if g.cut.Load() {
					cancel()
					return
				}
			}
		}
	}()
	g.w.store.ServeHTTP(rw, r.WithContext(ctx))
	if g.cut.Load() {
		g.reset(rw)
	}
}

func (g *gate) reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// daemon is a process of the system.
type daemon struct {
	w     *world
	name  string
	front string
	ready string
	file  string
	gate  *gate
	cmd   *exec.Cmd
	done  chan struct{}
}

// startDaemon starts a daemon and waits until it is ready.
func (w *world) startDaemon(name string, cpu float64, memoryMB int) *daemon {
	const rangeSize = 11
	first := freePorts(rangeSize + 2)
	d := &daemon{w: w, name: name, front: fmt.Sprintf("127.0.0.1:%d", first+rangeSize), ready: fmt.Sprintf("127.0.0.1:%d", first+rangeSize+1)}
	d.gate = w.newGate(name)
	d.file = filepath.Join(w.dir, name+".conf")
	text := fmt.Sprintf(`node_name=%s
role=deck
machine_class=edge
serves=edge
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=false
limits.cpu_share=%g
limits.vcpus=1
limits.memory_mb=%d
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.reuse_after_s=2
bounds.stable_ms=%d
bounds.drain_ms=%d
bounds.grace_s=%d
bounds.loss_slack_ms=200
bounds.apply_ms=2000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_burst=52
bounds.lease_ms=%d
bounds.ceiling_window_s=5
bounds.load_burst_factor=1.1
bounds.version_ms=5000
provider.address=%s
provider.form=objects
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
`, name, d.front, d.ready, first, first+rangeSize-1, cpu, memoryMB, stableMS, drainMS, graceS, leaseMS, d.gate.addr)
	must(os.WriteFile(d.file, []byte(text), 0o600))
	w.daemons = append(w.daemons, d)
	d.start()
	d.waitReady()
	return d
}

func (d *daemon) start() {
	logs := os.Getenv("LOG_DIR") // of the daemons; kept if set
	if logs == "" {
		logs = d.w.dir
	}
	out, err := os.OpenFile(filepath.Join(logs, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	d.cmd = exec.Command("target/celerydeckd")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CELERYDECK_BOOT=" + d.file}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no daemon outlives the case
	must(d.cmd.Start())
	d.w.log("daemon %s started", d.name)
	done := make(chan struct{})
	d.done = done
	cmd := d.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		d.w.log("daemon %s ended: %s", d.name, cmd.ProcessState)
		close(done)
	}()
}

func (d *daemon) signal(s os.Signal) {
	d.w.log("daemon %s gets %s", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.done
}

// stop sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(graceS * time.Second):
		d.signal(syscall.SIGKILL)
		<-d.done
	}
}

func (d *daemon) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) waitReady() {
	for end := time.Now().Add(15 * time.Second); !d.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			d.w.cannotRun("daemon %s does not become ready", d.name)
		}
	}
}

func freePorts(n int) int {
	for range 200 {
		first := 20000 + rand.IntN(12000-n)
		free := true
		for port := first; port < first+n && free; port++ {
			addr := fmt.Sprintf("127.0.0.1:%d", port)
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
			return first
		}
	}
	must(fmt.Errorf("no free ports"))
	return 0
}

// arrival is a request that an engine ran.
type arrival struct {
	id string
	at time.Time
}

// server is a plain engine, which registers itself in the store.
type server struct {
	w       *world
	id      string
	service string
	addr    string
	http    *http.Server
	work    time.Duration
	headers map[string]string // added to all answers
	left    atomic.Bool       // the entry was removed
	seq     atomic.Int64
	born    int64

	mu   sync.Mutex
	runs []arrival
}

// startServer starts a plain engine.
func (w *world) startServer(id, service string, work time.Duration, headers map[string]string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{w: w, id: id, service: service, addr: l.Addr().String(), work: work, headers: headers, born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	w.servers = append(w.servers, s)
	s.register()
	go func() {
		for !s.left.Load() {
			time.Sleep(beat)
			s.register()
		}
	}()
	return s
}

func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left.Load() {
		return
	}
	s.w.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_ms": 0, "seq": s.seq.Add(1), "born": s.born,
	})
}

// leave removes the entry, as for an engine that never reports that it drains.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left.Store(true)
	s.w.store.Delete("servers", s.id)
	return time.Now()
}

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		rw.Header().Set("X-Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	now := time.Now()
	s.mu.Lock()
	s.runs = append(s.runs, arrival{id, now})
	s.mu.Unlock()
	s.w.log("engine %s runs %s", s.id, id)
	time.Sleep(s.work)
	for k, v := range s.headers {
		rw.Header().Set(k, v)
	}
	rw.Header().Set("X-Response-Signature", "sig."+s.id+"."+id)
	_, _ = io.WriteString(rw, "answer to "+id+"\n")
}

func (s *server) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.runs...)
}

// configure writes the configuration.
func (w *world) configure(version int, routes, services []any) {
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// result is how a request of a client ended. Status 0 means that the connection ended without a
// complete answer.
type result struct {
	id         string
	sent       time.Time
	ended      time.Time
	status     int
	retryAfter string
	signed     bool
	body       string
	err        error
}

// client sends requests over kept connections.
type client struct {
	w    *world
	http *http.Client
}

func (w *world) newClient() *client {
	return &client{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends a request once and reads the whole answer.
func (c *client) send(d *daemon, method, path, id string, deadline time.Duration, headers map[string]string, body string) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewBufferString(body))
	must(err)
	req.GetBody = nil // the client itself decides what is sent again
	req.Host = "deck.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	res := result{id: id, sent: time.Now()}
	c.w.log("client sends %s to %s", id, d.name)
	resp, err := c.http.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.body, res.signed, res.retryAfter = string(data), resp.Header.Get("X-Response-Signature") != "", resp.Header.Get("Retry-After")
		if err == nil {
			res.status = resp.StatusCode
		}
	}
	res.ended, res.err = time.Now(), err
	reason := strings.TrimSpace(strings.ReplaceAll(res.body, "\n", " "))
	if len(reason) > 60 {
		reason = reason[:60]
	}
	c.w.log("client has %s: status %d after %d ms %q err %v", id, res.status, res.ended.Sub(res.sent).Milliseconds(), reason, err)
	return res
}

func toJSON(v any) string {
	data, err := json.Marshal(v)
	must(err)
	return string(data)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	run(w)
	os.Exit(w.finish())
}
