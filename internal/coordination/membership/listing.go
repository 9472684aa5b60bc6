package membership

import (
	"slices"
	"time"
)

// ListedVM is an entry of the platform's list of VMs.
type ListedVM struct {
	ID   string
	Addr string
}

// ListChanges is what follows from a read of the list.
type ListChanges struct {
	Replaced []string // listed with another address than before
	Dropped  []string // missing for long, and silent
}

// VMList follows the list of VMs, which lags and may be empty or wrong. What the
// list omits is kept for a while, and longer as long as it answers.
type VMList struct {
	after   time.Duration // how long an entry must be missing
	entries map[string]listedEntry
}

type listedEntry struct {
	addr     string
	listedAt time.Time
}

// NewVMList returns a listing that drops entries which are missing for longer
// than after.
func NewVMList(after time.Duration) *VMList {
	return &VMList{after: after, entries: make(map[string]listedEntry)}
}

// Update takes a read of the list. An empty list is ignored: a deployment without a
// VM could not have read it. answers reports whether a VM was heard lately.
func (l *VMList) Update(now time.Time, list []ListedVM, answers func(id string) bool) ListChanges {
	var c ListChanges
	if len(list) == 0 {
		return c
	}
	for _, e := range list {
		old, known := l.entries[e.ID]
		if known && old.addr != e.Addr {
			c.Replaced = append(c.Replaced, e.ID)
		}
		l.entries[e.ID] = listedEntry{addr: e.Addr, listedAt: now}
	}
	for id, e := range l.entries {
		if now.Sub(e.listedAt) > l.after && !answers(id) {
			c.Dropped = append(c.Dropped, id)
			delete(l.entries, id)
		}
	}
	slices.Sort(c.Dropped)
	return c
}

// Missing reports that the latest reads of the list, up to the given time, did not
// name a VM.
func (l *VMList) Missing(now time.Time, id string) bool {
	e, known := l.entries[id]
	return !known || now.Sub(e.listedAt) > l.after
}
