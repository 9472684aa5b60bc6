package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// maxClasses is the maximum number of classes that MergeClasses returns.
const maxClasses = 20

// MergeRanks adds up the counts of each rank over all daemons. Since percentiles cannot be added up, the 95th
// percentile of a merged rank is the highest 95th percentile of any daemon.
func MergeRanks(daemons []protocol.DaemonStatus) []protocol.RankStatus {
	var merged []protocol.RankStatus
	index := make(map[string]int)
	for _, d := range daemons {
		for _, r := range d.Ranks {
			i, ok := index[r.Rank]
			if !ok {
				i = len(merged)
				index[r.Rank] = i
				merged = append(merged, protocol.RankStatus{
					Rank: r.Rank, FirstTokenTarget: r.FirstTokenTarget, GapTarget: r.GapTarget, IntervalSize: r.IntervalSize,
				})
			}
			addRank(&merged[i], r)
		}
	}
	return merged
}

// addRank adds the counts and intervals of a rank at one daemon to a sum.
func addRank(sum *protocol.RankStatus, r protocol.RankStatus) {
	sum.Requests += r.Requests
	sum.FirstTokens += r.FirstTokens
	sum.FirstTokensInTime += r.FirstTokensInTime
	sum.Gaps += r.Gaps
	sum.GapsInTime += r.GapsInTime
	sum.Failed += r.Failed
	sum.Refused += r.Refused
	sum.FirstTokenP95 = max(sum.FirstTokenP95, r.FirstTokenP95)
	sum.GapP95 = max(sum.GapP95, r.GapP95)
	for _, interval := range r.Intervals {
		addInterval(sum, interval)
	}
}

// addInterval adds the counts of an interval to the interval of sum with the same start, or appends the interval
// if there is none. Daemons align intervals to multiples of the interval size, so that intervals with equal
// starts cover the same time.
func addInterval(sum *protocol.RankStatus, interval protocol.Interval) {
	at, found := slices.BinarySearchFunc(sum.Intervals, interval.Start, func(x protocol.Interval, start time.Time) int {
		return x.Start.Compare(start)
	})
	if !found {
		sum.Intervals = slices.Insert(sum.Intervals, at, interval)
		return
	}
	sum.Intervals[at].FirstTokens += interval.FirstTokens
	sum.Intervals[at].FirstTokensInTime += interval.FirstTokensInTime
}

type classKey struct{ customer, service, rank string }

// MergeClasses adds up the counts of each class over all daemons and returns the maxClasses classes with the
// most requests.
func MergeClasses(daemons []protocol.DaemonStatus) []protocol.ClassStatus {
	sums := make(map[classKey]*protocol.ClassStatus)
	for _, d := range daemons {
		for _, c := range d.Classes {
			key := classKey{string(c.Customer), string(c.Service), c.Rank}
			sum := sums[key]
			if sum == nil {
				sum = &protocol.ClassStatus{Customer: c.Customer, Service: c.Service, Rank: c.Rank}
				sums[key] = sum
			}
			sum.Requests += c.Requests
			sum.Refused += c.Refused
			sum.Failed += c.Failed
			sum.FirstTokenP95 = max(sum.FirstTokenP95, c.FirstTokenP95)
		}
	}
	merged := make([]protocol.ClassStatus, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, *sum)
	}
	slices.SortFunc(merged, compareClasses)
	return merged[:min(len(merged), maxClasses)]
}

func compareClasses(a, b protocol.ClassStatus) int {
	return cmp.Or(
		cmp.Compare(b.Requests, a.Requests),
		cmp.Compare(a.Customer, b.Customer),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Rank, b.Rank),
	)
}
