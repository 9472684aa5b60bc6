package routes

import (
	"cmp"
	"slices"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
)

// EnginePriorities is the number of priorities that engines accept, from 0, the most urgent.
const EnginePriorities = 10

// Precedence is how urgent a request is.
type Precedence struct {
	Rank           int // in the daemons' own decisions; 0 is the most urgent
	EnginePriority int // at a model engine; 0 is the most urgent
	LatePriority   int // at a model engine, once the request has missed its latency objective
}

// precedencePair orders requests: by the account's priority, then by the route's.
type precedencePair struct{ account, route int }

func comparePairs(a, b precedencePair) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
}

// pairOf returns the pair of a request. A request whose account has no priority is placed among the
// others by the priority of its route alone.
func pairOf(a *accounts.Account, r *Route) precedencePair {
	if a == nil || !a.HasPriority {
		return precedencePair{account: r.Rank, route: r.Rank}
	}
	return precedencePair{account: a.Priority, route: r.Rank}
}

// precedences are the pairs that occur in a configuration, in order, and their precedence.
type precedences struct {
	pairs  []precedencePair
	values []Precedence
}

// newPrecedences returns the precedences of a configuration, or nil if no account has a priority.
func newPrecedences(c *Config) *precedences {
	priorities := make(map[int]bool) // there are few of them, also among many accounts
	lacksPriority := false
	for i := range c.Accounts {
		if a := &c.Accounts[i]; a.HasPriority {
			priorities[a.Priority] = true
		} else {
			lacksPriority = lacksPriority || !a.Unusable
		}
	}
	if len(priorities) == 0 {
		return nil
	}
	seen := make(map[precedencePair]bool)
	for j := range c.Routes {
		r := &c.Routes[j]
		if r.Public || lacksPriority {
			seen[pairOf(nil, r)] = true
		}
		for priority := range priorities {
			if !r.Public {
				seen[precedencePair{account: priority, route: r.Rank}] = true
			}
		}
	}
	p := &precedences{}
	for pair := range seen {
		p.pairs = append(p.pairs, pair)
	}
	slices.SortFunc(p.pairs, comparePairs)
	ranks, levels := compress(p.pairs, balance.RankCount), compress(p.pairs, EnginePriorities)
	for i := range p.pairs {
		v := Precedence{Rank: ranks[i], EnginePriority: levels[i], LatePriority: levels[i]}
		// The order of ranks is worth more than that of requests that are late.
		if 2*len(p.pairs) <= EnginePriorities {
			v.EnginePriority, v.LatePriority = 2*levels[i], 2*levels[i]+1
		}
		p.values = append(p.values, v)
	}
	return p
}

// compress assigns each of the sorted pairs one of the levels from 0 to count-1, in the same order.
// If there are fewer levels than pairs, pairs with equal account priorities share levels first, the
// least urgent ones before others.
func compress(pairs []precedencePair, count int) []int {
	var sizes []int // of the groups of pairs with equal account priorities
	for i, p := range pairs {
		if i == 0 || p.account != pairs[i-1].account {
			sizes = append(sizes, 0)
		}
		sizes[len(sizes)-1]++
	}
	widths := make([]int, len(sizes)) // number of levels of each group
	for i := range widths {
		widths[i] = 1
	}
	for left, hasGrown := count-len(sizes), true; left > 0 && hasGrown; {
		hasGrown = false
		for i := range widths {
			if left > 0 && widths[i] < sizes[i] {
				widths[i]++
				left--
				hasGrown = true
			}
		}
	}
	var out []int
	first := 0 // level of the group
	for i, size := range sizes {
		for j := range size {
			out = append(out, min(first+min(j, widths[i]-1), count-1))
		}
		first += widths[i]
	}
	return out
}

// Precedence returns how urgent the requests of an account are on a route. The account is nil on
// public routes and without accounts. A pair that the configuration does not contain, as of an
// earlier configuration, counts as the next less urgent one.
func (t *Table) Precedence(a *accounts.Account, r *Route) Precedence {
	if t.precedences == nil || len(t.precedences.pairs) == 0 {
		return Precedence{
			Rank: r.Rank, EnginePriority: min(2*r.Rank, EnginePriorities-1), LatePriority: min(2*r.Rank+1, EnginePriorities-1),
		}
	}
	i, _ := slices.BinarySearchFunc(t.precedences.pairs, pairOf(a, r), comparePairs)
	return t.precedences.values[min(i, len(t.precedences.pairs)-1)]
}
