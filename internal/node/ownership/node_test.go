package ownership_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/lease"
	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	core "github.com/celerydeck/celerydeck/internal/coordination/ownership"
	"github.com/celerydeck/celerydeck/internal/node/ownership"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	silentAfter = 3 * time.Second
	upstreams   = 16
)

// store is the platform of one zone.
type store struct {
	platform.ObjectStore
	mu       sync.Mutex
	revision platform.Version
	objects  map[string]platform.Object
	down     bool
}

// view is the store as one daemon reaches it.
type view struct {
	*store
	cut   bool
	calls int
}

var errDown = errors.New("store is down")

func (v *view) enter() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if v.down || v.cut {
		return errDown
	}
	return nil
}

func (v *view) Get(_ context.Context, key string) (platform.Object, error) {
	if err := v.enter(); err != nil {
		return platform.Object{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	o, ok := v.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (v *view) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if err := v.enter(); err != nil {
		return 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.objects[key].Version != base {
		return 0, platform.ErrConflict
	}
	v.revision++
	v.objects[key] = platform.Object{Key: key, Version: v.revision, Value: value}
	return v.revision, nil
}

// daemon is a Node with the fakes around it.
type daemon struct {
	*ownership.Node
	zone  *zone
	id    state.DaemonID
	run   state.Incarnation
	view  *view
	alive bool
	died  time.Time
	wants bool
}

func (d *daemon) Own(*state.Upstream, owner.Permissions) {}
func (d *daemon) Disown(state.UpstreamID)                {}
func (d *daemon) Idle(state.UpstreamID) bool             { return true }
func (d *daemon) DaemonCount() int                       { return len(d.zone.daemons) }

func (d *daemon) Gone(id state.DaemonID) bool {
	return !slices.ContainsFunc(d.zone.daemons, func(o *daemon) bool { return o.id == id && o.alive })
}

func (d *daemon) LiveIncarnations() []lease.Session {
	var runs []lease.Session
	for _, o := range d.zone.daemons {
		if o != d && o.heard() {
			runs = append(runs, lease.Session{Daemon: o.id, Incarnation: o.run})
		}
	}
	return runs
}

func (d *daemon) heard() bool { return d.alive || time.Since(d.died) < silentAfter }

func (d *daemon) Ask(_ context.Context, to state.DaemonID, ask protocol.OwnershipAsk) (protocol.OwnershipAnswer, error) {
	for _, o := range d.zone.daemons {
		if o.id == to && o.alive {
			return o.HandleAsk(d.id, ask), nil
		}
	}
	return protocol.OwnershipAnswer{}, errDown
}

type zone struct {
	store   *store
	daemons []*daemon
}

func newZone(n int) *zone {
	z := &zone{store: &store{objects: make(map[string]platform.Object)}}
	for i := range n {
		z.daemons = append(z.daemons, &daemon{
			zone: z, id: state.DaemonID(fmt.Sprintf("d%d", i)), run: "1", alive: true, wants: true,
			view: &view{store: z.store},
		})
	}
	for _, d := range z.daemons {
		d.Node = ownership.New(ownership.Options{
			Self: d.id, Incarnation: d.run, Objects: d.view, Owner: d, Members: d, Asker: d, Clock: time.Now,
		})
		d.Start()
	}
	return z
}

func (z *zone) close() {
	for _, d := range z.daemons {
		d.Close()
	}
}

// wait lets virtual time pass until done, and returns how long it took.
func (z *zone) wait(limit time.Duration, done func() bool) time.Duration {
	const gap = 50 * time.Millisecond
	start := time.Now()
	for !done() && time.Since(start) < limit {
		z.assign()
		time.Sleep(gap)
		synctest.Wait()
	}
	return time.Since(start)
}

func (z *zone) assign() {
	var live []state.DaemonID
	for _, d := range z.daemons {
		if d.heard() && d.wants {
			live = append(live, d.id)
		}
	}
	for i := range upstreams {
		u := &state.Upstream{ID: state.UpstreamID(fmt.Sprintf("u%d", i)), Kind: state.KindPlain}
		want := state.RendezvousOwner(string(u.ID), live)
		for _, d := range z.daemons {
			if d.alive {
				d.SetAssigned(u, want == d.id)
			}
		}
	}
}

// served reports whether every upstream has a live daemon that may dispatch.
func (z *zone) served() bool {
	owned := make(map[state.UpstreamID]bool)
	for _, d := range z.daemons {
		if !d.alive {
			continue
		}
		for _, s := range d.Status() {
			owned[s.Upstream] = owned[s.Upstream] || s.MayDispatch
		}
	}
	for _, ok := range owned {
		if !ok {
			return false
		}
	}
	return len(owned) == upstreams
}

func (z *zone) calls() int {
	total := 0
	for _, d := range z.daemons {
		total += d.view.calls
	}
	return total
}

func TestCrashedOwnerIsReplacedInBoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(3)
		defer z.close()
		t.Logf("start: served after %v", z.wait(time.Minute, z.served))
		d := z.daemons[0]
		d.view.cut, d.alive, d.died = true, false, time.Now()
		qt.Assert(t, z.served(), qt.IsFalse)
		took := z.wait(time.Minute, z.served)
		t.Logf("crash: served again after %v", took)
		qt.Assert(t, took <= silentAfter+5*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

func TestReleasedUpstreamsAreNeverWithoutAnOwnerForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(3)
		defer z.close()
		z.wait(time.Minute, z.served)
		z.daemons[0].wants = false
		var longest time.Duration
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			longest = max(longest, z.wait(time.Minute, z.served))
			z.wait(100*time.Millisecond, func() bool { return false })
		}
		for _, s := range z.daemons[0].Status() {
			qt.Assert(t, s.Owned, qt.IsFalse)
		}
		t.Logf("release: at most %v without an owner", longest)
		qt.Assert(t, longest <= time.Second, qt.IsTrue, qt.Commentf("%v", longest))
	})
}

func TestOwnersDispatchThroughAnOutageOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(3)
		defer z.close()
		z.wait(time.Minute, z.served)
		perMinute := func(what string, d time.Duration) {
			before := z.calls()
			z.wait(d, func() bool { return false })
			t.Logf("%s: %.1f calls per daemon and minute", what, float64(z.calls()-before)/float64(len(z.daemons))/d.Minutes())
		}
		perMinute("idle", 3*time.Minute)
		z.store.down = true
		perMinute("outage", 5*time.Minute)
		qt.Assert(t, z.served(), qt.IsTrue)
		for _, s := range z.daemons[0].Status() {
			if s.Owned {
				qt.Assert(t, s.Reasons, qt.Contains, core.ReasonNoLease)
			}
		}
		z.store.down = false
		perMinute("after the outage", time.Minute)
		qt.Assert(t, z.served(), qt.IsTrue)
		qt.Assert(t, time.Now().Before(z.daemons[0].LeaseValidUntil()), qt.IsTrue)
	})
}
