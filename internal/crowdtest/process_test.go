// Package crowdtest checks that a daemon process survives crowds of misbehaving clients. Its tests
// run one at a time and apart from other load, as they measure the memory of a process.
package crowdtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
	"github.com/celerydeck/celerydeck/platform"
)

// The limits of the machine in the settings of the daemon, and the bounds that follow from them.
const (
	memoryMB       = 96
	maxDescriptors = 600
	// memoryBound is the part of the machine's memory that the process may use: the rest is for the
	// kernel's buffers.
	memoryBound = memoryMB << 20 * 8 / 10
	// descriptorBound leaves the descriptors that are reserved for files.
	descriptorBound = maxDescriptors - 200
)

const (
	maxBody = 1 << 20 // bytes of a request body in the configuration
	// routeTimeout is longer than a test, so that no crowd ends by its deadlines.
	routeTimeout = 15 * time.Minute
	// longResponse is the size of the responses to paths that end with "long".
	longResponse = 256 << 10
	// headLimit is the most bytes of a request head in the configuration.
	headLimit = 16384
)

var binary string // path of the daemon's program

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "celerydeck-crowd-test")
	if err == nil {
		binary = filepath.Join(dir, "celerydeckd")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "../../cmd/celerydeckd").CombinedOutput(); err != nil {
			err = fmt.Errorf("build the daemon: %w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a daemon process with a store and one sound upstream.
type daemon struct {
	*qt.C
	front, ready string
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has ended
}

func startDaemon(t *testing.T) *daemon {
	c := qt.New(t)
	store := objectstore.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		if strings.HasSuffix(r.URL.Path, "long") {
			_, _ = w.Write(make([]byte, longResponse)) // the daemon may have closed the connection
			return
		}
		_, _ = w.Write([]byte("answer"))
	}))
	t.Cleanup(upstream.Close)
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "book", "host": "127.0.0.1", "path_prefix": "/book/", "kind": "idempotent", "timeout_ms": routeTimeout.Milliseconds(),
			"goal_ms": 300, "priority": 0, "service": "app", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}},
		"limits":   map[string]any{"header_bytes": headLimit, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	store.Put("servers", "i-1", map[string]any{
		"service": "app", "address": upstream.Listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "born": 1, "seq": 1,
	})

	const rangeSize = 11
	first := freePorts(c, rangeSize+2)
	d := &daemon{
		C: c, front: fmt.Sprintf("127.0.0.1:%d", first+rangeSize), ready: fmt.Sprintf("127.0.0.1:%d", first+rangeSize+1), exited: make(chan struct{}),
	}
	dir := t.TempDir()
	settings, logFile := filepath.Join(dir, "boot.conf"), filepath.Join(dir, "log")
	text := fmt.Sprintf("node_name=vm-1\nip=127.0.0.1\nzone=z1\nlisten.front=%s\nlisten.ready=%s\nport_range=%d,%d\nprovider.address=%s\n"+
		"limits.memory_mb=%d\nlimits.max_fds=%d\n",
		d.front, d.ready, first, first+rangeSize-1, storeServer.Listener.Addr(), memoryMB, maxDescriptors)
	c.Assert(os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	log, err := os.Create(logFile)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = log.Close() })
	d.cmd = exec.Command(binary)
	d.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	c.Assert(d.cmd.Start(), qt.IsNil)
	go func() {
		defer close(d.exited)
		_ = d.cmd.Wait() // hasExited tells the end of the process
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
		if data, err := os.ReadFile(logFile); err == nil && t.Failed() {
			t.Logf("end of the daemon's log:\n%s", data[max(0, len(data)-2<<10):])
		}
	})
	for d.request(d.ready, platform.ReadyPath) != http.StatusOK {
		c.Assert(d.hasExited(), qt.IsFalse)
		time.Sleep(20 * time.Millisecond)
	}
	return d
}

func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// request sends an ordinary request on a new connection and returns the status of its response, or
// 0 if it gets none.
func (d *daemon) request(addr, path string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(strings.Repeat("x", 2000)))
	d.Assert(err, qt.IsNil)
	r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", rand.Uint64()))
	r.Header.Set("X-Deadline-Ms", "20000")
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// peakMemory returns the most memory that the process has had resident, in bytes.
func (d *daemon) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	d.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			d.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	d.Fatal("the system does not report the peak memory")
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	d.Assert(err, qt.IsNil)
	return len(entries)
}

// freePorts returns the first of n ports in a row that are free for TCP and UDP, below those that the
// system gives to outgoing connections.
func freePorts(c *qt.C, n int) int {
	const minPort, maxPort = 20000, 32000
	for range 100 {
		first := minPort + rand.IntN(maxPort-minPort-n)
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
	c.Fatal("no free ports")
	return 0
}
