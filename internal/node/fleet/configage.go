package fleet

import (
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	// neverConfirmed is the time of the last confirmation before the first one. Differences from
	// it don't overflow.
	neverConfirmed time.Duration = -1 << 62
	// maxReplyDelay is the time that the store's reply to a watch may have been on its way, if the
	// reply does not end the whole wait.
	maxReplyDelay = 500 * time.Millisecond
	// maxPushDelay is the time that a peer's message may have been on its way.
	maxPushDelay = 300 * time.Millisecond
	// minConfigWait is the shortest wait of a watch of the configuration.
	minConfigWait = 250 * time.Millisecond
)

// configConfirmation is when the store was last known to hold no configuration newer than the one
// in force. It uses a clock that advances while the machine is suspended.
type configConfirmation struct {
	mu    sync.Mutex
	at    time.Duration // by ViewOptions.BootClock
	newer newerConfig
}

// ConfirmConfig records that a version was the newest one in the store at a time of the boot clock.
// It has no effect if another version is in force.
func (v *View) ConfirmConfig(version uint64, at time.Duration) {
	if t := v.Table(); t == nil || t.Config.Version != version {
		return
	}
	v.confirmation.mu.Lock()
	defer v.confirmation.mu.Unlock()
	v.confirmation.at = max(v.confirmation.at, at)
}

// ConfigAge returns the time since the configuration in force was last known to be the newest.
func (v *View) ConfigAge() time.Duration {
	v.confirmation.mu.Lock()
	defer v.confirmation.mu.Unlock()
	return v.opts.BootClock() - v.confirmation.at
}

// IsConfigConfirmed reports whether a version is in force and was the newest one within
// ConfigApplyTime. If not, a newer version may be in force elsewhere.
func (v *View) IsConfigConfirmed(version uint64) bool {
	t := v.Table()
	return t != nil && t.Config.Version == version && (v.opts.ConfigApplyTime <= 0 || v.ConfigAge() <= v.opts.ConfigApplyTime)
}

// OnConfig sets a function that is called, on a goroutine of its own, after a configuration came into
// force. It must be set before the view is used.
func (v *View) OnConfig(do func(*routes.Table)) { v.onConfig = do }

// configWait returns how long a watch of the configuration waits. Confirmations must be frequent
// enough to reach the daemons that do not read the store within ConfigApplyTime.
func (v *View) configWait() time.Duration {
	if v.opts.ConfigApplyTime <= 0 {
		return watchTimeout
	}
	return min(watchTimeout, max(minConfigWait, v.opts.ConfigApplyTime/2))
}

// confirmRead records that this daemon read the configuration. askedAt is when it sent the call, and
// wait is the wait of a watch, or zero for a read of the whole object. inStore is the newest version
// that it has read.
func (n *Node) confirmRead(askedAt, wait time.Duration, hasChanged bool, inStore uint64) {
	now := n.opts.BootClock()
	at := askedAt
	switch {
	case wait > 0 && !hasChanged && now-askedAt >= wait:
		at = askedAt + wait
	case wait > 0:
		at = max(askedAt, now-maxReplyDelay)
	}
	n.opts.View.ConfirmConfig(inStore, at)
}

// confirmByPeer takes over a peer's confirmation of the version in force here. sentAt is when this
// daemon sent the message that the peer replied to. The age is counted from then, as a reply may be
// delivered late.
func (n *Node) confirmByPeer(sentAt time.Duration, k protocol.StoreRevisions) {
	n.opts.View.ConfirmConfig(k.Config, sentAt-max(0, k.ConfigAge))
}

// confirmByPush is confirmByPeer for a message that this daemon did not ask for.
func (n *Node) confirmByPush(k protocol.StoreRevisions) {
	n.confirmByPeer(n.opts.BootClock()-maxPushDelay, k)
}

// unusableAccounts returns the positions, from 0, of the account entries that could not be decoded.
// The entries have no name that could be trusted.
func unusableAccounts(c *routes.Config) []int {
	var list []int
	for i := range c.Accounts {
		if c.Accounts[i].Unusable {
			list = append(list, i)
		}
	}
	return list
}
