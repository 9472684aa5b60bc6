// Package soak runs the real daemons as separate processes against the stand-ins,
// disturbs them from outside, and checks from what callers and upstreams see that the
// promises hold. A seed fixes the faults and the changes, not the timing.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/caller"
	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
	"github.com/celerydeck/celerydeck/internal/standin/operator"
)

const (
	hostName      = "deck.example"
	callDeadline  = 2 * time.Second
	chatDeadline  = 4 * time.Second
	answerMargin  = 1500 * time.Millisecond // beyond the deadline, until a caller gives up
	callerCount   = 16
	minPause      = 10 * time.Millisecond // between the requests of a caller
	maxPause      = 60 * time.Millisecond
	rotationEvery = time.Second // between the balancer's readiness checks
	missesToLeave = 2
	checkTimeout  = 500 * time.Millisecond
	engineAway    = 400 * time.Millisecond // until an engine that starts anew is listed
	lostOrders    = 3
	minDrain      = 3 * time.Second
	stayOneIn     = 8 // requests after which a caller takes a new connection
)

// storeFaults names what the store does in an event.
var storeFaults = map[Kind]objectstore.Fault{
	KindStoreBusy: objectstore.FaultUnavailable,
	KindStoreMute: objectstore.FaultHang,
	KindStoreLost: objectstore.FaultLoseAnswers,
}

// Options are the options of a run.
type Options struct {
	Binary string // the daemon's program
	Dir    string // for settings and logs
	Seed   uint64
	Size   Size
	Out    io.Writer // what happens, a line each
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Verdict, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Verdict{}, fmt.Errorf("soak: directory of the run: %w", err)
	}
	f, err := NewFleet(o.Binary, o.Dir, o.Size)
	if err != nil {
		return Verdict{}, err
	}
	defer f.Close()
	plan := Plan(o.Seed, o.Size)
	total := o.Size.Calm + o.Size.Trouble + o.Size.Recovery
	begin := time.Now()
	f.history.Begin = begin
	f.history.Recovery = begin.Add(o.Size.Calm + o.Size.Trouble)
	f.rotate(map[int]int{})
	running, stop := context.WithDeadline(ctx, begin.Add(total))
	defer stop()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); f.balance(running) }()
	for i := range callerCount {
		wg.Add(1)
		go func() { defer wg.Done(); f.call(running, i, rand.New(rand.NewPCG(o.Seed, uint64(100+i)))) }()
	}
	var mu sync.Mutex
	for number, e := range plan {
		select {
		case <-time.After(time.Until(begin.Add(e.At))):
		case <-running.Done():
			return Verdict{}, ctx.Err()
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
		return Verdict{}, ctx.Err()
	}
	return Check(f.collect(begin.Add(total))), nil
}

// collect completes the history with what the upstreams saw.
func (f *Fleet) collect(end time.Time) *History {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &f.history
	h.End = end
	for _, u := range f.upstreams {
		if u.web != nil {
			for _, r := range u.web.Runs() {
				h.Runs = append(h.Runs, Ran{RequestID: r.RequestID, Upstream: u.name, Service: u.service, Path: r.Path, Body: r.Body, At: r.At})
			}
			continue
		}
		for _, r := range u.engine.Runs() {
			h.Runs = append(h.Runs, Ran{
				RequestID: r.RequestID, Upstream: u.name, Service: u.service, Path: r.Path, Body: r.Body, Adapter: r.Adapter, Version: r.Version, At: r.At,
			})
		}
		for _, o := range u.engine.Orders() {
			h.Orders[o.Engine] = append(h.Orders[o.Engine], o)
		}
		if u.engine.Overfull() {
			h.Overfull = append(h.Overfull, u.name)
		}
	}
	copied := *h
	copied.Lives = slices.Clone(h.Lives)
	return &copied
}

// balance keeps the daemons that callers are sent to, as the platform does.
func (f *Fleet) balance(ctx context.Context) {
	missed := make(map[int]int)
	for ctx.Err() == nil {
		f.rotate(missed)
		select {
		case <-time.After(rotationEvery):
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) rotate(missed map[int]int) {
	client := &http.Client{Timeout: checkTimeout}
	defer client.CloseIdleConnections()
	var in, all []int
	for _, d := range f.daemons {
		if d.isReady(client) {
			missed[d.index] = 0
		} else {
			missed[d.index]++
		}
		if missed[d.index] < missesToLeave {
			in = append(in, d.index)
		}
		all = append(all, d.index)
	}
	if len(in) == 0 {
		in = all
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotation = in
}

// call is one caller: it asks one request after the other, over connections that it
// keeps until they end or it has had enough of one.
func (f *Fleet) call(ctx context.Context, number int, r *rand.Rand) {
	var c *caller.Caller
	at := 0
	for asked := 0; ctx.Err() == nil; asked++ {
		if c == nil || !c.Connected() || r.IntN(stayOneIn) == 0 {
			if c != nil {
				c.Close()
			}
			f.mu.Lock()
			at = f.rotation[r.IntN(len(f.rotation))]
			f.mu.Unlock()
			c = caller.New(f.daemons[at].front.Addr)
		}
		a := drawRequest(r, number, asked)
		a.Daemon = at
		a.Answer = c.Send(context.WithoutCancel(ctx), a.Request, answerMargin) // a last request is waited for
		f.mu.Lock()
		f.history.Asks = append(f.history.Asks, a)
		f.mu.Unlock()
		time.Sleep(minPause + time.Duration(r.Int64N(int64(maxPause-minPause))))
	}
	c.Close()
}

func drawRequest(r *rand.Rand, number, asked int) Asked {
	a := Asked{Class: []Class{ClassRead, ClassFixed, ClassCharge, ClassCharge, ClassChat}[r.IntN(5)]}
	a.Request = caller.Request{
		ID: fmt.Sprintf("q-%d-%d", number, asked), Host: hostName, Path: fmt.Sprintf("/%s/%d", a.Class, r.IntN(100)),
		Body: fmt.Sprintf("body of %d of caller %d", asked, number), Deadline: callDeadline,
	}
	if a.Class == ClassChat {
		a.Stream, a.Deadline = true, chatDeadline
		// Few adapters are asked for by most requests.
		a.Model = model + "/" + adapterName(min(r.IntN(adapterCount), r.IntN(adapterCount)))
	}
	return a
}

// disturb notes that something is disturbed from now on, and returns what ends it.
func (f *Fleet) disturb(s Span) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.From, s.To = time.Now(), time.Now().Add(time.Hour)
	i := len(f.history.Spans)
	f.history.Spans = append(f.history.Spans, s)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.history.Spans[i].To = time.Now()
	}
}

// last notes an event as the last one on something, and returns whether it still is.
func (f *Fleet) last(what string, number int) func() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[what] = number
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.latest[what] == number
	}
}

// apply carries out an event to its end.
func (f *Fleet) apply(e Event, number int) error {
	switch e.Kind {
	case KindKill, KindStop:
		return f.replace(f.daemons[e.Target], e.Kind)
	case KindPause:
		return f.pause(f.daemons[e.Target], e.For)
	case KindReload:
		return f.daemons[e.Target].signal(syscall.SIGHUP)
	case KindCallerLink:
		f.bend(e, number, Span{Daemon: e.Target}, f.daemons[e.Target].front.Set)
	case KindStoreLink:
		f.bend(e, number, Span{Daemon: e.Target}, f.daemons[e.Target].store.Set)
	case KindPeerLink:
		f.bend(e, number, Span{Daemon: e.Target}, f.daemons[e.Target].peers.Set)
	case KindEngineLink:
		u := f.upstreams[e.Target]
		f.bend(e, number, Span{Daemon: anyDaemon, Upstream: u.name}, u.link.Set)
	case KindServiceLink:
		u := f.upstreams[f.size.Engines+e.Target]
		f.bend(e, number, Span{Daemon: anyDaemon, Upstream: u.name}, u.link.Set)
	case KindStoreBusy, KindStoreMute, KindStoreLost:
		f.bendStore(e, number)
	case KindStoreForget:
		f.store.Compact()
	case KindEngineDies:
		f.renew(f.upstreams[e.Target])
	case KindOrdersLost:
		f.upstreams[e.Target].engine.LoseAnswers(lostOrders)
	case KindAnswersLost:
		f.loseAnswers(e, number, f.upstreams[f.size.Engines+e.Target])
	case KindConfig:
		f.Configure()
	case KindVersion:
		f.Announce(adapterName(e.Target))
	case KindDrain:
		f.drain(f.upstreams[f.size.Engines+e.Target], max(e.For, minDrain))
	}
	return nil
}

func (f *Fleet) bend(e Event, number int, s Span, set func(Mode)) {
	defer f.disturb(s)()
	isLast := f.last(fmt.Sprint(e.Kind, e.Target), number)
	set(e.Mode)
	time.Sleep(e.For)
	if isLast() {
		set(ModeOpen)
	}
}

// loseAnswers makes an upstream run requests and break off for a while.
func (f *Fleet) loseAnswers(e Event, number int, u *upstream) {
	defer f.disturb(Span{Daemon: anyDaemon, Upstream: u.name})()
	isLast := f.last(fmt.Sprint(e.Kind, e.Target), number)
	u.web.SetDropAnswers(true)
	time.Sleep(e.For)
	if isLast() {
		u.web.SetDropAnswers(false)
	}
}

// replace ends a daemon's process and starts the next one.
func (f *Fleet) replace(d *daemon, k Kind) error {
	if !d.turn.TryLock() {
		return nil // it is being replaced already
	}
	defer d.turn.Unlock()
	defer f.disturb(Span{Daemon: d.index, Planned: k == KindStop})()
	s, within := syscall.SIGKILL, killedWithin
	if k == KindStop {
		s, within = syscall.SIGTERM, grace+time.Second
	}
	if err := f.end(d, s, within); err != nil {
		return err
	}
	if err := f.start(d); err != nil {
		return err
	}
	f.waitReady(d, readyWithin) // what it does not serve shows in the checks
	return nil
}

func (f *Fleet) pause(d *daemon, length time.Duration) error {
	defer f.disturb(Span{Daemon: d.index})()
	if err := d.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	return d.signal(syscall.SIGCONT)
}

func (f *Fleet) bendStore(e Event, number int) {
	defer f.disturb(Span{Daemon: anyDaemon})()
	isLast := f.last("store", number)
	f.store.SetFault(storeFaults[e.Kind])
	time.Sleep(e.For)
	if isLast() {
		f.store.SetFault(objectstore.FaultNone)
	}
}

// renew ends an engine with all its connections; another one takes its address.
func (f *Fleet) renew(u *upstream) {
	defer f.disturb(Span{Daemon: anyDaemon, Upstream: u.name})()
	f.mu.Lock()
	f.restarts++
	id := fmt.Sprintf("%s-%d", u.name, f.restarts)
	old := u.id
	u.id = id
	f.mu.Unlock()
	u.link.breakAll()
	u.engine.Restart(id)
	operator.DropUpstream(f.store, old)
	time.Sleep(engineAway)
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.id == id { // not renewed again meanwhile
		f.register(u, "ready")
	}
}

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
	f.history.Drains = append(f.history.Drains, Drained{u.name, now, now.Add(length)})
	f.mu.Unlock()
	time.Sleep(length)
	f.register(u, "ready")
}
