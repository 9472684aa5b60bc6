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

// host runs the owner core of one engine, as the shell of a daemon does.
type host struct {
	run      *run
	upstream state.Upstream
	core     owner.Core
	engine   *engine
	calls    map[string]*call
	loadRNG  *rand.Rand
}

func (h *host) handle(event owner.Event) {
	for _, action := range h.core.Handle(h.run.clock.now, event) {
		h.act(action)
	}
}

func (h *host) act(action owner.Action) {
	switch a := action.(type) {
	case owner.Dispatch:
		c := h.calls[a.ID]
		c.dispatched = true
		h.noteReady(c)
		h.run.clock.after(hopTime, func() { h.dispatch(c, a.ID) })
	case owner.Refuse:
		c := h.calls[a.ID]
		delete(h.calls, a.ID)
		h.noteReady(c)
		h.run.clock.after(hopTime, func() { h.run.refused(c, h.engine.id, a) })
	case owner.Abort:
		h.engine.cancel(h.calls[a.ID])
	case owner.Load:
		h.load(a)
	case owner.Unload:
		h.run.clock.after(unloadTime, func() {
			h.engine.unload(a.Adapter)
			h.handle(owner.UnloadDone{Adapter: a.Adapter})
		})
	}
}

func (h *host) dispatch(c *call, id string) {
	h.engine.submit(&job{call: c, left: c.left, ended: func(failed bool) {
		delete(h.calls, id)
		h.handle(owner.Ended{ID: id, Failed: failed})
		h.run.ended(c, h.engine.id, failed)
	}})
}

func (h *host) enqueue(c *call) {
	id := fmt.Sprintf("%d/%d", c.id, c.attempt)
	h.calls[id] = c
	c.dispatched = false
	c.waitsSince = h.run.clock.now
	c.waitsLoad = !h.engine.adapters[c.adapter]
	h.handle(owner.Enqueue{Request: c.request(id)})
}

// noteReady ends the stall of a call whose adapter has become usable, or that
// leaves the queue.
func (h *host) noteReady(c *call) {
	if !c.waitsLoad {
		return
	}
	c.waitsLoad = false
	c.stall += h.run.clock.now.Sub(c.waitsSince)
}

func (h *host) load(a owner.Load) {
	boot := h.engine.boot
	h.run.store.load(func() {
		failed := h.engine.down || h.engine.boot != boot || h.fails(a.Adapter)
		if !failed {
			h.loaded(a.Adapter)
		}
		h.handle(owner.LoadDone{Adapter: a.Adapter, Order: a.Order, Boot: h.engine.bootID(), Failed: failed})
	})
}

func (h *host) loaded(ref state.AdapterRef) {
	if len(h.engine.adapters) >= h.engine.slots {
		panic(fmt.Sprintf("measure: %s loads %s into a full engine", h.engine.id, ref))
	}
	h.engine.adapters[ref] = true
	for _, c := range h.calls {
		if c.adapter == ref {
			h.noteReady(c)
		}
	}
}

func (h *host) fails(ref state.AdapterRef) bool {
	r := h.run
	if !r.scenario.LoadsFail || !r.disturbed() {
		return false
	}
	return h.loadRNG.Float64() < failingLoads || r.broken[ref]
}

func (h *host) report() {
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
