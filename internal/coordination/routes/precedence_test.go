package routes

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
)

// Guards against ranks that change in deployments whose accounts have no priority.
func TestWithoutAccountPrioritiesTheRouteAloneRanks(t *testing.T) {
	c := qt.New(t)
	list := []Route{{Rank: 0}, {Rank: 3}, {Rank: 7, Public: true}}
	for _, list2 := range [][]accounts.Account{nil, {{Name: "a"}, {Unusable: true}}} {
		table := NewTable(&Config{Routes: list, Accounts: list2})
		for i := range list {
			rank := list[i].Rank
			for _, a := range []*accounts.Account{nil, {Name: "a"}} {
				c.Assert(table.Precedence(a, &list[i]), qt.Equals, Precedence{rank, min(2*rank, 9), min(2*rank+1, 9)})
			}
		}
	}
}

// Guards against a request of a less urgent account that comes before one of a more urgent account,
// in any number of priorities.
func TestTheAccountsPriorityGoesBeforeTheRoutes(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 10, 30} {
		config := &Config{}
		for i := range n {
			config.Accounts = append(config.Accounts, accounts.Account{Name: fmt.Sprint(i), Priority: 10 * i, HasPriority: true})
		}
		for _, routeRanks := range [][]int{{0}, {2, 0}, {0, 1, 5}, {0, 1, 2, 3, 4, 5, 6, 7}} {
			config.Routes = nil
			for _, rank := range routeRanks {
				config.Routes = append(config.Routes, Route{Rank: rank})
			}
			checkOrder(qt.New(t), NewTable(config), n)
		}
	}
}

func checkOrder(c *qt.C, table *Table, priorities int) {
	config := table.Config
	pairs := priorities * len(config.Routes)
	for i := range config.Accounts {
		for j := range config.Accounts {
			for k := range config.Routes {
				for l := range config.Routes {
					one, other := table.Precedence(&config.Accounts[i], &config.Routes[k]), table.Precedence(&config.Accounts[j], &config.Routes[l])
					before := i < j || i == j && config.Routes[k].Rank < config.Routes[l].Rank
					if !before {
						continue
					}
					note := qt.Commentf("%d pairs: accounts %d, %d, routes %d, %d: %+v %+v", pairs, i, j, k, l, one, other)
					c.Assert(one.Rank <= other.Rank && other.Rank < balance.RankCount, qt.IsTrue, note)
					c.Assert(one.LatePriority <= other.EnginePriority && other.LatePriority < EnginePriorities, qt.IsTrue, note)
					if i < j && priorities <= balance.RankCount || pairs <= balance.RankCount {
						c.Assert(one.Rank < other.Rank, qt.IsTrue, note)
					}
					if i < j && priorities <= EnginePriorities || pairs <= EnginePriorities {
						c.Assert(one.LatePriority < other.EnginePriority, qt.IsTrue, note)
					}
					if 2*pairs <= EnginePriorities {
						c.Assert(one.EnginePriority < one.LatePriority, qt.IsTrue, note)
					}
				}
			}
		}
	}
}

// Guards against requests without an account priority that come before or after all others.
func TestRequestsWithoutAnAccountPriorityArePlacedByTheirRoute(t *testing.T) {
	c := qt.New(t)
	list := []Route{{Rank: 1, Public: true}, {Rank: 1}, {Rank: 3, Public: true}}
	table := NewTable(&Config{Routes: list, Accounts: []accounts.Account{
		{Name: "urgent", Priority: 0, HasPriority: true}, {Name: "later", Priority: 2, HasPriority: true}, {Name: "none"},
	}})
	rank := func(a *accounts.Account, r int) int { return table.Precedence(a, &list[r]).Rank }
	c.Assert(rank(&table.Config.Accounts[0], 1), qt.Equals, 0)
	c.Assert(rank(nil, 0), qt.Equals, 1)
	c.Assert(rank(&table.Config.Accounts[2], 1), qt.Equals, 1)
	c.Assert(rank(&table.Config.Accounts[1], 1), qt.Equals, 2)
	c.Assert(rank(nil, 2), qt.Equals, 3)
	c.Assert(rank(&accounts.Account{Priority: 9, HasPriority: true}, 1), qt.Equals, 3, qt.Commentf("of an earlier configuration"))
}
