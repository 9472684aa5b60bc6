package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// keyedCall executes the actions of one core.Call.
type keyedCall struct {
	g        *Gateway
	core     *core.Call
	key      string // key of the record in the object store
	call     *protocol.Call
	base     string
	sink     protocol.Sink
	deadline time.Time
}

func (g *Gateway) serveKey(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	deadline := g.opts.Clock().Add(min(call.TimeLeft, core.MaxTimeout))
	k := &keyedCall{
		g:    g,
		key:  core.RecordKey(call.Customer, call.Service, call.IdempotencyKey),
		call: call,
		base: base,
		sink: sink,
		core: core.NewCall(core.Params{
			Key:         call.IdempotencyKey,
			Nonce:       g.opts.NewNonce(),
			Digest:      digest(call),
			RequestID:   call.RequestID,
			Daemon:      g.opts.Self,
			Incarnation: g.opts.Incarnation,
			Deadline:    deadline,
		}),
		deadline: deadline,
	}
	return k.serve(ctx)
}

// serve executes the actions of the call until the caller has its answer. After a
// dispatch, it leaves the remaining actions to finish, which runs them in the background.
func (k *keyedCall) serve(ctx context.Context) *protocol.Error {
	var event core.Event = core.Start{}
	for {
		switch a := k.core.Handle(k.g.opts.Clock(), event).(type) {
		case core.Dispatch:
			result, err := k.g.run(ctx, k.call, k.base, k.sink, k.deadline)
			k.finish(ctx, result)
			return err
		case core.Replay:
			if err := replay(a.Record.Answer, k.sink); err != nil {
				return protocol.Errorf(protocol.KindCanceled, stepKey, protocol.OutcomeRan, "%v", err)
			}
			return nil
		case core.Refuse:
			return k.g.refusal(stepKey, a.Reason)
		default:
			event = k.execute(ctx, a)
		}
		if ctx.Err() != nil {
			return k.abandon(ctx, event)
		}
	}
}

// abandon ends a call whose caller disconnected before the dispatch. If the last event
// reports that the record was created, it deletes the record. If the outcome of the create
// is unknown, the record may exist; later requests then treat the call as interrupted
// until the record expires.
func (k *keyedCall) abandon(ctx context.Context, event core.Event) *protocol.Error {
	if created, ok := event.(core.Created); ok {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		_ = k.g.opts.Objects.Delete(ctx, k.key, platform.Version(created.Version))
	}
	return protocol.Errorf(protocol.KindCanceled, stepKey, protocol.OutcomeNotRun, "%v", ctx.Err())
}

// finish passes the result of a dispatched call to the state machine and executes the
// remaining actions, which update or delete the record, in the background.
func (k *keyedCall) finish(ctx context.Context, result core.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	k.g.pendingRecords.Add()
	go func() {
		defer k.g.pendingRecords.Done()
		defer cancel()
		var event core.Event = core.Finished{Result: result}
		for {
			action := k.core.Handle(k.g.opts.Clock(), event)
			if _, done := action.(core.Done); done {
				return
			}
			event = k.execute(ctx, action)
		}
	}()
}

// execute executes an action and returns the event that answers it.
func (k *keyedCall) execute(ctx context.Context, action core.Action) core.Event {
	switch a := action.(type) {
	case core.CreateRecord:
		return k.create(ctx, a.Record)
	case core.ReadRecord:
		return k.read(ctx)
	case core.UpdateRecord:
		return writeEvent(k.put(ctx, a.Record, platform.Version(a.ExpectedVersion)))
	case core.DeleteRecord:
		return writeEvent(k.g.opts.Objects.Delete(ctx, k.key, platform.Version(a.ExpectedVersion)))
	case core.Wait:
		sleep(ctx, a.Duration)
		return core.WaitElapsed{}
	}
	panic(fmt.Sprintf("once: unexpected action %T", action))
}

func (k *keyedCall) create(ctx context.Context, r core.Record) core.Event {
	data, err := json.Marshal(r)
	if err != nil {
		return core.CreateFailed{}
	}
	version, err := k.g.opts.Objects.Put(ctx, k.key, data, 0)
	switch {
	case err == nil:
		return core.Created{Version: core.Version(version)}
	case errors.Is(err, platform.ErrConflict):
		return core.CreateConflict{}
	case errors.Is(err, platform.ErrUnknown):
		return core.CreateUnknown{}
	}
	return core.CreateFailed{}
}

func (k *keyedCall) put(ctx context.Context, r core.Record, base platform.Version) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = k.g.opts.Objects.Put(ctx, k.key, data, base)
	return err
}

func (k *keyedCall) read(ctx context.Context) core.Event {
	o, err := k.g.opts.Objects.Get(ctx, k.key)
	if errors.Is(err, platform.ErrNotFound) {
		return core.NotFound{}
	}
	if err != nil {
		return core.ReadFailed{}
	}
	var r core.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return core.ReadFailed{}
	}
	return core.Found{Record: r, Version: core.Version(o.Version), DaemonLost: k.g.opts.DaemonLost(r.Daemon, r.Incarnation)}
}

func writeEvent(err error) core.Event {
	if err == nil {
		return core.WriteDone{}
	}
	return core.WriteFailed{}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
