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
	// maxSlots limits the prompts in a ledger, as a reservation searches them under the
	// ledger's lock. A window of 300 ms and delays of 2 s need half of it at most.
	maxSlots = 1024
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

// slot is a scheduled prompt.
type slot struct {
	at     time.Time
	tokens int
}

// Ledger holds the prompts that were scheduled at one engine. It is not safe for concurrent use.
type Ledger struct {
	slots  []slot        // by time
	window time.Duration // the longest window of a request, for which slots are kept
}

// Reserve schedules a prompt at the earliest time at which no window exceeds the limit, and
// returns the time until then. A prompt longer than the limit is scheduled in a window of its
// own. If the delay would exceed MaxDelay, or if the ledger is full, Reserve schedules nothing and
// returns the delay and false.
func (l *Ledger) Reserve(now time.Time, limit Limit, r Request) (time.Duration, bool) {
	limit.Window = min(limit.Window, MaxWindow)
	l.window = max(l.window, limit.Window)
	l.slots = slices.DeleteFunc(l.slots, func(s slot) bool { return now.Sub(s.at) >= l.window })
	r.Tokens = min(max(r.Tokens, int(limit.Tokens/maxPerWindow), 1), maxTokens)
	if len(l.slots) >= maxSlots {
		return l.slots[len(l.slots)-1].at.Add(limit.Window).Sub(now), false
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
	i, _ := slices.BinarySearchFunc(l.slots, at, func(s slot, at time.Time) int {
		return cmp.Or(s.at.Compare(at), -1) // after the slots of the same time
	})
	l.slots = slices.Insert(l.slots, i, slot{at, r.Tokens})
	return delay, true
}

// earliest returns the earliest time at which a prompt fits within a limit.
func (l *Ledger) earliest(now time.Time, limit Limit, r Request) time.Time {
	at := now
	if l.fits(at, limit, r) {
		return at
	}
	for _, s := range l.slots {
		if at = s.at.Add(limit.Window); at.After(now) && l.fits(at, limit, r) {
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
	first := sort.Search(len(l.slots), func(i int) bool { return end.Sub(l.slots[i].at) < limit.Window })
	next := first // slots[first:next] are in the window that ends at end
	for {
		for ; next < len(l.slots) && !l.slots[next].at.After(end); next++ {
			sum += l.slots[next].tokens
		}
		for ; first < next && end.Sub(l.slots[first].at) >= limit.Window; first++ {
			sum -= l.slots[first].tokens
		}
		if sum > 0 && float64(sum+r.Tokens) > allowed {
			return false
		}
		if next == len(l.slots) || !l.slots[next].at.Before(at.Add(limit.Window)) {
			return true
		}
		end, allowed = l.slots[next].at, limit.Tokens
	}
}
