package entry_test

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
)

// strike lets the faults of the plan happen in a random order.
func (tr *trial) strike() {
	w, p := tr.w, tr.plan
	kinds := []struct {
		count int
		run   func()
	}{
		{p.restarts, func() { tr.engine().Restart() }},
		{p.misbehave, tr.misbehave},
		{p.hangs, tr.hang},
		{p.handovers, func() { w.assign(w.upstreams()[w.intn(len(w.upstreams()))], w.intn(worldDaemons)) }},
		{p.crashes, tr.crashDaemon},
		{p.shutdowns, tr.shutdownDaemon},
		{p.leaving, tr.leave},
		{p.platform, tr.failPlatform},
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

func (tr *trial) engine() *engine.Engine { return tr.w.engines[tr.w.intn(worldEngines)] }

func (tr *trial) misbehave() {
	f := engine.Faults{Duplicate: tr.plan.scrambled, Reorder: tr.plan.scrambled}
	for _, count := range []*int{&f.Cut, &f.WrongModel, &f.EarlyEnd, &f.Refuse, &f.ChangeBoot} {
		*count = tr.w.intn(2)
	}
	tr.engine().SetFaults(f)
}

func (tr *trial) hang() {
	e := tr.engine()
	e.SetHung(true)
	time.Sleep(300 * time.Millisecond)
	e.SetHung(false)
}

// crashDaemon ends a daemon with all it does. Another one takes its upstreams over
// some time later, and a new incarnation starts.
func (tr *trial) crashDaemon() {
	w := tr.w
	i := w.intn(worldDaemons)
	d := w.daemon(i)
	d.crash()
	time.Sleep(time.Duration(w.intn(500)) * time.Millisecond)
	d.owner.Close()
	w.start(i)
	tr.moveAll(i)
}

// shutdownDaemon lets a daemon drain. Its sessions end before it stops.
func (tr *trial) shutdownDaemon() {
	w := tr.w
	i := w.intn(worldDaemons)
	d := w.daemon(i)
	d.drained.Store(true)
	tr.moveAll(i)
	ctx, cancel := context.WithTimeout(context.Background(), worldSettles)
	defer cancel()
	if err := d.owner.Wait(ctx); err != nil {
		tr.fail("shutdown does not end: %v", err)
	}
	if err := d.gateway.Wait(ctx); err != nil {
		tr.fail("records are not written at shutdown: %v", err)
	}
	time.Sleep(longestBudget) // its callers have their answers
	d.crash()
	d.owner.Close()
	w.start(i)
	w.publish()
}

// moveAll gives the upstreams of a daemon to the next one.
func (tr *trial) moveAll(from int) {
	w := tr.w
	for _, id := range w.upstreams() {
		w.mu.Lock()
		moves := w.owners[id] == from
		w.mu.Unlock()
		if moves {
			w.assign(id, (from+1)%worldDaemons)
		}
	}
}

func (tr *trial) leave() {
	id := engineID(tr.w.intn(worldEngines))
	for i := range worldDaemons {
		tr.w.daemon(i).owner.SetLeaving(id)
	}
	time.Sleep(time.Second)
	for i := range worldDaemons {
		tr.w.daemon(i).owner.ClearLeaving(id)
	}
}

func (tr *trial) failPlatform() {
	f := objectapi.Faults{LoseWriteAnswers: tr.w.intn(3), Down: tr.w.chance(300)}
	tr.w.objects.SetFaults(f)
	time.Sleep(time.Duration(tr.w.intn(1000)) * time.Millisecond)
	tr.w.objects.SetFaults(objectapi.Faults{})
}
