package ownership_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
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

// store is the object store of one zone.
type store struct {
	platform.ObjectStore
	mu       sync.Mutex
	revision platform.Version
	objects  map[string]platform.Object
	down     bool
}

// storeClient is the connection of one daemon to the store.
type storeClient struct {
	*store
	partitioned bool
	readDelay   time.Duration
	calls       int
}

var errUnreachable = errors.New("object store or peer is unreachable")

func (c *storeClient) call() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.down || c.partitioned {
		return errUnreachable
	}
	return nil
}

func (c *storeClient) Get(_ context.Context, key string) (platform.Object, error) {
	if err := c.call(); err != nil {
		return platform.Object{}, err
	}
	c.mu.Lock()
	delay := c.readDelay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (c *storeClient) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if err := c.call(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objects[key].Version != base {
		return 0, platform.ErrConflict
	}
	c.revision++
	c.objects[key] = platform.Object{Key: key, Version: c.revision, Value: value}
	return c.revision, nil
}

// daemon is a Node with fakes of its dependencies.
type daemon struct {
	*ownership.Node
	zone        *zone
	id          state.DaemonID
	incarnation state.Incarnation
	storeClient *storeClient
	alive       bool
	diedAt      time.Time
	assignable  bool
}

func (d *daemon) Own(*state.Upstream, owner.Permissions) {}
func (d *daemon) Disown(state.UpstreamID)                {}
func (d *daemon) Idle(state.UpstreamID) bool             { return true }
func (d *daemon) DaemonCount() int                       { return len(d.zone.daemons) }

func (d *daemon) Gone(id state.DaemonID) bool {
	return !slices.ContainsFunc(d.zone.daemons, func(o *daemon) bool { return o.id == id && o.alive })
}

func (d *daemon) LiveIncarnations() []lease.Session {
	var live []lease.Session
	for _, o := range d.zone.daemons {
		if o != d && o.heard() {
			live = append(live, lease.Session{Daemon: o.id, Incarnation: o.incarnation})
		}
	}
	return live
}

// heard reports whether the other daemons consider d alive.
func (d *daemon) heard() bool { return d.alive || time.Since(d.diedAt) < silentAfter }

func (d *daemon) Ask(_ context.Context, to state.DaemonID, ask protocol.OwnershipRequest) (protocol.OwnershipReply, error) {
	for _, o := range d.zone.daemons {
		if o.id == to && o.alive {
			return o.HandleAsk(d.id, ask), nil
		}
	}
	return protocol.OwnershipReply{}, errUnreachable
}

type zone struct {
	store   *store
	daemons []*daemon
}

func newZone(n int) *zone {
	z := &zone{store: &store{objects: make(map[string]platform.Object)}}
	for i := range n {
		z.daemons = append(z.daemons, &daemon{
			zone: z, id: state.DaemonID(fmt.Sprintf("d%d", i)), incarnation: "1", alive: true, assignable: true,
			storeClient: &storeClient{store: z.store},
		})
	}
	for _, d := range z.daemons {
		d.Node = ownership.New(ownership.Options{
			Self: d.id, Incarnation: d.incarnation, Objects: d.storeClient, Owner: d, Members: d, Asker: d, Clock: time.Now,
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

// wait lets virtual time pass until done returns true, but at most for limit. It returns the
// virtual time that has passed.
func (z *zone) wait(limit time.Duration, done func() bool) time.Duration {
	const step = 50 * time.Millisecond
	start := time.Now()
	for !done() && time.Since(start) < limit {
		z.assign()
		time.Sleep(step)
		synctest.Wait()
	}
	return time.Since(start)
}

// assign assigns the upstreams to the live daemons by rendezvous hashing.
func (z *zone) assign() {
	var live []state.DaemonID
	for _, d := range z.daemons {
		if d.heard() && d.assignable {
			live = append(live, d.id)
		}
	}
	for i := range upstreams {
		u := &state.Upstream{ID: state.UpstreamID(fmt.Sprintf("u%d", i)), Kind: state.KindPlain}
		assignee := state.RendezvousOwner(string(u.ID), live)
		for _, d := range z.daemons {
			if d.alive {
				d.SetAssigned(u, assignee == d.id)
			}
		}
	}
}

// served reports whether every upstream has a live daemon that may dispatch to it.
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
		total += d.storeClient.calls
	}
	return total
}

func TestCrashedOwnerIsReplacedInBoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(3)
		defer z.close()
		t.Logf("start: served after %v", z.wait(time.Minute, z.served))
		d := z.daemons[0]
		d.storeClient.partitioned, d.alive, d.diedAt = true, false, time.Now()
		qt.Assert(t, z.served(), qt.IsFalse)
		took := z.wait(time.Minute, z.served)
		t.Logf("crash: served again after %v", took)
		qt.Assert(t, took <= silentAfter+5*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

func TestReleasedUpstreamsHaveANewOwnerWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(3)
		defer z.close()
		z.wait(time.Minute, z.served)
		z.daemons[0].assignable = false
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

func TestOwnersDispatchThroughAnOutageOfTheObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(3)
		defer z.close()
		z.wait(time.Minute, z.served)
		logCallRate := func(phase string, d time.Duration) {
			before := z.calls()
			z.wait(d, func() bool { return false })
			t.Logf("%s: %.1f calls per daemon and minute", phase, float64(z.calls()-before)/float64(len(z.daemons))/d.Minutes())
		}
		logCallRate("idle", 3*time.Minute)
		z.store.down = true
		logCallRate("outage", 5*time.Minute)
		qt.Assert(t, z.served(), qt.IsTrue)
		for _, s := range z.daemons[0].Status() {
			if s.Owned {
				qt.Assert(t, s.Reasons, qt.Contains, core.ReasonNoLease)
			}
		}
		z.store.down = false
		logCallRate("after the outage", time.Minute)
		qt.Assert(t, z.served(), qt.IsTrue)
		qt.Assert(t, time.Now().Before(z.daemons[0].LeaseValidUntil()), qt.IsTrue)
	})
}

// TestAForgottenUpstreamIsNotClaimed guards against a call in flight whose result makes a daemon claim an
// upstream that has left the list meanwhile.
func TestAForgottenUpstreamIsNotClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(1)
		defer z.close()
		d := z.daemons[0]
		time.Sleep(time.Second) // the daemon has its lease
		z.store.mu.Lock()
		d.storeClient.readDelay = 500 * time.Millisecond
		z.store.mu.Unlock()
		d.SetAssigned(&state.Upstream{ID: "gone", Kind: state.KindEngine}, true)
		time.Sleep(100 * time.Millisecond)
		d.Forget("gone")
		time.Sleep(5 * time.Second)
		z.store.mu.Lock()
		defer z.store.mu.Unlock()
		for key := range z.store.objects {
			qt.Check(t, strings.Contains(key, "gone"), qt.IsFalse, qt.Commentf("%s", key))
		}
	})
}
