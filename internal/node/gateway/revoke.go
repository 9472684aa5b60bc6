package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

// errKeyRemoved is the cause with which the context of a request ends whose key was removed.
var errKeyRemoved = errors.New("gateway: the key was removed")

// keyedCalls are the requests in progress that need a key, if requests end whose key is removed. It
// is safe for concurrent use.
type keyedCalls struct {
	mu    sync.Mutex
	calls map[*call]context.CancelCauseFunc
}

// trackKey makes the request end if its key is removed, where the settings ask for that. It returns
// a function that must be called before the handler returns.
func (c *call) trackKey() (release func()) {
	k := &c.g.keyed
	if !c.g.opts.StrictRevoke || c.account == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.ctx = ctx
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.calls == nil {
		k.calls = make(map[*call]context.CancelCauseFunc)
	}
	k.calls[c] = cancel
	return func() {
		k.mu.Lock()
		delete(k.calls, c)
		k.mu.Unlock()
		if c.wasRevoked() { // the connection may carry another request
			_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
		}
		cancel(nil)
	}
}

// endRevoked ends the requests whose key a configuration that came into force does not contain. A
// caller that does not read its response has half of RevokeTime left for that.
func (g *Gateway) endRevoked(table *routes.Table) {
	catalogue := table.Accounts()
	if catalogue == nil {
		return
	}
	now := g.opts.Clock()
	g.keyed.mu.Lock()
	defer g.keyed.mu.Unlock()
	for c, cancel := range g.keyed.calls {
		if _, ok := catalogue.LookupDigest(c.credential.key); ok || c.isPublicIn(table) {
			continue
		}
		cancel(errKeyRemoved)
		_ = http.NewResponseController(c.w).SetWriteDeadline(now.Add(g.opts.RevokeTime / 2)) // a writer without deadlines has no connection
	}
}

// isPublicIn reports whether the request needs no key in a configuration.
func (c *call) isPublicIn(table *routes.Table) bool {
	if c.route.Public {
		return true
	}
	r := table.Lookup(c.r.Host, c.r.URL.Path)
	return r != nil && r.Public
}

// wasRevoked reports whether the request was ended because its key was removed.
func (c *call) wasRevoked() bool { return errors.Is(context.Cause(c.ctx), errKeyRemoved) }

// refuseRevoked ends the request if its key is not in the configuration in force, and reports whether
// it did. If the key has moved to another account, the request is sent for that account.
func (c *call) refuseRevoked() bool {
	config := c.g.opts.View.ConfigInForce()
	if !c.wasRevoked() {
		if config.Table.Config.Version == c.credential.checkedIn || c.findAccount(config.Table, c.isPublicIn(config.Table)) == "" {
			return false
		}
	}
	c.config = config
	c.w.Header().Set("Connection", "close")
	switch {
	case c.runs > 0 || c.responseStarted:
		c.fail(decisionlog.KeyRemoved)
	case !c.isConfigConfirmed():
		c.refuse(decisionlog.UnconfirmedKey, noConfigRetryAfter)
	default:
		c.respondUnauthorized(decisionlog.KeyRemoved)
	}
	return true
}
