package membership

import (
	"slices"
	"time"
)

// ListedVM is a VM of the platform's list.
type ListedVM struct {
	ID   string
	Addr string
}

// ListChanges holds the changes that a read of the platform's list of VMs has caused.
type ListChanges struct {
	Replaced []string // IDs listed with a new address
	Dropped  []string // IDs of silent VMs that were missing from the list for longer than dropAfter
}

// VMList tracks the platform's list of VMs, which lags and may be empty or wrong. A VM that
// the list omits is kept for dropAfter, and longer as long as the VM answers.
type VMList struct {
	dropAfter time.Duration // how long an entry must be missing to be dropped
	entries   map[string]listedEntry
}

type listedEntry struct {
	addr     string
	listedAt time.Time // when a read of the list last named the VM
}

// NewVMList returns an empty list, which drops entries that are missing for longer than
// dropAfter.
func NewVMList(dropAfter time.Duration) *VMList {
	return &VMList{dropAfter: dropAfter, entries: make(map[string]listedEntry)}
}

// Update applies a read of the list and drops VMs that are missing and silent. It ignores an
// empty list, which must be wrong because it omits the VM of the reader. The function
// answers reports whether a VM was heard recently.
func (l *VMList) Update(now time.Time, list []ListedVM, answers func(id string) bool) ListChanges {
	var changes ListChanges
	if len(list) == 0 {
		return changes
	}
	for _, e := range list {
		previous, known := l.entries[e.ID]
		if known && previous.addr != e.Addr {
			changes.Replaced = append(changes.Replaced, e.ID)
		}
		l.entries[e.ID] = listedEntry{addr: e.Addr, listedAt: now}
	}
	for id, e := range l.entries {
		if now.Sub(e.listedAt) > l.dropAfter && !answers(id) {
			changes.Dropped = append(changes.Dropped, id)
			delete(l.entries, id)
		}
	}
	slices.Sort(changes.Dropped)
	return changes
}

// Missing reports whether a VM is unknown, or no read of the list has named it for longer
// than dropAfter.
func (l *VMList) Missing(now time.Time, id string) bool {
	e, known := l.entries[id]
	return !known || now.Sub(e.listedAt) > l.dropAfter
}
