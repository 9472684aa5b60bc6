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
	drainPrefix        = "operators/drains/" // of keys in the object store
	stepDrain          = "drain"
	objectStoreSubject = "platform" // name of the object store in errors and conditions
)

// drainKey returns the key of a drain in the object store.
func drainKey(kind protocol.DrainKind, subject string) string {
	return drainPrefix + string(kind) + "/" + subject
}

// Drain stores a drain in the object store, where all daemons watch for it, and puts it
// into force in this daemon. It succeeds if the same drain is stored already.
func (n *Node) Drain(ctx context.Context, d protocol.Drain) error {
	if !n.subjectExists(d) {
		return protocol.Errorf(protocol.KindNotFound, stepDrain, protocol.OutcomeNotRun, "no %s %q", d.Kind, d.Subject)
	}
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	value, err := json.Marshal(d)
	if err != nil {
		return err
	}
	key := drainKey(d.Kind, d.Subject)
	_, err = n.opts.Objects.Put(ctx, key, value, 0)
	if err != nil && !n.isStored(ctx, key, value) {
		return n.drainError(d, err)
	}
	n.setDrain(key, &d)
	return nil
}

// isStored reports whether an object has the given value. Drain calls it after a failed
// write: a write of unknown outcome may have taken effect, and a repeated write is
// rejected if the first attempt has taken effect.
func (n *Node) isStored(ctx context.Context, key string, value []byte) bool {
	o, err := n.opts.Objects.Get(ctx, key)
	return err == nil && string(o.Value) == string(value)
}

// drainError converts an error of the object store to the error for the operator who
// starts or ends the drain d.
func (n *Node) drainError(d protocol.Drain, err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return protocol.Errorf(protocol.KindConflict, stepDrain, protocol.OutcomeNotRun, "the drain of %s %q was changed meanwhile or exists already", d.Kind, d.Subject)
	case errors.Is(err, platform.ErrNotFound):
		return protocol.Errorf(protocol.KindNotFound, stepDrain, protocol.OutcomeNotRun, "%s %q is not drained", d.Kind, d.Subject)
	case errors.Is(err, platform.ErrUnknown):
		return protocol.Errorf(protocol.KindUnavailable, stepDrain, protocol.OutcomeUnknown, "%v", err).WithPeer(objectStoreSubject)
	}
	return protocol.Errorf(protocol.KindUnavailable, stepDrain, protocol.OutcomeNotRun, "%v", err).WithPeer(objectStoreSubject)
}

// Undrain deletes a drain from the object store and ends the drain in this daemon.
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

// subjectExists reports whether this daemon knows the upstream or daemon to be drained.
func (n *Node) subjectExists(d protocol.Drain) bool {
	if d.Kind == protocol.DrainUpstream {
		return n.opts.Fleet.Get(state.UpstreamID(d.Subject)) != nil
	}
	id := state.DaemonID(d.Subject)
	return id == n.opts.Self || n.opts.Members.ZoneOf(id) != ""
}

// Drains returns the drains in force, ordered by kind and subject.
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

// Drained reports whether a drain of an upstream is in force.
func (n *Node) Drained(id state.UpstreamID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, drained := n.drains[drainKey(protocol.DrainUpstream, string(id))]
	return drained
}

// setDrain puts a drain into force in this daemon, or ends the drain with the key if d
// is nil. It calls Options.SetDraining if the drain of this daemon itself starts or
// ends.
func (n *Node) setDrain(key string, d *protocol.Drain) {
	n.mu.Lock()
	_, existed := n.drains[key]
	if d == nil {
		delete(n.drains, key)
	} else {
		n.drains[key] = *d
	}
	_, draining := n.drains[drainKey(protocol.DrainDaemon, string(n.opts.Self))]
	changed := draining != n.draining
	n.draining = draining
	n.mu.Unlock()
	if existed != (d != nil) {
		statelog.Info("Drain changed", "drain", key, "drained", d != nil)
	}
	if changed {
		n.opts.SetDraining(draining)
	}
}

// watchDrains applies the drains stored in the object store, and then each change of
// them, until Close. It records outages of the object store.
func (n *Node) watchDrains() {
	defer n.wg.Done()
	var watched platform.Version // version up to which changes were applied; 0 to list all drains
	for n.ctx.Err() == nil {
		page, err := n.updateDrains(watched)
		n.recordCall(n.opts.Clock(), err)
		if err != nil {
			watched = 0 // changes may have been missed: list all drains again
			n.sleep(watchRetryDelay)
			continue
		}
		watched = page.Revision
	}
}

// updateDrains waits for changes of drains after the version watched and applies the
// changes. If watched is 0, it lists all stored drains instead, applies them and ends
// all other drains.
func (n *Node) updateDrains(watched platform.Version) (platform.Page, error) {
	if watched > 0 {
		page, err := n.opts.Objects.Watch(n.ctx, drainPrefix, watched, watchTimeout)
		for _, o := range page.Objects {
			n.applyDrain(o)
		}
		return page, err
	}
	page, err := n.opts.Objects.List(n.ctx, drainPrefix)
	if err != nil {
		return page, err
	}
	n.endMissingDrains(page.Objects)
	for _, o := range page.Objects {
		n.applyDrain(o)
	}
	return page, nil
}

// endMissingDrains ends the drains in force that are not in listed, the list of all
// stored drains.
func (n *Node) endMissingDrains(listed []platform.Object) {
	n.mu.Lock()
	var missing []string
	for key := range n.drains {
		if !slices.ContainsFunc(listed, func(o platform.Object) bool { return o.Key == key }) {
			missing = append(missing, key)
		}
	}
	n.mu.Unlock()
	for _, key := range missing {
		n.setDrain(key, nil)
	}
}

// applyDrain applies an object that holds a drain, or the deletion of the object. It
// ignores an object that can't be decoded or whose key is not the key of its drain.
func (n *Node) applyDrain(o platform.Object) {
	if o.Deleted {
		n.setDrain(o.Key, nil)
		return
	}
	var d protocol.Drain
	err := json.Unmarshal(o.Value, &d)
	if err != nil || drainKey(d.Kind, d.Subject) != o.Key {
		statelog.Info("Invalid stored drain ignored", "drain", o.Key, "err", err)
		return
	}
	n.setDrain(o.Key, &d)
}
