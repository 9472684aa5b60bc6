package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/owner"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	hopTime        = time.Millisecond
	reportInterval = 250 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
)

// coreHost runs the owner core of one engine and executes the core's actions, as a daemon
// does outside the simulation.
type coreHost struct {
	sim      *simulation
	upstream state.Upstream
	core     owner.Core
	engine   *engine
	calls    map[string]*call
	loadRNG  *rand.Rand // draws failing loads
}

// handle passes an event to the core and executes the resulting actions.
func (h *coreHost) handle(event owner.Event) {
	for _, action := range h.core.Handle(h.sim.clock.now, event) {
		h.execute(action)
	}
}

func (h *coreHost) execute(action owner.Action) {
	switch a := action.(type) {
	case owner.Dispatch:
		c := h.calls[a.ID]
		c.dispatched = true
		h.endStall(c)
		h.sim.clock.after(hopTime, func() { h.dispatch(c, a.ID) })
	case owner.Refuse:
		c := h.calls[a.ID]
		delete(h.calls, a.ID)
		h.endStall(c)
		h.sim.clock.after(hopTime, func() { h.sim.handleRefusal(c, h.engine.id, a) })
	case owner.Abort:
		h.engine.cancel(h.calls[a.ID])
	case owner.Load:
		h.load(a)
	case owner.Unload:
		h.sim.clock.after(unloadTime, func() {
			h.engine.unload(a.Adapter)
			h.handle(owner.UnloadDone{Adapter: a.Adapter})
		})
	}
}

func (h *coreHost) dispatch(c *call, id string) {
	h.engine.submit(&job{call: c, tokensLeft: c.tokensLeft, ended: func(failed bool) {
		delete(h.calls, id)
		h.handle(owner.Ended{ID: id, Failed: failed})
		h.sim.handleEnd(c, h.engine.id, failed)
	}})
}

// enqueue passes an attempt of a call to the core.
func (h *coreHost) enqueue(c *call) {
	id := fmt.Sprintf("%d/%d", c.id, c.attempt)
	h.calls[id] = c
	c.dispatched = false
	c.waitStart = h.sim.clock.now
	c.waitingForLoad = !h.engine.adapters[c.adapter]
	h.handle(owner.Enqueue{Request: c.ownerRequest(id)})
}

// endStall ends the stall of a call whose adapter has been loaded or that has left the
// queue.
func (h *coreHost) endStall(c *call) {
	if !c.waitingForLoad {
		return
	}
	c.waitingForLoad = false
	c.stall += h.sim.clock.now.Sub(c.waitStart)
}

// load loads an adapter through the weight store. The load fails if the engine restarts
// while the load is in flight.
func (h *coreHost) load(a owner.Load) {
	boot := h.engine.boot
	h.sim.store.load(func() {
		failed := h.engine.down || h.engine.boot != boot || h.loadFails(a.Adapter)
		if !failed {
			h.finishLoad(a.Adapter)
		}
		h.handle(owner.LoadDone{Adapter: a.Adapter, Order: a.Order, Boot: h.engine.bootID(), Failed: failed})
	})
}

// finishLoad makes an adapter resident and ends the stall of its calls.
func (h *coreHost) finishLoad(ref state.AdapterRef) {
	if len(h.engine.adapters) >= h.engine.slots {
		panic(fmt.Sprintf("measure: %s loads %s into a full engine", h.engine.id, ref))
	}
	h.engine.adapters[ref] = true
	for _, c := range h.calls {
		if c.adapter == ref {
			h.endStall(c)
		}
	}
}

// loadFails reports whether a load that ends now fails.
func (h *coreHost) loadFails(ref state.AdapterRef) bool {
	s := h.sim
	if !s.scenario.LoadsFail || !s.inDisturbance() {
		return false
	}
	return h.loadRNG.Float64() < loadFailureRate || s.unloadable[ref]
}

// report passes the state of the engine to the core.
func (h *coreHost) report() {
	if h.engine.down {
		h.handle(owner.Unreachable{})
		return
	}
	h.handle(owner.Report{
		Boot:     h.engine.bootID(),
		Slots:    h.engine.slots,
		Batch:    h.engine.batch,
		Running:  len(h.engine.running),
		Waiting:  len(h.engine.waiting),
		Resident: h.engine.resident(),
	})
}
