// Package versions decides which versions of an adapter may still begin a run.
//
// Engines get a new version one after the other. Until a grace period after its announcement, a run may
// begin on an older version. Each version counts from its own announcement: a later one does not renew
// the grace period of the version before it.
package versions

import (
	"cmp"
	"slices"
	"time"
)

// maxAnnouncements is the maximum number of announcements that a History keeps.
const maxAnnouncements = 8

// Announcement is a version and when it was announced. Times are readings of a clock that also counts
// while the machine is suspended.
type Announcement struct {
	Version int
	At      time.Duration
	// IsOld is set if only later information says when the version was announced. It then counts as
	// announced longer ago than any grace period.
	IsOld bool
}

// History is the announcements of one adapter that still decide: the newest one whose grace period is
// over, and those in their grace periods. The zero value has none.
type History struct {
	list []Announcement // by version
}

// Newest returns the newest announced version, 0 if there is none.
func (h *History) Newest() int { return h.newest().Version }

// Age returns the time since the announcement of the newest version.
func (h *History) Age(now time.Duration) time.Duration { return now - h.newest().At }

func (h *History) newest() Announcement {
	if len(h.list) == 0 {
		return Announcement{}
	}
	return h.list[len(h.list)-1]
}

// Add records an announcement, and reports whether the version is newer than all others. Of several
// times of the same version the earliest counts, as nobody learns of a version before its announcement.
// Add drops what no longer decides.
func (h *History) Add(now, grace time.Duration, a Announcement) bool {
	isNewest := a.Version > h.Newest()
	i, found := slices.BinarySearchFunc(h.list, a.Version, func(b Announcement, v int) int { return cmp.Compare(b.Version, v) })
	switch {
	case !found:
		h.list = slices.Insert(h.list, i, a)
	case a.IsOld:
	case h.list[i].IsOld:
		h.list[i] = a
	default:
		h.list[i].At = min(h.list[i].At, a.At)
	}
	h.prune(now, grace)
	return isNewest
}

// prune drops the announcements before the newest one whose grace period is over. Above
// maxAnnouncements it merges the two that are closest in time: the version between them then ends with
// the one before it.
func (h *History) prune(now, grace time.Duration) {
	for i := len(h.list) - 1; i > 0; i-- {
		if a := h.list[i]; !a.IsOld && now-a.At >= grace {
			h.list = slices.Delete(h.list, 0, i)
			break
		}
	}
	for len(h.list) > maxAnnouncements {
		closest := 0
		for i := range len(h.list) - 1 {
			if h.list[i+1].At-h.list[i].At < h.list[closest+1].At-h.list[closest].At {
				closest = i
			}
		}
		older, newer := h.list[closest], &h.list[closest+1]
		newer.At, newer.IsOld = min(newer.At, older.At), newer.IsOld || older.IsOld
		h.list = slices.Delete(h.list, closest, closest+1)
	}
}

// Oldest returns the oldest version that may begin a run: the newest one whose grace period is over, 0
// if there is none. It drops what no longer decides.
func (h *History) Oldest(now, grace time.Duration) int {
	h.prune(now, grace)
	for _, a := range slices.Backward(h.list) {
		if a.IsOld || now-a.At >= grace {
			return a.Version
		}
	}
	return 0
}

// EndsIn returns how long a version may still begin a run. It returns false for a version that no
// announced one supersedes. The time is not positive if the version may no longer begin.
func (h *History) EndsIn(now, grace time.Duration, version int) (time.Duration, bool) {
	left, isSuperseded := time.Duration(0), false
	for _, a := range h.list {
		if a.Version <= version {
			continue
		}
		end := a.At + grace - now
		if a.IsOld {
			end = 0
		}
		if !isSuperseded || end < left {
			left, isSuperseded = end, true
		}
	}
	return left, isSuperseded
}

// Each calls a function with the announcements, older versions first.
func (h *History) Each(call func(Announcement)) {
	for _, a := range h.list {
		call(a)
	}
}
