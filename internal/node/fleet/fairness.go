package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/fairshare"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	// fairLevelTTL is how long the level of fair shares is valid.
	fairLevelTTL = 2 * time.Second
	// noPriority is the group of the accounts that leave the priority to the route.
	noPriority = -1
)

// countsTokens reports whether the sums of an account are in tokens. Other accounts can't be
// compared, so they have no fair share.
func countsTokens(q *accounts.Quota) bool { return q.PerSecond <= 0 || q.InTokens }

// meanWeight returns the mean rate of the quotas in tokens, as the weight of accounts without one.
func meanWeight(list []accounts.Account) float64 {
	sum, count := 0.0, 0
	for i := range list {
		if q := &list[i].Quota; q.PerSecond > 0 && q.InTokens {
			sum += q.PerSecond
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// fairWeight returns the weight of an account: its rate, so that equal parts of their quotas are
// fair.
func fairWeight(q *accounts.Quota, mean float64) float64 {
	if q.PerSecond > 0 {
		return q.PerSecond
	}
	return mean
}

// priorityGroup returns the group of accounts with which an account shares.
func priorityGroup(a *accounts.Account) int {
	if a.HasPriority {
		return a.Priority
	}
	return noPriority
}

// computeFairLevels computes the level of fair shares for each priority, from the accounts with
// recent requests.
func (s *accountSums) computeFairLevels(now time.Time, byName map[string]*accounts.Account, mean float64) {
	uses := make(map[int][]fairshare.Use)
	for name, sums := range s.byName {
		a := byName[name]
		if a == nil || !countsTokens(&a.Quota) {
			continue
		}
		offered, served := sums.Rates()
		if a.Quota.PerSecond > 0 {
			offered = min(offered, a.Quota.PerSecond) // the quota refuses the rest
		}
		group := priorityGroup(a)
		uses[group] = append(uses[group], fairshare.Use{Demand: offered, Served: served, Weight: fairWeight(&a.Quota, mean)})
	}
	if s.meters == nil {
		s.meters = make(map[int]*fairshare.Meter)
	}
	s.fairLevels = make(map[int]float32, len(uses))
	for group, list := range uses {
		if s.meters[group] == nil {
			s.meters[group] = new(fairshare.Meter)
		}
		if level := s.meters[group].Level(now, list); !math.IsInf(level, 1) {
			s.fairLevels[group] = float32(level)
		}
	}
	for group := range s.meters {
		if uses[group] == nil {
			delete(s.meters, group)
		}
	}
}

func (q *quotaLedger) setFairLevels(now time.Time, levels map[int]float32) {
	q.fairLevels, q.fairAt = levels, now
}

// SetFairLevels replaces the levels of fair shares by priority. An account of another priority is
// not limited.
func (v *View) SetFairLevels(levels map[int]float32) {
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	v.quotas.setFairLevels(v.opts.Clock(), levels)
}

// FairExcess returns what an account is served as a part of its fair share, zero if that is not
// known or all demand is met.
func (v *View) FairExcess(a *accounts.Account) float64 {
	q := &v.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := v.opts.Clock()
	level, ok := q.fairLevels[priorityGroup(a)]
	if !ok || now.Sub(q.fairAt) > fairLevelTTL || !countsTokens(&a.Quota) {
		return 0
	}
	served, size, averaging := q.ledger.Served(now, a.Name)
	return fairshare.Excess(served, fairWeight(&a.Quota, q.meanWeight), float64(level), size, averaging)
}

// reportAccounts adds the accounts of the configuration to a report.
func (v *View) reportAccounts(now time.Time, list []accounts.Account, r *protocol.FleetReport) {
	v.quotas.mu.Lock()
	states := v.quotas.ledger.States(now)
	v.quotas.mu.Unlock()
	for i := range list {
		a := &list[i]
		s, ok := states[a.Name]
		if !ok {
			s.ReportAge = -1
		}
		r.Accounts = append(r.Accounts, protocol.AccountReport{
			Name: a.Name, Rate: a.Quota.PerSecond, Burst: a.Quota.Burst, InTokens: a.Quota.InTokens, Served: s.Served, Share: s.Share,
			Level: s.Level, Capacity: s.Capacity, Excess: v.FairExcess(a), Refused: s.Refused, ReportAge: s.ReportAge,
		})
	}
	slices.SortFunc(r.Accounts, func(a, b protocol.AccountReport) int { return cmp.Compare(a.Name, b.Name) })
}
