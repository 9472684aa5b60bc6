package storebudget_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	core "github.com/celerydeck/celerydeck/internal/coordination/owner"
	budget "github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/storebudget"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	networkDelay   = time.Millisecond
	totalRate      = 3000            // thousandths of a load a second
	baseShareDelay = 5 * time.Second // enough for base shares to become usable
)

// network connects daemons. While it is cut, no request arrives.
type network struct {
	mu       sync.Mutex
	daemons  map[state.DaemonID]*daemon
	cut      bool
	requests int // number of requests sent
}

// daemon is a node with its engines and peers.
type daemon struct {
	net  *network
	id   state.DaemonID
	node *storebudget.Node

	mu      sync.Mutex
	demands []owner.StoreDemand
	budgets map[state.UpstreamID]core.StoreBudget
}

func (d *daemon) StoreDemands() []owner.StoreDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]owner.StoreDemand(nil), d.demands...)
}

func (d *daemon) SetStoreBudget(id state.UpstreamID, b core.StoreBudget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgets[id] = b
}

func (d *daemon) Lenders() []peer.Peer {
	var peers []peer.Peer
	for _, id := range []state.DaemonID{"a", "b"} {
		if id != d.id {
			peers = append(peers, peer.Peer{ID: id})
		}
	}
	return peers
}

func (d *daemon) RequestShare(_ context.Context, to peer.Peer, request budget.ShareRequest) (budget.Grant, error) {
	time.Sleep(networkDelay)
	d.net.mu.Lock()
	lender, cut := d.net.daemons[to.ID], d.net.cut
	d.net.requests++
	d.net.mu.Unlock()
	if cut {
		return budget.Grant{}, errors.New("network is cut")
	}
	return lender.node.HandleShareRequest(d.id, request), nil
}

// rate returns the sum of the valid rates of a daemon's engines, in thousandths of a
// load a second.
func (d *daemon) rate() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, b := range d.budgets {
		if b.Until.IsZero() || time.Now().Before(b.Until) {
			sum += int(math.Round(b.Rate * budget.Unit))
		}
	}
	return sum
}

// setPendingLoads sets the number of pending loads of each engine.
func (d *daemon) setPendingLoads(pending int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.demands {
		d.demands[i].PendingLoads = pending
		d.demands[i].Urgency = float64(pending)
	}
}

// startDaemons runs two daemons, a and b, with two engines each. Daemon b is known to be
// the only daemon that may load on its engines. The parameter aAlone sets whether daemon a
// is known to be the only daemon that may load on its own engines.
func startDaemons(t *testing.T, aAlone bool) (net *network, a, b *daemon) {
	net = &network{daemons: make(map[state.DaemonID]*daemon)}
	for _, id := range []state.DaemonID{"a", "b"} {
		d := &daemon{net: net, id: id, budgets: make(map[state.UpstreamID]core.StoreBudget)}
		for i := range 2 {
			d.demands = append(d.demands, owner.StoreDemand{
				Upstream: state.UpstreamID(fmt.Sprintf("%s-%d", id, i)), Exclusive: id != "a" || aAlone, MayLoad: true,
			})
		}
		d.node = storebudget.New(storebudget.Options{
			Limits: budget.Limits{
				Total:   budget.Amount{Rate: totalRate, InFlight: 8 * budget.Unit},
				Engines: 4, GrantTTL: budget.DefaultGrantTTL, MaxClockDrift: budget.DefaultMaxClockDrift, LossDetectionDelay: budget.DefaultLossDetectionDelay,
			},
			Engines: d, Peers: d, Clock: time.Now,
		})
		net.daemons[id] = d
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, d := range net.daemons {
		running.Go(func() { d.node.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return net, net.daemons["a"], net.daemons["b"]
}

func TestLentShareReturnsToItsLenderAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, a, b := startDaemons(t, true)
		time.Sleep(baseShareDelay)
		qt.Check(t, a.rate(), qt.Equals, totalRate/2)
		qt.Check(t, net.requests, qt.Equals, 0) // without demand no requests are sent
		b.setPendingLoads(3)
		time.Sleep(time.Second)
		qt.Check(t, b.rate(), qt.Equals, totalRate)
		qt.Check(t, a.rate(), qt.Equals, 0)
		net.mu.Lock()
		net.cut = true
		net.mu.Unlock()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			qt.Assert(t, a.rate()+b.rate() <= totalRate, qt.IsTrue)
		}
		qt.Check(t, a.rate(), qt.Equals, totalRate/2)
		qt.Check(t, b.rate(), qt.Equals, totalRate/2)
	})
}

func TestDaemonNotKnownToBeTheOnlyLoaderGetsNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _ := startDaemons(t, false)
		time.Sleep(baseShareDelay)
		qt.Check(t, a.rate(), qt.Equals, 0)
	})
}
