package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/fairshare"
	"github.com/celerydeck/celerydeck/internal/coordination/quota"
)

const (
	// accountLostAfter is the silence after which the quotas of accounts are divided between this
	// part of the fleet and the silent daemon. It spans two messages between zones of a large
	// fleet, and a lost one.
	accountLostAfter = time.Second
	// accountSumsTTL is how long the sums over all daemons serve for replies.
	accountSumsTTL = 50 * time.Millisecond
	// maxBusyAccounts is the maximum number of accounts in a reply that its receiver did not
	// report.
	maxBusyAccounts = 32
)

// quotaLedger is the quota decision of this daemon with its lock.
type quotaLedger struct {
	mu     sync.Mutex // not held across I/O; taken after the locks of the node and of the view
	ledger *quota.Ledger
	quotas map[string]accounts.Quota    // in force, by account; replaced as a whole
	byName map[string]*accounts.Account // of the configuration in force; replaced as a whole

	meanWeight float64         // for fair shares, of accounts without a quota
	fairLevels map[int]float32 // by priority
	fairAt     time.Time       // when fairLevels came
}

// setAccounts sets the accounts of a configuration that comes into force.
func (q *quotaLedger) setAccounts(now time.Time, list []accounts.Account) {
	quotas := make(map[string]accounts.Quota)
	byName := make(map[string]*accounts.Account, len(list))
	for i := range list {
		byName[list[i].Name] = &list[i]
		if list[i].Quota.PerSecond > 0 {
			quotas[list[i].Name] = list[i].Quota
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quotas, q.byName = quotas, byName
	q.meanWeight = meanWeight(list)
	q.ledger.SetQuotas(now, quotas)
}

// inForce returns the quotas and the accounts in force, which must not be changed, and the weight
// of accounts without a quota.
func (q *quotaLedger) inForce() (quotas map[string]accounts.Quota, byName map[string]*accounts.Account, meanWeight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quotas, q.byName, q.meanWeight
}

func (q *quotaLedger) setDaemons(count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetDaemons(max(count, minDaemonCount))
}

// TakeQuota decides whether a request is within the quota of its account, and takes its tokens if
// so.
func (v *View) TakeQuota(a *accounts.Account, tokens float64) quota.Decision {
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	return v.quotas.ledger.Take(v.opts.Clock(), a, tokens)
}

// ReturnQuota gives back the tokens of a request that ran nowhere.
func (v *View) ReturnQuota(a *accounts.Account, tokens float64, takenAt time.Time) {
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	v.quotas.ledger.Return(v.opts.Clock(), a, tokens, takenAt)
}

// ownAccountUse returns what this daemon reports of accounts, nil if no account has a quota.
func (v *View) ownAccountUse() map[string]quota.Use {
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	if len(v.quotas.quotas) == 0 {
		return nil
	}
	return v.quotas.ledger.Own(v.opts.Clock())
}

// setOthersUse replaces the sums of the other daemons.
func (v *View) setOthersUse(now time.Time, others map[string]quota.Others, complete bool) {
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	v.quotas.ledger.SetOthers(now, others, complete)
}

// setLevels sets the levels in a reply to this daemon's estimates.
func (v *View) setLevels(now time.Time, reply map[string]quota.Others) {
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	for name, o := range reply {
		o.Level = float32(v.quotas.ledger.Level(now, name))
		reply[name] = o
	}
}

// accountSums are the sums of the reports of all other daemons, for the replies of a relay.
type accountSums struct {
	at      time.Time
	byName  map[string]quota.Others         // of all daemons
	summed  map[string]map[string]quota.Use // what each VM contributed to byName
	busy    []string
	allBusy bool // busy is not cut off

	meters     map[int]*fairshare.Meter // by priority
	fairLevels map[int]float32          // by priority; replaced as a whole
}

// accountsFor returns the sums for a daemon that is not a relay: of the accounts that it
// reported, and of busy ones. The caller holds the lock.
func (n *Node) accountsFor(now time.Time, to *member) (map[string]quota.Others, bool) {
	if !n.knowsAccounts(now) {
		n.accounts.fairLevels = nil
		return nil, false
	}
	n.sumAccounts(now)
	out := make(map[string]quota.Others, len(to.state.Accounts)+len(n.accounts.busy))
	for _, name := range n.accounts.busy {
		out[name] = n.accounts.without(name, to.VM)
	}
	for name := range to.state.Accounts {
		out[name] = n.accounts.without(name, to.VM)
	}
	n.opts.View.setLevels(now, out)
	return out, n.accounts.allBusy
}

// sumAccountsForSelf sets the sums of the other daemons from the states that this relay knows.
// The caller holds the lock.
func (n *Node) sumAccountsForSelf(now time.Time) {
	if !n.knowsAccounts(now) {
		return
	}
	n.sumAccounts(now)
	out := make(map[string]quota.Others, len(n.accounts.byName))
	for name := range n.accounts.byName {
		out[name] = n.accounts.without(name, n.opts.Self.VM)
	}
	q := &n.opts.View.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SumOthers(now, out)
	q.setFairLevels(now, n.accounts.fairLevels)
}

// knowsAccounts reports whether this daemon knows the use of accounts at the other daemons: in
// the first second after its start it must have heard from all of them. The caller holds the lock.
func (n *Node) knowsAccounts(now time.Time) bool {
	if quotas, _, _ := n.opts.View.quotas.inForce(); len(quotas) == 0 {
		return false
	}
	if now.Sub(n.started) >= accountLostAfter {
		return true
	}
	for _, m := range n.members {
		if !m.contacted {
			return false
		}
	}
	return true
}

// without returns the sums of an account without the use of one daemon.
func (s *accountSums) without(name, vm string) quota.Others {
	o, use := s.byName[name], s.summed[vm][name]
	o.Offered = max(0, o.Offered-use.Offered)
	o.Admitted = max(0, o.Admitted-use.Admitted)
	return o
}

// sumAccounts sums up the states of all daemons. The caller holds the lock.
func (n *Node) sumAccounts(now time.Time) {
	s := &n.accounts
	if s.byName != nil && now.Sub(s.at) < accountSumsTTL {
		return
	}
	own := n.opts.View.ownAccountUse()
	s.at, s.byName = now, make(map[string]quota.Others)
	s.summed = map[string]map[string]quota.Use{n.opts.Self.VM: own}
	for name, use := range own {
		s.byName[name] = quota.Others{Offered: use.Offered, Admitted: use.Admitted}
	}
	for _, m := range n.members {
		if m.state.Incarnation != m.Incarnation {
			continue
		}
		isLost := now.Sub(m.lastHeard) > accountLostAfter
		if isLost && m.state.Leaving {
			continue
		}
		if !isLost && len(m.state.Accounts) > 0 {
			s.summed[m.VM] = m.state.Accounts
		}
		for name, use := range m.state.Accounts {
			o := s.byName[name]
			if isLost {
				o.Lost += use.Offered
			} else {
				o.Offered += use.Offered
				o.Admitted += use.Admitted
			}
			s.byName[name] = o
		}
	}
	quotas, byName, mean := n.opts.View.quotas.inForce()
	s.findBusy(quotas)
	s.computeFairLevels(now, byName, mean)
}

// findBusy finds the accounts that use a large part of their quota, or of which daemons are
// silent; the busiest first.
func (s *accountSums) findBusy(quotas map[string]accounts.Quota) {
	use := make(map[string]float64)
	s.busy = s.busy[:0]
	for name, o := range s.byName {
		part := quota.UsedPart(quotas[name], o)
		if part < quota.BusyPart {
			continue
		}
		use[name] = part
		s.busy = append(s.busy, name)
	}
	slices.SortFunc(s.busy, func(a, b string) int { return cmp.Or(cmp.Compare(use[b], use[a]), cmp.Compare(a, b)) })
	s.allBusy = len(s.busy) <= maxBusyAccounts
	s.busy = s.busy[:min(len(s.busy), maxBusyAccounts)]
}
