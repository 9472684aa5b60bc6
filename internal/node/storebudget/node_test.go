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
	hop   = time.Millisecond
	rate  = 3000            // thousandths of a load a second
	grown = 5 * time.Second // until base shares count
)

// network joins nodes and can be cut.
type network struct {
	mu    sync.Mutex
	nodes map[state.DaemonID]*daemon
	cut   bool
	asks  int
}

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

func (d *daemon) RequestShare(_ context.Context, to peer.Peer, ask budget.ShareRequest) (budget.Grant, error) {
	time.Sleep(hop)
	d.net.mu.Lock()
	lender, cut := d.net.nodes[to.ID], d.net.cut
	d.net.asks++
	d.net.mu.Unlock()
	if cut {
		return budget.Grant{}, errors.New("cut off")
	}
	return lender.node.HandleShareRequest(d.id, ask), nil
}

// rate returns the sum of the rates of a daemon's engines, in thousandths.
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

func (d *daemon) want(waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.demands {
		d.demands[i].PendingLoads = waiting
		d.demands[i].Urgency = float64(waiting)
	}
}

// start runs two daemons that own two engines each and are known to be alone.
func start(t *testing.T) (net *network, a, b *daemon) { return startAlone(t, true) }

// startAlone runs two daemons; aAlone says whether daemon a is proven alone.
func startAlone(t *testing.T, aAlone bool) (net *network, a, b *daemon) {
	net = &network{nodes: make(map[state.DaemonID]*daemon)}
	for _, id := range []state.DaemonID{"a", "b"} {
		d := &daemon{net: net, id: id, budgets: make(map[state.UpstreamID]core.StoreBudget)}
		for i := range 2 {
			d.demands = append(d.demands, owner.StoreDemand{
				Upstream: state.UpstreamID(fmt.Sprintf("%s-%d", id, i)), Exclusive: id != "a" || aAlone, MayLoad: true,
			})
		}
		d.node = storebudget.New(storebudget.Options{
			Limits: budget.Limits{
				Total:   budget.Amount{Rate: rate, InFlight: 8 * budget.Unit},
				Engines: 4, GrantTTL: budget.DefaultGrantTTL, MaxClockDrift: budget.DefaultMaxClockDrift, LossDetectionDelay: budget.DefaultLossDetectionDelay,
			},
			Engines: d, Peers: d, Clock: time.Now,
		})
		net.nodes[id] = d
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, d := range net.nodes {
		running.Go(func() { d.node.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return net, net.nodes["a"], net.nodes["b"]
}

func TestShareMovesToTheDaemonWithDemandAndBackWhenItIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, a, b := start(t)
		time.Sleep(grown)
		qt.Check(t, a.rate(), qt.Equals, rate/2)
		qt.Check(t, net.asks, qt.Equals, 0) // nothing is wanted, nothing is sent
		b.want(3)
		time.Sleep(time.Second)
		qt.Check(t, b.rate(), qt.Equals, rate)
		qt.Check(t, a.rate(), qt.Equals, 0)
		net.mu.Lock()
		net.cut = true
		net.mu.Unlock()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			qt.Assert(t, a.rate()+b.rate() <= rate, qt.IsTrue)
		}
		qt.Check(t, a.rate(), qt.Equals, rate/2)
		qt.Check(t, b.rate(), qt.Equals, rate/2)
	})
}

func TestOwnerWithoutProofOfBeingAloneTakesNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _ := startAlone(t, false)
		time.Sleep(grown)
		qt.Check(t, a.rate(), qt.Equals, 0)
	})
}
