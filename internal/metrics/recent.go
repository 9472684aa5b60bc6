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
	intervalSize            = 5 * time.Minute
	intervalCount           = 12
	maxIntervalClasses      = 500
	maxShownClasses         = 20
	maxTrackedDuration      = 10 * time.Minute
	rankSignificantFigures  = 2
	classSignificantFigures = 1
	classIntervals          = 2 // intervals that a class status covers
	percentile              = 95
)

// recent keeps the counts of the last hour by interval.
type recent struct {
	mu   sync.Mutex
	ring []*interval // oldest first
}

// interval holds the counts of one interval of intervalSize.
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

// current returns the interval that contains now and adds it if necessary. The caller
// must hold mu.
func (r *recent) current(now time.Time) *interval {
	start := now.UTC().Truncate(intervalSize)
	if n := len(r.ring); n > 0 && !r.ring[n-1].start.Before(start) {
		return r.ring[n-1]
	}
	if n := len(r.ring); n >= classIntervals {
		r.ring[n-classIntervals].classes = nil
	}
	i := &interval{start: start, ranks: make(map[state.Rank]*rankCounts), classes: make(map[state.Class]*classCounts)}
	r.ring = append(r.ring, i)
	r.ring = r.ring[max(0, len(r.ring)-intervalCount):]
	return i
}

func (i *interval) rank(rank state.Rank) *rankCounts {
	counts := i.ranks[rank]
	if counts == nil {
		counts = &rankCounts{
			first: hdrhistogram.New(1, maxTrackedDuration.Microseconds(), rankSignificantFigures),
			gap:   hdrhistogram.New(1, maxTrackedDuration.Microseconds(), rankSignificantFigures),
		}
		i.ranks[rank] = counts
	}
	return counts
}

// class returns the counts of a class, or nil if the interval already has the maximum
// number of classes.
func (i *interval) class(c state.Class) *classCounts {
	counts := i.classes[c]
	if counts == nil && len(i.classes) < maxIntervalClasses {
		counts = &classCounts{first: hdrhistogram.New(1, maxTrackedDuration.Milliseconds(), classSignificantFigures)}
		i.classes[c] = counts
	}
	return counts
}

func (r *recent) ended(now time.Time, c state.Class, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.current(now)
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
	d = min(max(d, time.Millisecond), maxTrackedDuration)
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.current(now)
	_ = i.rank(c.Rank).first.RecordValue(d.Microseconds())
	if class := i.class(c); class != nil {
		_ = class.first.RecordValue(d.Milliseconds())
	}
}

func (r *recent) gap(now time.Time, c state.Class, d time.Duration) {
	d = min(max(d, time.Microsecond), maxTrackedDuration)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.current(now).rank(c.Rank).gap.RecordValue(d.Microseconds())
}

// since returns the intervals with counts among the latest n intervals up to now, oldest
// first. The caller must hold mu.
func (r *recent) since(now time.Time, n int) []*interval {
	oldest := now.UTC().Truncate(intervalSize).Add(-time.Duration(n-1) * intervalSize)
	first := slices.IndexFunc(r.ring, func(i *interval) bool { return !i.start.Before(oldest) })
	if first < 0 {
		return nil
	}
	return r.ring[first:]
}

// Ranks compares the requests of the last hour with the latency targets of their ranks.
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
		Rank: info.Name, FirstTokenTarget: info.FirstToken, GapTarget: info.BetweenTokens,
		Intervals: []protocol.Interval{}, IntervalSize: intervalSize,
	}
	first := hdrhistogram.New(1, maxTrackedDuration.Microseconds(), rankSignificantFigures)
	gap := hdrhistogram.New(1, maxTrackedDuration.Microseconds(), rankSignificantFigures)
	for _, i := range r.since(now, intervalCount) {
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
			Start:             i.start,
			FirstTokens:       uint64(counts.first.TotalCount()),
			FirstTokensInTime: within(counts.first, info.FirstToken),
		})
	}
	s.FirstTokens, s.FirstTokensInTime = uint64(first.TotalCount()), within(first, info.FirstToken)
	s.Gaps, s.GapsInTime = uint64(gap.TotalCount()), within(gap, info.BetweenTokens)
	s.FirstTokenP95 = time.Duration(first.ValueAtQuantile(percentile)) * time.Microsecond
	s.GapP95 = time.Duration(gap.ValueAtQuantile(percentile)) * time.Microsecond
	return s
}

// within returns the number of values in a histogram of microseconds that do not exceed a
// target.
func within(h *hdrhistogram.Histogram, target time.Duration) uint64 {
	var n int64
	for _, bar := range h.Distribution() {
		if bar.From <= target.Microseconds() {
			n += bar.Count
		}
	}
	return uint64(n)
}

// Classes returns the maxShownClasses classes with the most requests in the latest
// intervals, busiest first.
func (r *Recorder) Classes(now time.Time, ranks []state.RankInfo) []protocol.ClassStatus {
	r.recent.mu.Lock()
	defer r.recent.mu.Unlock()
	sums := make(map[state.Class]*classCounts)
	for _, i := range r.recent.since(now, classIntervals) {
		for class, counts := range i.classes {
			sum := sums[class]
			if sum == nil {
				sum = &classCounts{first: hdrhistogram.New(1, maxTrackedDuration.Milliseconds(), classSignificantFigures)}
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
			FirstTokenP95: time.Duration(sum.first.ValueAtQuantile(percentile)) * time.Millisecond,
		})
	}
	slices.SortFunc(list, func(a, b protocol.ClassStatus) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list[:min(len(list), maxShownClasses)]
}
