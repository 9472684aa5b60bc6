package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	drainPrefix  = "operators/drains/"
	stepDrain    = "drain"
	peerPlatform = "platform"
)

func drainKey(kind protocol.DrainKind, subject string) string {
	return drainPrefix + string(kind) + "/" + subject
}

// Drain writes a drain to the platform, from where all daemons learn of it.
func (n *Node) Drain(ctx context.Context, d protocol.Drain) error {
	if !n.known(d) {
		return protocol.Errorf(protocol.KindNotFound, stepDrain, protocol.OutcomeNotRun, "no %s %q", d.Kind, d.Subject)
	}
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	value, err := json.Marshal(d)
	if err != nil {
		return err
	}
	key := drainKey(d.Kind, d.Subject)
	_, err = n.opts.Objects.Put(ctx, key, value, 0)
	if err != nil && !n.wrote(ctx, key, value) {
		return n.drainError(d, err)
	}
	n.setDrain(key, &d)
	return nil
}

// wrote reports whether a write whose answer was lost or refused had taken effect.
func (n *Node) wrote(ctx context.Context, key string, value []byte) bool {
	o, err := n.opts.Objects.Get(ctx, key)
	return err == nil && string(o.Value) == string(value)
}

func (n *Node) drainError(d protocol.Drain, err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return protocol.Errorf(protocol.KindConflict, stepDrain, protocol.OutcomeNotRun, "the drain of %s %q was changed meanwhile or exists already", d.Kind, d.Subject)
	case errors.Is(err, platform.ErrNotFound):
		return protocol.Errorf(protocol.KindNotFound, stepDrain, protocol.OutcomeNotRun, "%s %q is not drained", d.Kind, d.Subject)
	case errors.Is(err, platform.ErrUnknown):
		return protocol.Errorf(protocol.KindUnavailable, stepDrain, protocol.OutcomeUnknown, "%v", err).WithPeer(peerPlatform)
	}
	return protocol.Errorf(protocol.KindUnavailable, stepDrain, protocol.OutcomeNotRun, "%v", err).WithPeer(peerPlatform)
}

// Undrain ends a drain.
func (n *Node) Undrain(ctx context.Context, d protocol.Drain) error {
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	key := drainKey(d.Kind, d.Subject)
	o, err := n.opts.Objects.Get(ctx, key)
	if err == nil {
		err = n.opts.Objects.Delete(ctx, key, o.Version)
	}
	if err != nil {
		return n.drainError(d, err)
	}
	n.setDrain(key, nil)
	return nil
}

func (n *Node) known(d protocol.Drain) bool {
	if d.Kind == protocol.DrainUpstream {
		return n.opts.Fleet.Get(state.UpstreamID(d.Subject)) != nil
	}
	id := state.DaemonID(d.Subject)
	return id == n.opts.Self || n.opts.Members.ZoneOf(id) != ""
}

// Drains returns the drains in force, ordered by subject.
func (n *Node) Drains() []protocol.Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]protocol.Drain, 0, len(n.drains))
	for _, d := range n.drains {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b protocol.Drain) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return list
}

// Drained reports whether operators drain an upstream.
func (n *Node) Drained(id state.UpstreamID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, drained := n.drains[drainKey(protocol.DrainUpstream, string(id))]
	return drained
}

// setDrain stores or removes a drain and applies the one of this daemon.
func (n *Node) setDrain(key string, d *protocol.Drain) {
	n.mu.Lock()
	_, had := n.drains[key]
	if d == nil {
		delete(n.drains, key)
	} else {
		n.drains[key] = *d
	}
	_, draining := n.drains[drainKey(protocol.DrainDaemon, string(n.opts.Self))]
	changed := draining != n.draining
	n.draining = draining
	n.mu.Unlock()
	if had != (d != nil) {
		statelog.Info("Drain changed", "drain", key, "drained", d != nil)
	}
	if changed {
		n.opts.SetDraining(draining)
	}
}

// watchDrains follows the drains in the platform.
func (n *Node) watchDrains() {
	defer n.wg.Done()
	var seen platform.Version
	for n.ctx.Err() == nil {
		page, err := n.nextDrains(seen)
		n.notePlatform(n.opts.Clock(), err)
		if err != nil {
			seen = 0 // changes may be missed: list all drains again
			n.pause(retryInterval)
			continue
		}
		seen = page.Revision
	}
}

// nextDrains lists all drains at first and after a failure, and waits for changes
// otherwise.
func (n *Node) nextDrains(seen platform.Version) (platform.Page, error) {
	if seen > 0 {
		page, err := n.opts.Objects.Watch(n.ctx, drainPrefix, seen, watchWait)
		for _, o := range page.Objects {
			n.applyDrain(o)
		}
		return page, err
	}
	page, err := n.opts.Objects.List(n.ctx, drainPrefix)
	if err != nil {
		return page, err
	}
	n.dropMissing(page.Objects)
	for _, o := range page.Objects {
		n.applyDrain(o)
	}
	return page, nil
}

// dropMissing ends the drains that are not in a list of all drains.
func (n *Node) dropMissing(listed []platform.Object) {
	n.mu.Lock()
	var gone []string
	for key := range n.drains {
		if !slices.ContainsFunc(listed, func(o platform.Object) bool { return o.Key == key }) {
			gone = append(gone, key)
		}
	}
	n.mu.Unlock()
	for _, key := range gone {
		n.setDrain(key, nil)
	}
}

func (n *Node) applyDrain(o platform.Object) {
	if o.Deleted {
		n.setDrain(o.Key, nil)
		return
	}
	var d protocol.Drain
	err := json.Unmarshal(o.Value, &d)
	if err != nil || drainKey(d.Kind, d.Subject) != o.Key {
		statelog.Info("Drain is unreadable", "drain", o.Key, "err", err)
		return
	}
	n.setDrain(o.Key, &d)
}
