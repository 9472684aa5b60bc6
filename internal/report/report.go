// Package report builds the handover report, which the operators of one shift pass to those of the next,
// as text, JSON and HTML.
package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// maxChanges is the maximum number of changes of state in a handover.
const maxChanges = 500

// Input holds the data that a handover is built from.
type Input struct {
	Since      time.Time
	Fleet      protocol.FleetView
	Notes      []protocol.Note
	History    []configsync.RevisionInfo // newest first
	Revision   uint64
	Digest     string
	Progress   configsync.Progress
	Unreadable []string // parts of the input that could not be read, each with its error
}

// AddReadError records that a part of the input could not be read. It does nothing if err is nil.
func (in *Input) AddReadError(what string, err error) {
	if err != nil {
		in.Unreadable = append(in.Unreadable, fmt.Sprintf("%s: %v", what, err))
	}
}

// Handover holds the state of the fleet, the changes after the time Since and the conditions that need an
// operator.
type Handover struct {
	At         time.Time                 `json:"at"`
	Since      time.Time                 `json:"since"`
	From       state.DaemonID            `json:"from"`
	Missing    []protocol.MissingDaemon  `json:"missing"`
	Unreadable []string                  `json:"unreadable,omitempty"`
	NeedsYou   []Group                   `json:"needs_you"`
	GoodToKnow []Group                   `json:"good_to_know"`
	Notes      []protocol.Note           `json:"notes"`
	Revisions  []configsync.RevisionInfo `json:"revisions"` // after Since, newest first
	Changes    []protocol.StateChange    `json:"changes"`   // after Since, newest first
	// MoreChanges is the number of older changes that are not in Changes.
	MoreChanges int                      `json:"more_changes,omitempty"`
	Drains      []protocol.Drain         `json:"drains"`
	Revision    uint64                   `json:"revision"`
	Digest      string                   `json:"digest,omitempty"`
	Progress    configsync.Progress      `json:"progress"`
	InForce     []RevisionCount          `json:"in_force"`
	Zones       []ZoneSummary            `json:"zones"`
	Daemons     []DaemonSummary          `json:"daemons"`
	Upstreams   []protocol.OwnedUpstream `json:"upstreams"`
	Ranks       []protocol.RankStatus    `json:"ranks"`
	Classes     []protocol.ClassStatus   `json:"classes"`
}

// RevisionCount is the number of daemons at which a revision is in force.
type RevisionCount struct {
	Revision uint64 `json:"revision"`
	Daemons  int    `json:"daemons"`
}

// ZoneSummary adds up the daemons and upstreams of an availability zone.
type ZoneSummary struct {
	Zone      state.Zone   `json:"zone"`
	Region    state.Region `json:"region"`
	Daemons   int          `json:"daemons"`
	Silent    int          `json:"silent"`
	Upstreams int          `json:"upstreams"`
	Healthy   int          `json:"healthy"`
	Leaving   int          `json:"leaving"`
	Down      int          `json:"down"`
	Unowned   int          `json:"unowned"`
	Running   int          `json:"running"`
	Queued    int          `json:"queued"`
	Batch     int          `json:"batch"`
}

// DaemonSummary is a daemon with the sums over its upstreams.
type DaemonSummary struct {
	Daemon    state.DaemonID `json:"daemon"`
	Zone      state.Zone     `json:"zone"`
	Revision  uint64         `json:"revision"`
	Upstreams int            `json:"upstreams"`
	Running   int            `json:"running"`
	Queued    int            `json:"queued"`
	Draining  bool           `json:"draining,omitempty"`
	Started   time.Time      `json:"started"`
}

// Build builds a handover. It is deterministic: equal inputs give equal handovers.
func Build(in Input) *Handover {
	h := &Handover{
		At:         in.Fleet.At,
		Since:      in.Since,
		From:       in.Fleet.Collector,
		Missing:    in.Fleet.Missing,
		Unreadable: in.Unreadable,
		Drains:     in.Fleet.Drains,
		Revision:   in.Revision,
		Digest:     in.Digest,
		Progress:   in.Progress,
		Ranks:      MergeRanks(in.Fleet.Daemons),
		Classes:    MergeClasses(in.Fleet.Daemons),
	}
	for _, n := range in.Notes {
		if !n.At.Before(in.Since) {
			h.Notes = append(h.Notes, n)
		}
	}
	for _, r := range in.History {
		if !r.At.Before(in.Since) {
			h.Revisions = append(h.Revisions, r)
		}
	}
	h.addDaemons(in.Fleet.Daemons)
	h.addZones(in.Fleet)
	h.addChanges(in.Fleet.Daemons)
	h.NeedsYou, h.GoodToKnow = groupConditions(Conditions(in))
	return h
}

// addDaemons adds the daemons, their upstreams and the number of daemons for each revision.
func (h *Handover) addDaemons(daemons []protocol.DaemonStatus) {
	counts := make(map[uint64]int)
	for _, d := range daemons {
		counts[d.Revision]++
		line := DaemonSummary{
			Daemon: d.Daemon, Zone: d.Zone, Revision: d.Revision, Upstreams: len(d.Upstreams),
			Draining: d.Draining, Started: d.Started,
		}
		for _, u := range d.Upstreams {
			line.Running += u.Running
			line.Queued += u.Queued
			h.Upstreams = append(h.Upstreams, u)
		}
		h.Daemons = append(h.Daemons, line)
	}
	for revision, n := range counts {
		h.InForce = append(h.InForce, RevisionCount{Revision: revision, Daemons: n})
	}
	slices.SortFunc(h.InForce, func(a, b RevisionCount) int { return cmp.Compare(b.Revision, a.Revision) })
	slices.SortFunc(h.Daemons, func(a, b DaemonSummary) int { return cmp.Compare(a.Daemon, b.Daemon) })
	slices.SortFunc(h.Upstreams, func(a, b protocol.OwnedUpstream) int { return cmp.Compare(a.ID, b.ID) })
}

func (h *Handover) addZones(view protocol.FleetView) {
	zones := make(map[state.Zone]*ZoneSummary)
	zone := func(name state.Zone, region state.Region) *ZoneSummary {
		z := zones[name]
		if z == nil {
			z = &ZoneSummary{Zone: name}
			zones[name] = z
		}
		if z.Region == "" {
			z.Region = region
		}
		return z
	}
	for _, d := range view.Daemons {
		zone(d.Zone, d.Region).Daemons++
		for _, u := range d.Upstreams {
			zone(u.Zone, u.Region).addUpstream(u)
		}
	}
	for _, m := range view.Missing {
		zone(m.Zone, "").Silent++
	}
	for _, u := range view.Unowned {
		z := zone(u.Zone, u.Region)
		z.Upstreams++
		z.Unowned++
	}
	for _, z := range zones {
		h.Zones = append(h.Zones, *z)
	}
	slices.SortFunc(h.Zones, func(a, b ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
}

func (z *ZoneSummary) addUpstream(u protocol.OwnedUpstream) {
	z.Upstreams++
	z.Running += u.Running
	z.Queued += u.Queued
	z.Batch += u.Batch
	switch {
	case u.Leaving:
		z.Leaving++
	case u.Healthy:
		z.Healthy++
	default:
		z.Down++
	}
}

// addChanges adds the newest maxChanges changes of state after Since, newest first, and counts the rest in
// MoreChanges.
func (h *Handover) addChanges(daemons []protocol.DaemonStatus) {
	for _, d := range daemons {
		for _, c := range d.Changes {
			if !c.At.Before(h.Since) {
				h.Changes = append(h.Changes, c)
			}
		}
	}
	slices.SortStableFunc(h.Changes, func(a, b protocol.StateChange) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Subject, b.Subject))
	})
	if more := len(h.Changes) - maxChanges; more > 0 {
		h.Changes, h.MoreChanges = h.Changes[:maxChanges], more
	}
}
