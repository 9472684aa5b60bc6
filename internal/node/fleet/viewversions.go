package fleet

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/versions"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// VersionBasis is what a choice knew of the versions of an adapter.
type VersionBasis struct {
	Newest    int           // newest announced version, 0 if none was announced
	NewestAge time.Duration // since its announcement, as far as this daemon knows
	Resident  int           // version at the chosen engine, 0 without the adapter
	CanLoad   bool          // the lease holder of the chosen engine accepts loads
}

// RecordVersion records an announced version of an adapter. It reports whether the version is newer
// than the newest known one.
func (v *View) RecordVersion(announced upstreams.Version) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.versions[announced.Adapter]
	if h == nil {
		h = new(versions.History)
		v.versions[announced.Adapter] = h
	}
	now := v.opts.BootClock()
	return h.Add(now, v.opts.OutdatedGracePeriod, versions.Announcement{
		Version: announced.Version, At: now - max(0, announced.Age), IsOld: announced.Age < 0,
	})
}

// EachNewestVersion calls a function with the newest announced version of each adapter.
func (v *View) EachNewestVersion(each func(upstreams.Adapter, int)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for a, h := range v.versions {
		each(a, h.Newest())
	}
}

// newestVersion returns the newest announced version of an adapter, 0 if there is none. The caller
// holds the lock.
func (v *View) newestVersion(a upstreams.Adapter) int {
	if h := v.versions[a]; h != nil {
		return h.Newest()
	}
	return 0
}

// oldestVersion returns the oldest version of an adapter that may begin a run. Only adapters have a
// limit: nobody loads new weights of a model. The caller holds the lock.
func (v *View) oldestVersion(a upstreams.Adapter) int {
	if h := v.versions[a]; h != nil && a.Name != "" {
		return h.Oldest(v.opts.BootClock(), v.opts.OutdatedGracePeriod)
	}
	return 0
}

// VersionEndsIn returns how long a run may still begin on a version of an adapter. It returns false if no
// announced version supersedes it.
func (v *View) VersionEndsIn(a upstreams.Adapter, version int) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.versions[a]; h != nil && a.Name != "" {
		return h.EndsIn(v.opts.BootClock(), v.opts.OutdatedGracePeriod, version)
	}
	return 0, false
}

// beginsInTime reports whether a placement is estimated to begin its run while its version may. The caller
// holds the lock.
func (v *View) beginsInTime(a upstreams.Adapter, p Placement) bool {
	h := v.versions[a]
	if h == nil || a.Name == "" {
		return true
	}
	left, isSuperseded := h.EndsIn(v.opts.BootClock(), v.opts.OutdatedGracePeriod, p.RunsVersion)
	return !isSuperseded || p.Estimate < left
}

// announcements returns the announcements that still decide, with their ages.
func (v *View) announcements() []upstreams.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.BootClock()
	var list []upstreams.Version
	for a, h := range v.versions {
		h.Each(func(announced versions.Announcement) {
			age := max(0, now-announced.At)
			if announced.IsOld {
				age = -1
			}
			list = append(list, upstreams.Version{Adapter: a, Version: announced.Version, Age: age})
		})
	}
	return list
}
