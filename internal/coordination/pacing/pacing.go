// Package pacing schedules the prompts that all daemons send to one engine.
//
// Load pattern: many daemons send prompts to the same engine, each only now and then. An engine
// reads prompts between the steps of its running streams, so prompts that arrive together delay
// the events of all streams there. No daemon sees enough of the others' prompts in time to avoid
// that. The engine's lease holder therefore keeps a ledger, and each daemon asks it when a
// prompt may be sent.
package pacing

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// MaxWindow is the longest window of a limit.
const MaxWindow = 2 * time.Second

const (
	// maxPerWindow limits the prompts in a window, and with them the size of a ledger: a short prompt
	// counts as this fraction of the limit.
	maxPerWindow = 64
	// maxEntries limits the prompts in a ledger, as a reservation searches them under the
	// ledger's lock. A window of 300 ms and delays of 2 s need half of it at most.
	maxEntries = 1024
	// maxTokens is the most that a prompt counts as, so that sums do not overflow.
	maxTokens = 1 << 24
)

// RankShares are the shares of the limit that requests may use, by rank; further ranks use the
// last one. The rest is left to more urgent requests that arrive later.
var RankShares = [...]float64{1, 0.85, 0.7}

// Limit is the number of prompt tokens that may be sent to the engine within any window.
type Limit struct {
	Tokens float64
	// SmoothTokens is a lower limit. It applies as long as requests need not wait longer than
	// their SmoothDelay for it.
	SmoothTokens float64
	Window       time.Duration // at most MaxWindow
}

// Request describes a prompt to be scheduled.
type Request struct {
	Tokens      int
	Rank        int
	SmoothDelay time.Duration
	MaxDelay    time.Duration // a request that would have to wait longer is not scheduled
}

// entry is a scheduled prompt.
type entry struct {
	at     time.Time
	tokens int
}

// Ledger holds the prompts that were scheduled at one engine. It is not safe for concurrent use.
type Ledger struct {
	entries []entry       // by time
	window  time.Duration // the longest window of a request, for which entries are kept
}

// Reserve schedules a prompt at the earliest time at which no window exceeds the limit, and
// returns the time until then. A prompt longer than the limit is scheduled in a window of its
// own. If the delay would exceed MaxDelay, or if the ledger is full, Reserve schedules nothing and
// returns the delay and false.
func (l *Ledger) Reserve(now time.Time, limit Limit, r Request) (time.Duration, bool) {
	limit.Window = min(limit.Window, MaxWindow)
	l.window = max(l.window, limit.Window)
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { return now.Sub(e.at) >= l.window })
	r.Tokens = min(max(r.Tokens, int(limit.Tokens/maxPerWindow), 1), maxTokens)
	if len(l.entries) >= maxEntries {
		return l.entries[len(l.entries)-1].at.Add(limit.Window).Sub(now), false
	}
	smooth := Limit{Tokens: limit.SmoothTokens, Window: limit.Window}
	at := l.earliest(now, smooth, r)
	if at.Sub(now) > min(r.SmoothDelay, r.MaxDelay) {
		at = l.earliest(now, limit, r)
	}
	delay := at.Sub(now)
	if delay > r.MaxDelay {
		return delay, false
	}
	i, _ := slices.BinarySearchFunc(l.entries, at, func(e entry, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // after the entries of the same time
	})
	l.entries = slices.Insert(l.entries, i, entry{at, r.Tokens})
	return delay, true
}

// earliest returns the earliest time at which a prompt fits within a limit.
func (l *Ledger) earliest(now time.Time, limit Limit, r Request) time.Time {
	at := now
	if l.fits(at, limit, r) {
		return at
	}
	for _, e := range l.entries {
		if at = e.at.Add(limit.Window); at.After(now) && l.fits(at, limit, r) {
			break
		}
	}
	return at
}

// fits reports whether a prompt may be sent at a time: neither the window that ends then nor a
// window that ends with a prompt scheduled later may exceed its limit.
func (l *Ledger) fits(at time.Time, limit Limit, r Request) bool {
	allowed := RankShares[min(max(r.Rank, 0), len(RankShares)-1)] * limit.Tokens
	end, sum := at, 0
	first := sort.Search(len(l.entries), func(i int) bool { return end.Sub(l.entries[i].at) < limit.Window })
	next := first // entries[first:next] are in the window that ends at end
	for {
		for ; next < len(l.entries) && !l.entries[next].at.After(end); next++ {
			sum += l.entries[next].tokens
		}
		for ; first < next && end.Sub(l.entries[first].at) >= limit.Window; first++ {
			sum -= l.entries[first].tokens
		}
		if sum > 0 && float64(sum+r.Tokens) > allowed {
			return false
		}
		if next == len(l.entries) || !l.entries[next].at.Before(at.Add(limit.Window)) {
			return true
		}
		end, allowed = l.entries[next].at, limit.Tokens
	}
}
