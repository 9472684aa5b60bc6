package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/fairshare"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

// quotaJitter is the share by which a Retry-After is lengthened at most, so that the callers of an
// account do not return at once.
const quotaJitter = 0.25

// AccountMetrics counts what was admitted within the quotas of client accounts.
type AccountMetrics interface {
	Admitted(account string, tokens float64)
}

// quotaUse is what a request has taken from the quota of its account.
type quotaUse struct {
	isTaken bool
	isSpent bool // a response was passed on, so nothing is returned
	tokens  float64
	takenAt time.Time
	account *accounts.Account // that was charged; the key may move to another one while the request waits
}

// takeQuota charges the request to its account before its first placement. It returns false if it
// has refused the request: a request beyond the quota does not run.
func (c *call) takeQuota() bool {
	if c.account == nil || c.quota.isTaken {
		return true
	}
	c.quota.tokens = quotaTokens(&c.account.Quota, &c.meta)
	d := c.g.opts.View.TakeQuota(c.account, c.quota.tokens)
	if d.Admitted {
		c.quota.isTaken, c.quota.takenAt, c.quota.account = true, c.g.opts.Clock(), c.account
		if m := c.g.opts.Accounts; m != nil {
			m.Admitted(c.account.Name, c.quota.tokens)
		}
		return true
	}
	retryAfter := d.RetryAfter + time.Duration(rand.Float64()*quotaJitter*float64(d.RetryAfter))
	c.g.opts.Log.Event("quota refused", slog.String(decisionlog.KeyRequest, c.meta.RequestID), slog.String("account", c.account.Name),
		slog.String("reason", d.Reason), slog.Float64("tokens", c.quota.tokens), slog.Float64("quota", c.account.Quota.PerSecond), slog.Float64("burst", c.account.Quota.Burst),
		slog.Float64("in_use", d.Level), slog.Float64("capacity", d.Capacity), slog.Float64("share", d.Share), slog.Duration("report_age", d.ReportAge), slog.Duration("retry_after", retryAfter))
	c.g.opts.HeaderCodec.EncodeRefusal(c.w.Header(), retryAfter)
	c.respond(http.StatusTooManyRequests, decisionlog.QuotaExceeded)
	return false
}

// returnQuota gives the tokens of a request back that ended without having run.
func (c *call) returnQuota() {
	if !c.quota.isTaken || c.quota.isSpent || c.runs > 0 {
		return
	}
	c.quota.isSpent = true
	c.g.opts.View.ReturnQuota(c.quota.account, c.quota.tokens, c.quota.takenAt)
}

// fairLimits lowers the limit on the start delay of a request whose account is served more than its
// fair share: where upstreams have too little capacity, it is refused before requests of others.
func (c *call) fairLimits(l balance.Limits) balance.Limits {
	if c.account == nil || c.responseStarted {
		return l
	}
	l.MaxStartDelay = fairshare.Limit(l.MaxStartDelay, c.timeToObjective(), c.g.opts.View.FairExcess(c.account))
	return l
}

// quotaTokens returns what a request counts for a quota. Without a quota it counts its tokens, for
// fair shares.
func quotaTokens(q *accounts.Quota, m *Metadata) float64 {
	switch {
	case q.PerSecond > 0 && !q.InTokens:
		return 1
	case m.HasTokens:
		return float64(m.TokensIn) + float64(m.TokensOut)
	default:
		return float64(max(q.PlainTokens, 1))
	}
}
