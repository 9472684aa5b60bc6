package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

const (
	nameAccountTokens   = "account_tokens_total"
	nameAccountRefusals = "account_refusals_total"
	// maxAccounts is the number of client accounts with labels of their own.
	maxAccounts = 64
)

// Accounts records the quotas of client accounts. It is safe for concurrent use.
type Accounts struct {
	scope tally.Scope

	mu      sync.Mutex
	labeled map[string]bool
}

// Accounts returns the metrics of client accounts.
func (r *Recorder) Accounts() *Accounts {
	return &Accounts{scope: r.scope, labeled: make(map[string]bool)}
}

// Admitted records the tokens of a request within the quota of its account.
func (a *Accounts) Admitted(account string, tokens float64) {
	a.counter(account, nameAccountTokens).Inc(int64(tokens))
}

// Refused records a request beyond the quota of its account.
func (a *Accounts) Refused(account string) { a.counter(account, nameAccountRefusals).Inc(1) }

func (a *Accounts) counter(account, name string) tally.Counter {
	return a.scope.Tagged(map[string]string{"account": a.label(account)}).Counter(name)
}

func (a *Accounts) label(account string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.labeled[account] {
		return account
	}
	if len(a.labeled) >= maxAccounts {
		return OtherLabel
	}
	a.labeled[account] = true
	return account
}
