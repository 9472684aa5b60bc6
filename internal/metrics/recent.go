package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	intervalSize   = 5 * time.Minute
	intervals      = 12
	maxRecent      = 500 // classes in an interval
	shownClasses   = 20
	maxTracked     = 10 * time.Minute
	rankFigures    = 2 // significant figures
	classFigures   = 1
	classIntervals = 2 // newest intervals that a class status covers
	percentile     = 95
)

// recent keeps the last hour in intervals.
type recent struct {
	mu   sync.Mutex
	ring []*interval // oldest first
}

// interval counts what ended in one span of time.
type interval struct {
	start   time.Time
	ranks   map[state.Rank]*rankCounts
	classes map[state.Class]*classCounts
}

type rankCounts struct {
	requests, refused, failed uint64
	first, gap                *hdrhistogram.Histogram // in microseconds
}

type classCounts struct {
	requests, refused, failed uint64
	first                     *hdrhistogram.Histogram // in milliseconds
}

func newRecent() *recent { return &recent{} }

// at returns the interval of now. The caller must hold mu.
func (r *recent) at(now time.Time) *interval {
	start := now.UTC().Truncate(intervalSize)
	if n := len(r.ring); n > 0 && !r.ring[n-1].start.Before(start) {
		return r.ring[n-1]
	}
	if n := len(r.ring); n >= classIntervals {
		r.ring[n-classIntervals].classes = nil
	}
	i := &interval{start: start, ranks: make(map[state.Rank]*rankCounts), classes: make(map[state.Class]*classCounts)}
	r.ring = append(r.ring, i)
	r.ring = r.ring[max(0, len(r.ring)-intervals):]
	return i
}

func (i *interval) rank(rank state.Rank) *rankCounts {
	counts := i.ranks[rank]
	if counts == nil {
		counts = &rankCounts{
			first: hdrhistogram.New(1, maxTracked.Microseconds(), rankFigures),
			gap:   hdrhistogram.New(1, maxTracked.Microseconds(), rankFigures),
		}
		i.ranks[rank] = counts
	}
	return counts
}

// class returns the counts of a class, or nil beyond the limit.
func (i *interval) class(c state.Class) *classCounts {
	counts := i.classes[c]
	if counts == nil && len(i.classes) < maxRecent {
		counts = &classCounts{first: hdrhistogram.New(1, maxTracked.Milliseconds(), classFigures)}
		i.classes[c] = counts
	}
	return counts
}

func (r *recent) ended(now time.Time, c state.Class, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.at(now)
	rank := i.rank(c.Rank)
	count(&rank.requests, &rank.refused, &rank.failed, result)
	if class := i.class(c); class != nil {
		count(&class.requests, &class.refused, &class.failed, result)
	}
}

func count(requests, refused, failed *uint64, result Result) {
	*requests++
	switch result {
	case ResultRefused:
		*refused++
	case ResultFailed:
		*failed++
	}
}

func (r *recent) firstToken(now time.Time, c state.Class, d time.Duration) {
	d = min(max(d, time.Millisecond), maxTracked)
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.at(now)
	_ = i.rank(c.Rank).first.RecordValue(d.Microseconds())
	if class := i.class(c); class != nil {
		_ = class.first.RecordValue(d.Milliseconds())
	}
}

func (r *recent) gap(now time.Time, c state.Class, d time.Duration) {
	d = min(max(d, time.Microsecond), maxTracked)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.at(now).rank(c.Rank).gap.RecordValue(d.Microseconds())
}

// since returns the intervals that began after the oldest one to show. The caller
// must hold mu.
func (r *recent) since(now time.Time, n int) []*interval {
	oldest := now.UTC().Truncate(intervalSize).Add(-time.Duration(n-1) * intervalSize)
	first := slices.IndexFunc(r.ring, func(i *interval) bool { return !i.start.Before(oldest) })
	if first < 0 {
		return nil
	}
	return r.ring[first:]
}

// Ranks compares the requests of the last hour with the targets.
func (r *Recorder) Ranks(now time.Time, ranks []state.RankInfo) []protocol.RankStatus {
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	list := make([]protocol.RankStatus, 0, len(ranks))
	for _, info := range ranks {
		list = append(list, r.recent.rankStatus(now, info))
	}
	return list
}

func (r *recent) rankStatus(now time.Time, info state.RankInfo) protocol.RankStatus {
	s := protocol.RankStatus{
		Rank: info.Name, TargetFirst: info.FirstToken, TargetGap: info.BetweenTokens,
		Intervals: []protocol.Interval{}, IntervalSize: intervalSize,
	}
	first := hdrhistogram.New(1, maxTracked.Microseconds(), rankFigures)
	gap := hdrhistogram.New(1, maxTracked.Microseconds(), rankFigures)
	for _, i := range r.since(now, intervals) {
		counts := i.ranks[info.Rank]
		if counts == nil {
			continue
		}
		s.Requests += counts.requests
		s.Refused += counts.refused
		s.Failed += counts.failed
		first.Merge(counts.first)
		gap.Merge(counts.gap)
		s.Intervals = append(s.Intervals, protocol.Interval{
			Start:       i.start,
			Firsts:      uint64(counts.first.TotalCount()),
			FirstInTime: within(counts.first, info.FirstToken),
		})
	}
	s.Firsts, s.FirstInTime = uint64(first.TotalCount()), within(first, info.FirstToken)
	s.Gaps, s.GapsInTime = uint64(gap.TotalCount()), within(gap, info.BetweenTokens)
	s.FirstP95 = time.Duration(first.ValueAtQuantile(percentile)) * time.Microsecond
	s.GapP95 = time.Duration(gap.ValueAtQuantile(percentile)) * time.Microsecond
	return s
}

// within counts the values of a histogram in microseconds up to a target.
func within(h *hdrhistogram.Histogram, target time.Duration) uint64 {
	var n int64
	for _, bar := range h.Distribution() {
		if bar.From <= target.Microseconds() {
			n += bar.Count
		}
	}
	return uint64(n)
}

// Classes returns the busiest classes of the last minutes.
func (r *Recorder) Classes(now time.Time, ranks []state.RankInfo) []protocol.ClassStatus {
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	sums := make(map[state.Class]*classCounts)
	for _, i := range r.recent.since(now, classIntervals) {
		for class, counts := range i.classes {
			sum := sums[class]
			if sum == nil {
				sum = &classCounts{first: hdrhistogram.New(1, maxTracked.Milliseconds(), classFigures)}
				sums[class] = sum
			}
			sum.requests += counts.requests
			sum.refused += counts.refused
			sum.failed += counts.failed
			sum.first.Merge(counts.first)
		}
	}
	return classStatuses(sums, ranks)
}

func classStatuses(sums map[state.Class]*classCounts, ranks []state.RankInfo) []protocol.ClassStatus {
	list := make([]protocol.ClassStatus, 0, len(sums))
	for class, sum := range sums {
		if int(class.Rank) >= len(ranks) {
			continue
		}
		list = append(list, protocol.ClassStatus{
			Customer: class.Customer, Service: class.Service, Rank: ranks[class.Rank].Name,
			Requests: sum.requests, Refused: sum.refused, Failed: sum.failed,
			FirstP95: time.Duration(sum.first.ValueAtQuantile(percentile)) * time.Millisecond,
		})
	}
	slices.SortFunc(list, func(a, b protocol.ClassStatus) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list[:min(len(list), shownClasses)]
}
