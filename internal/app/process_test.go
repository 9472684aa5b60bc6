package app

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
	"github.com/celerydeck/celerydeck/platform"
)

// platformStandIn is the store and the upstreams of a daemon that runs as a process.
type platformStandIn struct {
	*qt.C
	store  *objectstore.Store
	server *httptest.Server
	// foreign is JSON text of entries that another program has added to the list of upstreams, each
	// followed by a comma.
	foreign atomic.Pointer[string]
}

func newPlatformStandIn(t *testing.T) *platformStandIn {
	p := &platformStandIn{C: qt.New(t), store: objectstore.New()}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	p.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "book", "host": "127.0.0.1", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 20000, "goal_ms": 300, "priority": 0, "service": "app", "attempts": 1},
			map[string]any{"name": "check", "host": "127.0.0.1", "path_prefix": "/check/", "kind": "idempotent", "timeout_ms": 20000, "goal_ms": 300, "priority": 0, "service": "app", "attempts": 2},
		},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return p
}

// ServeHTTP serves the store, with the foreign entries in the list of upstreams.
func (p *platformStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	foreign := p.foreign.Load()
	if foreign == nil || r.Method != http.MethodGet || r.URL.Path != "/v1/objects/servers" {
		p.store.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	p.store.ServeHTTP(rec, r)
	w.WriteHeader(rec.Code)
	const start = `"items":[`
	_, _ = w.Write(bytes.Replace(rec.Body.Bytes(), []byte(start), []byte(start+*foreign), 1)) // the daemon may have left
}

// register lists an upstream of the plain service.
func (p *platformStandIn) register(id, addr string) {
	p.store.Put("servers", id, map[string]any{
		"service": "app", "address": addr, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "born": 1, "seq": 1,
	})
}

// process is a daemon that runs as a process of its own.
type process struct {
	*qt.C
	front  string
	ready  string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
	log    *syncBuffer
}

// syncBuffer is a buffer that a process writes while the test reads it.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// binaryDir holds the daemon's program while the tests run.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "celerydeck-app-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemonBinary builds the daemon's program, once, and returns its path.
var daemonBinary = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(binaryDir, "celerydeckd")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/celerydeckd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, out)
	}
	return binary, nil
})

// maxPortTries is how often a daemon is started on other ports, as another process has taken one that was free just before.
const maxPortTries = 3

// startProcess starts a daemon on free loopback ports and waits until it is ready.
func (p *platformStandIn) startProcess(t *testing.T, settings string) *process {
	for try := 1; ; try++ {
		d := p.launch(t, settings)
		for end := time.Now().Add(20 * time.Second); !d.isReady() && !d.hasNoPort(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				p.Fatal("the daemon is not ready within 20 s")
			}
		}
		if !d.hasNoPort() {
			return d
		}
		if try == maxPortTries {
			p.Fatalf("no free ports in %d tries", try)
		}
	}
}

// hasNoPort reports whether the process has ended because a port was taken.
func (d *process) hasNoPort() bool {
	select {
	case <-d.exited:
		return strings.Contains(d.log.String(), "address already in use")
	default:
		return false
	}
}

// launch starts the process of a daemon on free loopback ports.
func (p *platformStandIn) launch(t *testing.T, settings string) *process {
	dir := t.TempDir()
	binary, err := daemonBinary()
	p.Assert(err, qt.IsNil)
	const rangeSize = 11
	first := freePorts(p.C, rangeSize+2)
	d := &process{C: p.C, front: fmt.Sprintf("127.0.0.1:%d", first+rangeSize), ready: fmt.Sprintf("127.0.0.1:%d", first+rangeSize+1), exited: make(chan struct{}), log: new(syncBuffer)}
	file := filepath.Join(dir, "boot.conf")
	text := fmt.Sprintf("node_name=vm-1\nip=127.0.0.1\nzone=z1\nlisten.front=%s\nlisten.ready=%s\nport_range=%d,%d\nprovider.address=%s\n%s",
		d.front, d.ready, first, first+rangeSize-1, p.server.Listener.Addr(), settings)
	p.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	d.cmd = exec.Command(binary)
	d.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+file)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	p.Assert(d.cmd.Start(), qt.IsNil)
	go func() {
		defer close(d.exited)
		_ = d.cmd.Wait() // the tests check the end of the process themselves
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
		if t.Failed() {
			t.Logf("log of the daemon:\n%s", tail(d.log.String(), 8<<10))
		}
	})
	return d
}

// tail returns the last n bytes of a text.
func tail(text string, n int) string { return text[max(0, len(text)-n):] }

func (d *process) isReady() bool {
	resp, err := http.Get("http://" + d.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// hasExited reports whether the process has ended.
func (d *process) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// exitsWithin asserts that the process ends by itself, with status 0.
func (d *process) exitsWithin(limit time.Duration) {
	d.Helper()
	select {
	case <-d.exited:
		d.Assert(d.cmd.ProcessState.ExitCode(), qt.Equals, ExitOK)
	case <-time.After(limit):
		d.Fatalf("the daemon still runs after %s", limit)
	}
}

// terminate sends SIGTERM.
func (d *process) terminate() {
	d.Helper()
	d.Assert(d.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// reply is what a client received; status is 0 if the connection ended without a complete answer.
type reply struct {
	id     string
	status int
	took   time.Duration
}

// send sends a request with a deadline and waits for its answer.
func (d *process) send(client *http.Client, path, id string, deadline time.Duration) reply {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+path, bytes.NewReader([]byte("body")))
	d.Check(err, qt.IsNil)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	begin := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return reply{id: id, took: time.Since(begin)}
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return reply{id: id, took: time.Since(begin)}
	}
	return reply{id, resp.StatusCode, time.Since(begin)}
}
