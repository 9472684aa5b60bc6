package hedge

import (
	"math/bits"
	"time"
)

const (
	// subBits divides each power of two into 1<<subBits buckets, so that a quantile is at most
	// 12.5% too high.
	subBits     = 3
	bucketCount = 24 << subBits // up to 67 s in microseconds
)

// histogram counts durations in buckets whose width grows with the duration.
type histogram struct {
	counts [bucketCount]uint32
	total  uint64
}

// bucketOf returns the bucket of a duration. Durations beyond the last bucket count in it.
func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 1<<subBits {
		return int(us)
	}
	shift := bits.Len64(us) - subBits - 1
	return min(shift<<subBits+int(us>>shift), bucketCount-1)
}

// upperBound returns the least duration above a bucket.
func upperBound(bucket int) time.Duration {
	if bucket < 2<<subBits {
		return time.Duration(bucket+1) * time.Microsecond
	}
	shift := bucket>>subBits - 1
	mantissa := uint64(bucket&(1<<subBits-1)) + 1<<subBits
	return time.Duration((mantissa+1)<<shift) * time.Microsecond
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
}

// quantile returns an upper bound of a quantile of the durations in two histograms.
func quantile(a, b *histogram, q float64) time.Duration {
	rank := uint64(q * float64(a.total+b.total))
	var seen uint64
	for i := range bucketCount {
		if seen += uint64(a.counts[i]) + uint64(b.counts[i]); seen > rank {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}
