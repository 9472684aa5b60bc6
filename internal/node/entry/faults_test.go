package entry_test

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
)

// injectFaults injects the faults of the plan in a random order and at random times.
func (sc *scenario) injectFaults() {
	w, p := sc.w, sc.plan
	kinds := []struct {
		count int
		run   func()
	}{
		{p.restarts, func() { sc.engine().Restart() }},
		{p.misbehave, sc.misbehave},
		{p.hangs, sc.hang},
		{p.handovers, func() { w.assign(w.upstreams()[w.intn(len(w.upstreams()))], w.intn(numDaemons)) }},
		{p.crashes, sc.crashDaemon},
		{p.shutdowns, sc.shutdownDaemon},
		{p.leaving, sc.leave},
		{p.platform, sc.failPlatform},
		{p.lost, func() { w.booking.LoseAnswers(1) }},
	}
	var faults []func()
	for _, k := range kinds {
		for range k.count {
			faults = append(faults, k.run)
		}
	}
	w.mu.Lock()
	w.rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	w.mu.Unlock()
	for _, f := range faults {
		time.Sleep(time.Duration(w.intn(150)) * time.Millisecond)
		f()
	}
}

func (sc *scenario) engine() *engine.Engine { return sc.w.engines[sc.w.intn(numEngines)] }

func (sc *scenario) misbehave() {
	f := engine.Faults{Duplicate: sc.plan.scrambled, Reorder: sc.plan.scrambled}
	for _, count := range []*int{&f.Cut, &f.WrongModel, &f.EarlyEnd, &f.Refuse, &f.ChangeBoot} {
		*count = sc.w.intn(2)
	}
	sc.engine().SetFaults(f)
}

func (sc *scenario) hang() {
	e := sc.engine()
	e.SetHung(true)
	time.Sleep(300 * time.Millisecond)
	e.SetHung(false)
}

// crashDaemon aborts a random daemon and all its calls. After a random time it starts a new
// incarnation of the daemon and transfers the upstreams of the daemon to the next daemon.
func (sc *scenario) crashDaemon() {
	w := sc.w
	i := w.intn(numDaemons)
	d := w.daemon(i)
	d.crash()
	time.Sleep(time.Duration(w.intn(500)) * time.Millisecond)
	d.owner.Close()
	w.start(i)
	sc.moveAll(i)
}

// shutdownDaemon shuts a random daemon down gracefully: its upstreams are transferred and
// its sessions end before it stops. It then starts a new incarnation of the daemon.
func (sc *scenario) shutdownDaemon() {
	w := sc.w
	i := w.intn(numDaemons)
	d := w.daemon(i)
	d.drained.Store(true)
	sc.moveAll(i)
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := d.owner.Wait(ctx); err != nil {
		sc.fail("calls are still in flight at the end of a shutdown: %v", err)
	}
	if err := d.gateway.Wait(ctx); err != nil {
		sc.fail("records are not written at shutdown: %v", err)
	}
	time.Sleep(maxBudget) // all sessions at this daemon have ended
	d.crash()
	d.owner.Close()
	w.start(i)
	w.gossip()
}

// moveAll transfers the upstreams of a daemon to the next daemon.
func (sc *scenario) moveAll(from int) {
	w := sc.w
	for _, id := range w.upstreams() {
		w.mu.Lock()
		moves := w.owners[id] == from
		w.mu.Unlock()
		if moves {
			w.assign(id, (from+1)%numDaemons)
		}
	}
}

func (sc *scenario) leave() {
	id := engineID(sc.w.intn(numEngines))
	for i := range numDaemons {
		sc.w.daemon(i).owner.SetLeaving(id)
	}
	time.Sleep(time.Second)
	for i := range numDaemons {
		sc.w.daemon(i).owner.ClearLeaving(id)
	}
}

func (sc *scenario) failPlatform() {
	f := objectapi.Faults{LoseWriteAnswers: sc.w.intn(3), Down: sc.w.chance(300)}
	sc.w.objects.SetFaults(f)
	time.Sleep(time.Duration(sc.w.intn(1000)) * time.Millisecond)
	sc.w.objects.SetFaults(objectapi.Faults{})
}
