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

// ListChanges are the changes that follow from a read of the list.
type ListChanges struct {
	Replaced []string // IDs listed with a new address
	Dropped  []string // IDs missing from the list for long, of VMs that are silent
}

// VMList tracks the platform's list of VMs, which lags and may be empty or wrong. It
// keeps a VM that the list omits for a while, and then as long as the VM answers.
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

// Update applies a read of the list. It ignores an empty list, since a deployment
// without a VM could not have read it. The function answers reports whether a VM was
// heard recently.
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

// Missing reports whether no read of the list has named a VM for longer than dropAfter
// before now.
func (l *VMList) Missing(now time.Time, id string) bool {
	e, known := l.entries[id]
	return !known || now.Sub(e.listedAt) > l.dropAfter
}
