package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

const (
	headerAuthorization = "Authorization"
	authScheme          = "Bearer"
	// maxUnreadBody is the size in bytes up to which the body of a request that was refused
	// because of its key is read, so that the connection can carry the next request, and
	// unreadBodyTimeout limits the time for that.
	maxUnreadBody     = 64 << 10
	unreadBodyTimeout = 500 * time.Millisecond
)

// credential is what a request shows of its client account. The key itself is not kept.
type credential struct {
	isRequired bool            // a configuration with client accounts was in force
	key        accounts.Digest // of the caller's key, valid if hasKey
	hasKey     bool            // the request has one well-formed key
	checkedIn  uint64          // version of the configuration in which the account was last found
}

// fingerprint returns what stands for the key in logs, or "" without a key.
func (a *credential) fingerprint() string {
	if !a.hasKey {
		return ""
	}
	return a.key.Fingerprint()
}

// bearerKey returns the key in the headers of a request. It accepts exactly one header with one
// well-formed key of the scheme Bearer, whose name has no case.
func bearerKey(h http.Header) (key string, ok bool) {
	values := h[headerAuthorization]
	if len(values) != 1 || len(values[0]) > len(authScheme)+1+accounts.MaxKeyBytes {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, authScheme) || !accounts.IsKey(key) {
		return "", false
	}
	return key, true
}

// takeKey takes the caller's key out of the headers and keeps its digest.
func (c *call) takeKey() {
	if c.credential.isRequired {
		return
	}
	c.credential.isRequired = true
	if key, ok := bearerKey(c.r.Header); ok {
		c.credential.key, c.credential.hasKey = accounts.DigestOf(key), true
	}
	c.r.Header.Del(headerAuthorization)
}

// findAccount sets the account that holds the caller's key in a configuration. It returns the
// outcome of a request that has no such account but needs one, or "".
func (c *call) findAccount(table *routes.Table, isPublic bool) (refusal string) {
	c.credential.checkedIn = table.Config.Version
	catalogue := table.Accounts()
	if catalogue != nil {
		c.takeKey()
	}
	if catalogue == nil || isPublic {
		c.account = nil
		return ""
	}
	if !c.credential.hasKey {
		return decisionlog.NoKey
	}
	account, ok := catalogue.LookupDigest(c.credential.key)
	if !ok {
		return decisionlog.UnknownKey
	}
	c.account = account
	return ""
}

// authenticate finds the account of the request. It returns false if it has refused the request.
func (c *call) authenticate(table *routes.Table) bool {
	refusal := c.findAccount(table, c.route.Public)
	if refusal == "" {
		return true
	}
	c.prepareEarlyResponse()
	if refusal == decisionlog.UnknownKey && !c.isConfigConfirmed() {
		c.refuse(decisionlog.UnconfirmedKey, noConfigRetryAfter)
	} else {
		c.respondUnauthorized(refusal)
	}
	c.skipUnreadBody()
	return false
}

// isConfigConfirmed reports whether no configuration newer than the one that decided about the request
// can be in force. Otherwise a refusal must not be final, as a newer one may allow the request.
func (c *call) isConfigConfirmed() bool {
	return c.g.opts.View.IsConfigConfirmed(c.config.Table.Config.Version)
}

// refuseUnknownRoute responds to a request that has no route.
func (c *call) refuseUnknownRoute() {
	if !c.isConfigConfirmed() {
		c.refuse(decisionlog.UnconfirmedRoute, noConfigRetryAfter)
		return
	}
	c.respond(http.StatusNotFound, decisionlog.NoRoute)
}

// respondUnauthorized responds to a request whose key is missing, malformed, unknown or removed.
func (c *call) respondUnauthorized(reason string) {
	c.w.Header().Set("WWW-Authenticate", authScheme)
	c.respond(http.StatusUnauthorized, reason)
}

// prepareEarlyResponse makes the response leave before the request body has arrived. net/http would
// read up to 256 KB of the body first.
func (c *call) prepareEarlyResponse() {
	control := http.NewResponseController(c.w)
	_ = control.EnableFullDuplex() // a writer without this has no connection to wait for
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	if !c.canSkipBody() {
		c.w.Header().Set("Connection", "close")
	}
}

// canSkipBody reports whether the body is short enough to be read although the request was refused. A
// caller that waits for leave to send its body does not send it.
func (c *call) canSkipBody() bool {
	return c.r.ContentLength >= 0 && c.r.ContentLength <= maxUnreadBody && c.r.Header.Get("Expect") == ""
}

// skipUnreadBody reads the body after an early response. It closes the connection if the body breaks
// off or does not arrive in time, as the rest of the body must not be taken for a request.
func (c *call) skipUnreadBody() {
	if c.r.ContentLength == 0 || !c.canSkipBody() {
		return
	}
	_ = http.NewResponseController(c.w).Flush() // a failure shows up as a failed read
	if _, err := io.Copy(io.Discard, c.r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
