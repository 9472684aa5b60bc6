// Package soak runs real daemons as separate processes against stand-ins, injects faults
// from outside, and checks from what callers and upstreams observe that the documented
// guarantees hold. A seed determines the faults, the changes and the requests, but not
// their exact timing.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/caller"
	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
	"github.com/celerydeck/celerydeck/internal/standin/operator"
)

const (
	hostName              = "deck.example"
	callDeadline          = 2 * time.Second
	chatDeadline          = 4 * time.Second
	answerMargin          = 1500 * time.Millisecond // time for which a caller waits beyond its deadline
	callerCount           = 16
	minRequestPause       = 10 * time.Millisecond // shortest pause between two requests of a caller
	maxRequestPause       = 60 * time.Millisecond
	readinessInterval     = time.Second // interval of the load balancer's readiness checks
	maxMissedChecks       = 2
	readinessTimeout      = 500 * time.Millisecond
	engineUnlistedTime    = 400 * time.Millisecond // from the restart of an engine until it is listed
	lostOrders            = 3
	minDrainTime          = 3 * time.Second
	askPeriod             = 3 // one stream in this many is of ClassAsk
	requestsPerConnection = 8 // on average, a caller opens a new connection once per this many requests
)

// storeFaults maps event kinds to faults of the object store.
var storeFaults = map[EventKind]objectstore.Fault{
	KindStoreBusy:       objectstore.FaultUnavailable,
	KindStoreHang:       objectstore.FaultHang,
	KindStoreWritesLost: objectstore.FaultLoseAnswers,
}

// Options configure a run.
type Options struct {
	Binary string // path of the daemon's program
	Dir    string // directory for settings and logs
	Seed   uint64
	Size   Size
	Out    io.Writer // gets one line per event
}

// Run runs one seed and checks the history.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, fmt.Errorf("soak: create directory of the run: %w", err)
	}
	f, err := NewFleet(o.Binary, o.Dir, o.Size)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	plan := Plan(o.Seed, o.Size)
	total := o.Size.Warmup + o.Size.FaultPeriod + o.Size.Recovery
	begin := time.Now()
	f.history.TrafficStart = begin
	f.history.RecoveryStart = begin.Add(o.Size.Warmup + o.Size.FaultPeriod)
	f.updateRotation(map[int]int{})
	runCtx, stop := context.WithDeadline(ctx, begin.Add(total))
	defer stop()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); f.balance(runCtx) }()
	for i := range callerCount {
		wg.Add(1)
		go func() { defer wg.Done(); f.runCaller(runCtx, i, rand.New(rand.NewPCG(o.Seed, uint64(100+i)))) }()
	}
	if o.Size.CrashRate > 0 {
		wg.Go(func() { f.runCrashingCaller(runCtx, o.Size.CrashRate, rand.New(rand.NewPCG(o.Seed, 99))) })
	}
	var mu sync.Mutex
	for number, e := range plan {
		select {
		case <-time.After(time.Until(begin.Add(e.At))):
		case <-runCtx.Done():
			return Result{}, ctx.Err()
		}
		fmt.Fprintln(o.Out, e)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f.apply(e, number+1); err != nil {
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintf(o.Out, "          %s: %v\n", e.Kind, err)
			}
		}()
	}
	wg.Wait()
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	h, err := f.collect(begin.Add(total))
	if err != nil {
		return Result{}, err
	}
	return Check(h), nil
}

// collect adds what the upstreams observed and returns a copy of the history. It fails if a stand-in
// has failed.
func (f *Fleet) collect(end time.Time) (*History, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &f.history
	h.TrafficEnd = end
	for _, u := range f.upstreams {
		if u.web != nil {
			for _, r := range u.web.Runs() {
				h.Executions = append(h.Executions, Execution{RequestID: r.RequestID, Upstream: u.name, Service: u.service, Path: r.Path, Body: r.Body, At: r.At, BrokeOff: r.BrokeOff})
			}
			continue
		}
		for _, r := range u.engine.Runs() {
			h.Executions = append(h.Executions, Execution{
				RequestID: r.RequestID, Upstream: u.name, Service: u.service, Path: r.Path, Body: r.Body, Adapter: r.Adapter, Version: r.Version, At: r.At,
			})
		}
		for _, o := range u.engine.Orders() {
			h.Orders[o.Engine] = append(h.Orders[o.Engine], o)
		}
		if u.engine.Overfull() {
			h.OverfullEngines = append(h.OverfullEngines, u.name)
		}
	}
	snapshot := *h
	snapshot.Incarnations = slices.Clone(h.Incarnations)
	return &snapshot, f.failure
}

// balance updates the rotation until ctx ends, as the platform's load balancer does.
func (f *Fleet) balance(ctx context.Context) {
	missed := make(map[int]int)
	for ctx.Err() == nil {
		f.updateRotation(missed)
		select {
		case <-time.After(readinessInterval):
		case <-ctx.Done():
		}
	}
}

// updateRotation checks the readiness of each daemon and removes it from the rotation
// after maxMissedChecks failures. If no daemon is left, all daemons are in the rotation.
func (f *Fleet) updateRotation(missed map[int]int) {
	client := &http.Client{Timeout: readinessTimeout}
	defer client.CloseIdleConnections()
	var ready, all []int
	for _, d := range f.daemons {
		if d.isReady(client) {
			missed[d.index] = 0
		} else {
			missed[d.index]++
		}
		if missed[d.index] < maxMissedChecks {
			ready = append(ready, d.index)
		}
		all = append(all, d.index)
	}
	if len(ready) == 0 {
		ready = all
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotation = ready
}

// runCaller sends requests one after the other until ctx ends. It reuses its connection
// and at random opens a new connection to any daemon of the rotation.
func (f *Fleet) runCaller(ctx context.Context, number int, r *rand.Rand) {
	var c *caller.Caller
	target := 0
	for sequence := 0; ctx.Err() == nil; sequence++ {
		if c == nil || !c.Connected() || r.IntN(requestsPerConnection) == 0 {
			if c != nil {
				c.Close()
			}
			f.mu.Lock()
			target = f.rotation[r.IntN(len(f.rotation))]
			f.mu.Unlock()
			c = caller.New(f.daemons[target].callerLink.Addr)
		}
		a := drawRequest(r, number, sequence)
		a.Daemon = target
		a.Answer = c.Send(context.WithoutCancel(ctx), a.Request, answerMargin) // the last request may finish after ctx ends
		f.mu.Lock()
		f.history.Requests = append(f.history.Requests, a)
		f.mu.Unlock()
		time.Sleep(minRequestPause + time.Duration(r.Int64N(int64(maxRequestPause-minRequestPause))))
	}
	c.Close()
}

// drawRequest draws the class, path and adapter of a caller's next request.
func drawRequest(r *rand.Rand, number, sequence int) ClientRequest {
	a := ClientRequest{Class: []Class{ClassRead, ClassFixed, ClassCharge, ClassCharge, ClassChat}[r.IntN(5)]}
	a.Request = caller.Request{
		ID: fmt.Sprintf("q-%d-%d", number, sequence), Host: hostName, Path: fmt.Sprintf("/%s/%d", a.Class, r.IntN(100)),
		Body: fmt.Sprintf("body of %d of caller %d", sequence, number), Deadline: callDeadline,
	}
	if a.Class == ClassChat {
		a.Stream, a.Deadline, a.Prompt = true, chatDeadline, prompt(soundPart(sequence), number, sequence)
		if sequence%askPeriod == 0 {
			a.Class = ClassAsk
			a.Path = "/" + string(ClassAsk) + strings.TrimPrefix(a.Path, "/"+string(ClassChat))
		}
		// Most requests go to a few adapters.
		a.Model = model + "/" + adapterName(min(r.IntN(adapterCount), r.IntN(adapterCount)))
	}
	return a
}

// disturb records the start of a disturbance and returns the function that ends it.
func (f *Fleet) disturb(s Disturbance) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.From, s.To = time.Now(), time.Now().Add(time.Hour)
	i := len(f.history.Disturbances)
	f.history.Disturbances = append(f.history.Disturbances, s)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.history.Disturbances[i].To = time.Now()
	}
}

// markLatest records an event as the latest event on a target. The returned function
// reports whether the event is still the latest event on the target.
func (f *Fleet) markLatest(target string, number int) func() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[target] = number
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.latest[target] == number
	}
}

// apply carries out an event and returns when it has ended.
func (f *Fleet) apply(e Event, number int) error {
	switch e.Kind {
	case KindKill, KindStop:
		return f.replace(f.daemons[e.Target], e.Kind)
	case KindPause:
		return f.pause(f.daemons[e.Target], e.For)
	case KindReload:
		return f.daemons[e.Target].signal(syscall.SIGHUP)
	case KindCallerLink:
		f.applyLinkFault(e, number, Disturbance{Daemon: e.Target}, f.daemons[e.Target].callerLink.SetMode)
	case KindStoreLink:
		f.applyLinkFault(e, number, Disturbance{Daemon: e.Target}, f.daemons[e.Target].storeLink.SetMode)
	case KindPeerLink:
		f.applyLinkFault(e, number, Disturbance{Daemon: e.Target}, f.daemons[e.Target].peerLink.SetMode)
	case KindEngineLink:
		u := f.upstreams[e.Target]
		f.applyLinkFault(e, number, Disturbance{Daemon: allDaemons, Upstream: u.name}, u.link.SetMode)
	case KindServiceLink:
		u := f.upstreams[f.size.Engines+e.Target]
		f.applyLinkFault(e, number, Disturbance{Daemon: allDaemons, Upstream: u.name}, u.link.SetMode)
	case KindStoreBusy, KindStoreHang, KindStoreWritesLost:
		f.applyStoreFault(e, number)
	case KindStoreCompact:
		f.store.Compact()
	case KindEngineRestart:
		f.restartEngine(f.upstreams[e.Target])
	case KindOrdersLost:
		f.upstreams[e.Target].engine.LoseAnswers(lostOrders)
	case KindAnswersLost:
		f.loseAnswers(e, number, f.upstreams[f.size.Engines+e.Target])
	case KindConfig:
		f.PutNextConfig()
	case KindVersion:
		f.PutNextVersion(adapterName(e.Target))
	case KindDrain:
		f.drain(f.upstreams[f.size.Engines+e.Target], max(e.For, minDrainTime))
	}
	return nil
}

// applyLinkFault sets the mode of a link for the length of an event.
func (f *Fleet) applyLinkFault(e Event, number int, s Disturbance, setMode func(LinkMode)) {
	defer f.disturb(s)()
	isLast := f.markLatest(fmt.Sprint(e.Kind, e.Target), number)
	setMode(e.Mode)
	time.Sleep(e.For)
	if isLast() {
		setMode(ModeOpen)
	}
}

// loseAnswers makes an upstream run requests and drop their connections for a while.
func (f *Fleet) loseAnswers(e Event, number int, u *upstream) {
	defer f.disturb(Disturbance{Daemon: allDaemons, Upstream: u.name})()
	isLast := f.markLatest(fmt.Sprint(e.Kind, e.Target), number)
	u.web.SetDropAnswers(true)
	time.Sleep(e.For)
	if isLast() {
		u.web.SetDropAnswers(false)
	}
}

// replace stops or kills a daemon's process and starts the next one.
func (f *Fleet) replace(d *daemon, k EventKind) error {
	if !d.replacing.TryLock() {
		return nil // another event is replacing the process
	}
	defer d.replacing.Unlock()
	defer f.disturb(Disturbance{Daemon: d.index, Planned: k == KindStop})()
	sig, timeout := syscall.SIGKILL, killTimeout
	if k == KindStop {
		sig, timeout = syscall.SIGTERM, gracePeriod+time.Second
	}
	if err := f.end(d, sig, timeout); err != nil {
		return err
	}
	if err := f.start(d); err != nil {
		return err
	}
	f.waitReady(d, readyTimeout) // if the daemon does not get ready, Check finds the requests that fail
	return nil
}

// pause stops a daemon's process with SIGSTOP for a while.
func (f *Fleet) pause(d *daemon, length time.Duration) error {
	defer f.disturb(Disturbance{Daemon: d.index})()
	if err := d.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	return d.signal(syscall.SIGCONT)
}

// applyStoreFault sets a fault of the object store for the length of an event.
func (f *Fleet) applyStoreFault(e Event, number int) {
	defer f.disturb(Disturbance{Daemon: allDaemons})()
	isLast := f.markLatest("store", number)
	f.store.SetFault(storeFaults[e.Kind])
	time.Sleep(e.For)
	if isLast() {
		f.store.SetFault(objectstore.FaultNone)
	}
}

// restartEngine resets the connections of an engine and restarts it with a new identity at
// the same address. The engine is listed again after engineUnlistedTime.
func (f *Fleet) restartEngine(u *upstream) {
	defer f.disturb(Disturbance{Daemon: allDaemons, Upstream: u.name})()
	f.mu.Lock()
	f.restarts++
	id := fmt.Sprintf("%s-%d", u.name, f.restarts)
	old := u.id
	u.id = id
	f.mu.Unlock()
	u.link.resetAll()
	u.engine.Restart(id)
	operator.DropUpstream(f.store, old)
	time.Sleep(engineUnlistedTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.id == id { // not restarted again meanwhile
		f.register(u, "ready")
	}
}

// drain lists an upstream as draining for a while. It does nothing if the upstream is
// draining already.
func (f *Fleet) drain(u *upstream, length time.Duration) {
	f.mu.Lock()
	for _, d := range f.history.Drains {
		if d.Upstream == u.name && d.To.After(time.Now()) {
			f.mu.Unlock()
			return
		}
	}
	f.register(u, "draining")
	now := time.Now()
	f.history.Drains = append(f.history.Drains, DrainPeriod{u.name, now, now.Add(length)})
	f.mu.Unlock()
	time.Sleep(length)
	f.register(u, "ready")
}
