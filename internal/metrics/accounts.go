package metrics

const (
	nameAccountRefusals = "account_refusals_total"
	nameAccountTokens   = "account_tokens_total"
	// maxAccounts is the number of client accounts with labels of their own.
	maxAccounts = 64
	// noAccount is the label of refused requests whose account is not known.
	noAccount = "none"
)

// AccountRefused counts a request that a daemon answered itself, without a response of an upstream,
// by the caller's account.
func (r *Routes) AccountRefused(account, outcome string) {
	if account == "" {
		account = noAccount
	}
	r.scope.Tagged(map[string]string{"account": r.accountLabel(account), "outcome": outcome}).Counter(nameAccountRefusals).Inc(1)
}

// Admitted counts the tokens of a request within the quota of its account.
func (r *Routes) Admitted(account string, tokens float64) {
	r.scope.Tagged(map[string]string{"account": r.accountLabel(account)}).Counter(nameAccountTokens).Inc(int64(tokens))
}

func (r *Routes) accountLabel(account string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accounts[account] {
		return account
	}
	if len(r.accounts) >= maxAccounts {
		return OtherLabel
	}
	r.accounts[account] = true
	return account
}
