package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/quota"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

var bigQuota = accounts.Account{Name: "big", Quota: accounts.Quota{PerSecond: 100_000, Burst: 100_000, InTokens: true}}

func newAccountSim(t *testing.T, zones, each int, list ...accounts.Account) *sim {
	s := newSim(t, zones, each)
	for _, n := range s.nodes {
		n.opts.View.SetConfig(&routes.Config{Version: 1, Accounts: list})
	}
	s.rounds(8)
	return s
}

// othersUse returns what a daemon has been told of an account, or false if it was told nothing.
func (s *sim) othersUse(vm, account string) (quota.Others, bool) {
	v := s.nodes[vm].opts.View
	v.quotas.mu.Lock()
	defer v.quotas.mu.Unlock()
	return v.quotas.ledger.Others(account)
}

// Guards against daemons whose sums lack some daemons, or count one twice, as it depends on the
// size of the fleet through which relays a state travels.
func TestDaemonsLearnTheSumOfTheOthersWhateverTheFleetsSize(t *testing.T) {
	wide := accounts.Account{Name: "big", Quota: accounts.Quota{PerSecond: 1e7, Burst: 1e7, InTokens: true}}
	for _, each := range []int{1, 3, 6, 12} {
		s := newAccountSim(t, 3, each, wide)
		for range 30 {
			for _, n := range s.nodes {
				n.opts.View.TakeQuota(&wide, 1000)
			}
			s.rounds(1)
		}
		var lowest, highest float32
		for _, vm := range s.order {
			o, _ := s.othersUse(vm, "big")
			if lowest == 0 || o.Admitted < lowest {
				lowest = o.Admitted
			}
			highest = max(highest, o.Admitted)
		}
		own := 10_000 // a request in each round of 200 ms, in a sum with a time constant of 2 s
		others := float32(own) * float32(3*each-1)
		s.Check(lowest > 0.85*others && highest < 1.05*others, qt.IsTrue, qt.Commentf("%d per zone: %v to %v of %v", each, lowest, highest, others))
	}
}

func TestDaemonsLearnOnlyOfTheirOwnAndOfBusyAccounts(t *testing.T) {
	list := []accounts.Account{bigQuota, {Name: "quiet", Quota: bigQuota.Quota}, {Name: "free"}}
	s := newAccountSim(t, 2, 12, list...)
	for range 40 {
		s.nodes["z1-05"].opts.View.TakeQuota(&list[0], 20_000)
		s.nodes["z1-06"].opts.View.TakeQuota(&list[1], 500)
		s.rounds(1)
	}
	_, knowsBusy := s.othersUse("z0-09", "big")
	_, knowsQuiet := s.othersUse("z0-09", "quiet")
	s.Assert([]bool{knowsBusy, knowsQuiet}, qt.DeepEquals, []bool{true, false})
}

func TestWithoutQuotasNoMessageNamesAccounts(t *testing.T) {
	free := accounts.Account{Name: "free"}
	s := newAccountSim(t, 1, 3, free)
	for _, n := range s.nodes {
		n.opts.View.TakeQuota(&free, 1000)
		for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
			s.Assert(m.push.States[0].Accounts, qt.IsNil)
		}
	}
}

// Guards against a cut fleet each part of which admits the whole quota.
func TestPartsOfACutFleetDivideTheQuota(t *testing.T) {
	s := newAccountSim(t, 2, 12, bigQuota)
	use := func() {
		for _, vm := range s.order {
			s.nodes[vm].opts.View.TakeQuota(&bigQuota, 500)
		}
		s.rounds(1)
	}
	for range 20 {
		use()
	}
	for i := range 12 {
		s.down[fmt.Sprintf("z1-%02d", i)] = true
	}
	for range 10 {
		use()
	}
	o, _ := s.othersUse("z0-05", "big")
	s.Assert(o.Lost > 0.8*o.Offered && o.Lost < 1.4*o.Offered, qt.IsTrue, qt.Commentf("%+v", o))
	clear(s.down)
	for range 10 {
		use()
	}
	o, _ = s.othersUse("z0-05", "big")
	s.Assert(o.Lost, qt.Equals, float32(0))
}

// Guards against a relay that takes its empty view after a restart of all daemons for an idle
// fleet.
func TestARelayThatHasJustStartedReportsNoSums(t *testing.T) {
	s := newSim(t, 1, 3)
	n := s.nodes["z0-00"]
	n.opts.View.SetConfig(&routes.Config{Version: 1, Accounts: []accounts.Account{bigQuota}})
	n.started = s.now.Add(-accountLostAfter / 2)
	s.Assert(n.knowsAccounts(s.now), qt.IsFalse)
	s.Assert(n.knowsAccounts(s.now.Add(time.Second)), qt.IsTrue)
}

// Guards against an account that keeps the others of its priority from being served.
func TestDaemonsKnowWhichAccountIsServedMoreThanItsShare(t *testing.T) {
	hot, calm := bigQuota, bigQuota
	hot.Name, calm.Name = "hot", "calm"
	for _, each := range []int{1, 12} {
		s := newAccountSim(t, 2, each, hot, calm)
		for range 40 {
			for _, n := range s.nodes {
				tokens := 18_000 / float64(2*each)
				n.opts.View.TakeQuota(&hot, tokens)
				n.opts.View.TakeQuota(&calm, tokens)
				n.opts.View.ReturnQuota(&calm, tokens*2/3, s.now) // upstreams had no room for the rest
			}
			s.rounds(1)
		}
		for vm, n := range s.nodes {
			s.Check(n.opts.View.FairExcess(&hot) > 1.15, qt.IsTrue, qt.Commentf("%s: %v", vm, n.opts.View.FairExcess(&hot)))
			s.Check(n.opts.View.FairExcess(&calm) < 1, qt.IsTrue, qt.Commentf("%s: %v", vm, n.opts.View.FairExcess(&calm)))
		}
	}
}

func TestTheReportShowsTheUseOfQuotas(t *testing.T) {
	s := newAccountSim(t, 1, 3, bigQuota, accounts.Account{Name: "free"})
	n := s.nodes["z0-01"]
	for n.opts.View.TakeQuota(&bigQuota, 5000).Admitted {
	}
	s.rounds(2)
	list := n.Report().Accounts
	s.Assert(len(list), qt.Equals, 2)
	s.Check(list[0].Name, qt.Equals, "big")
	s.Check(list[0].Refused, qt.Equals, uint64(1))
	s.Check(list[0].Served > 0 && list[0].Level > 0 && list[0].Capacity >= bigQuota.Quota.Burst && list[0].ReportAge >= 0, qt.IsTrue, qt.Commentf("%+v", list[0]))
	s.Check(list[1].Capacity, qt.Equals, 0.0, qt.Commentf("an account without a quota"))
}
