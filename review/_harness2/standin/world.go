package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
)

const (
	daemonProgram = "target/celerydeckd" // the run line of deploy/system.toml
	portsPerVM    = 18                   // port_range of 16 ports, front and ready
	readyTimeout  = 20 * time.Second
	// restartDelay is the pause before the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	host         = "deck.example"
)

// errNotRun is the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// world is a small deployment: a store, daemons and engines.
type world struct {
	trouble bool
	store   *objectstore.Store
	storeAt string
	dir     string // temporary
	nextVM  int

	mu      sync.Mutex
	record  *bufio.Writer
	start   time.Time
	broken  []string
	cleanup []func()
}

// play plays a case and returns the exit code.
func play(dir string, do func(w *world)) (code int) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", store: objectstore.New(), dir: temp, record: bufio.NewWriter(f), start: time.Now()}
	defer w.record.Flush()
	defer w.end()
	defer func() {
		if r := recover(); r != nil {
			w.note("not run: %v", r)
			fmt.Println("not run:", r)
			code = exitNotRun
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	w.storeAt = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serveStore)}
	go func() { _ = server.Serve(l) }()
	w.onEnd(func() { _ = server.Close() })
	w.note("trouble: %v", w.trouble)
	w.stopOnSignal()
	do(w)
	if len(w.broken) > 0 {
		w.note("rule broken, %d findings", len(w.broken))
		fmt.Printf("rule broken, %d findings; the first: %s\n", len(w.broken), w.broken[0])
		return exitBroken
	}
	w.note("rule held")
	fmt.Println("rule held")
	return exitHeld
}

// serveStore serves the store, and notes the writes of the daemons' own records.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		defer w.note("store: %s %s", r.Method, r.URL.Path)
	}
	w.store.ServeHTTP(rw, r)
}

// end ends all processes and servers, the last one first.
func (w *world) end() {
	w.mu.Lock()
	list := w.cleanup
	w.cleanup = nil
	w.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
}

// stopOnSignal ends what was started, and the program, on SIGINT and SIGTERM.
func (w *world) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.note("not run: ended by a signal")
		w.end()
		os.Exit(exitNotRun)
	}()
}

func (w *world) must(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errNotRun, err))
	}
}

func (w *world) onEnd(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cleanup = append(w.cleanup, do)
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// freePorts returns the first of n ports in a row that are free.
func (w *world) freePorts(n int) int {
	for range 200 {
		first := 20000 + rand.IntN(12000-n)
		free := true
		for port := first; port < first+n && free; port++ {
			addr := fmt.Sprintf("127.0.0.1:%d", port)
			l, err := net.Listen("tcp", addr)
			u, errUDP := net.ListenPacket("udp", addr)
			free = err == nil && errUDP == nil
			if err == nil {
				_ = l.Close()
			}
			if errUDP == nil {
				_ = u.Close()
			}
		}
		if free {
			return first
		}
	}
	panic(fmt.Errorf("%w: no free ports", errNotRun))
}

// vm is a machine with one daemon.
type vm struct {
	w            *world
	name         string
	front, ready string
	settings     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	ending  bool
	starts  int
	logFile *os.File
}

// addVM prepares a machine. Its settings are those of the small deployments, except for the addresses.
func (w *world) addVM(zone string, more ...string) *vm {
	first := w.freePorts(portsPerVM)
	w.nextVM++
	v := &vm{w: w, name: fmt.Sprintf("edge-%s-%d", zone, w.nextVM)}
	v.front, v.ready = fmt.Sprintf("127.0.0.1:%d", first+16), fmt.Sprintf("127.0.0.1:%d", first+17)
	lines := []string{
		"node_name=" + v.name, "role=deck", "machine_class=edge", "serves=edge", "ip=127.0.0.1", "zone=" + zone, "region=r1",
		"zones.z1=r1", "zones.z2=r1", "listen.front=" + v.front, "listen.ready=" + v.ready,
		fmt.Sprintf("port_range=%d,%d", first, first+15), "bootstrap=false", "bears_loss=false",
		"limits.cpu_share=0.4", "limits.vcpus=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "fault_tolerance.machines=2", "fault_tolerance.zones=1",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_ms=3000", "bounds.ack_ms=4000", "bounds.sync_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.apply_ms=2000", "bounds.downgrade_ms=250", "bounds.outer_ms=5000",
		"bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_burst=52", "bounds.recover_s=12", "bounds.pass_ms=120",
		"bounds.retry_after_s=0", "bounds.require_fence=false", "bounds.lease_ms=3000", "bounds.unfreeze_ms=300", "bounds.ceiling_window_s=5",
		"bounds.load_burst_factor=1.1", "bounds.version_ms=5000",
		"provider.address=" + w.storeAt, "provider.form=objects", "provider.writes_per_s=400", "provider.reads_per_s=2000",
		"provider.history_s=20", "provider.value_bytes=1048576",
	}
	lines = append(lines, more...)
	v.settings = filepath.Join(w.dir, v.name+".conf")
	w.must(os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	log, err := os.Create(filepath.Join(w.dir, v.name+".log"))
	w.must(err)
	v.logFile = log
	w.onEnd(func() {
		v.stop()
		_ = log.Close()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			data, _ := os.ReadFile(log.Name())
			_ = os.WriteFile(filepath.Join(keep, v.name+".log"), data, 0o600)
		}
	})
	return v
}

// startDaemon starts the daemon of a machine, and starts it again whenever it ends by itself, as the
// platform does. onEnd is called with each such end.
func (v *vm) startDaemon(onEnd func(v *vm, state string)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ending {
		return
	}
	cmd := exec.Command(daemonProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CELERYDECK_BOOT=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
	v.w.must(cmd.Start())
	v.cmd, v.exited = cmd, make(chan struct{})
	v.starts++
	v.w.note("%s: daemon started, process %d", v.name, cmd.Process.Pid)
	exited := v.exited
	go func() {
		_ = cmd.Wait() // its result is in cmd.ProcessState
		close(exited)
		v.mu.Lock()
		ending := v.ending
		v.mu.Unlock()
		if ending {
			return
		}
		v.w.note("%s: process %d ended: %s", v.name, cmd.Process.Pid, cmd.ProcessState)
		if onEnd != nil {
			onEnd(v, cmd.ProcessState.String())
		}
		time.Sleep(restartDelay)
		v.startDaemon(onEnd)
	}()
}

// signal sends a signal to the daemon.
func (v *vm) signal(s os.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd.Process.Signal(s)
}

// stop ends the daemon.
func (v *vm) stop() {
	v.mu.Lock()
	v.ending = true
	cmd, exited := v.cmd, v.exited
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// pid returns the process of the daemon.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd.Process.Pid
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (v *vm) awaitReady() {
	for end := time.Now().Add(readyTimeout); !v.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(fmt.Errorf("%w: %s is not ready within %s", errNotRun, v.name, readyTimeout))
		}
	}
	v.w.note("%s: ready", v.name)
}

// engineProcess is an engine that runs as a process.
type engineProcess struct {
	w    *world
	id   string
	addr string
	cmd  *exec.Cmd
	done chan struct{}
}

// startEngine starts an engine process and registers it in the store. Lines that it prints go to the
// record, and to each if it is not nil.
func (w *world) startEngine(id, service string, slots int, each func(line string), args ...string) *engineProcess {
	cmd := exec.Command(os.Args[0], append([]string{"engine", "-id", id}, args...)...)
	out, err := cmd.StdoutPipe()
	w.must(err)
	w.must(cmd.Start())
	lines := bufio.NewReader(out)
	first, err := lines.ReadString('\n')
	w.must(err)
	e := &engineProcess{w: w, id: id, addr: strings.TrimSpace(first), cmd: cmd, done: make(chan struct{})}
	w.note("engine %s of %s started at %s, process %d", id, service, e.addr, cmd.Process.Pid)
	go func() {
		defer close(e.done)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				break
			}
			line = strings.TrimSpace(line)
			w.note("engine %s: %s", id, line)
			if each != nil {
				each(line)
			}
		}
		_, _ = io.Copy(io.Discard, lines)
		_ = cmd.Wait() // a killed process is no error here
	}()
	w.onEnd(e.kill)
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": e.addr, "zone": "z1", "version": "v1", "slots": slots, "state": "ready", "born": time.Now().UnixMilli(), "seq": 1, "cold_ms": 0,
	})
	return e
}

// kill crashes the engine.
func (e *engineProcess) kill() {
	_ = e.cmd.Process.Kill()
	<-e.done
}
