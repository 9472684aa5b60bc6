package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	// minInTimeFraction is the fraction of the requests of a rank that must meet the first-token target of the
	// rank.
	minInTimeFraction = 0.95
	// minRequests is the number of requests of a rank below which no condition is derived from the fraction
	// that met the target, because so few requests are not significant.
	minRequests = 20
	// A class of requests is reported as a flood if at least floodMinRefusals of its requests, and at least
	// the fraction floodMinFraction of them, were refused.
	floodMinRefusals = 100
	floodMinFraction = 0.5
	// urgentRestarts is the number of restarts of an upstream at which its crashes become urgent.
	urgentRestarts = 3
	// maxGroupConditions is the maximum number of conditions that a group lists.
	maxGroupConditions = 5
)

// Group holds the conditions of one kind and severity.
type Group struct {
	Kind       protocol.ConditionKind `json:"kind"`
	Severity   protocol.Severity      `json:"severity"`
	Count      int                    `json:"count"`
	Since      time.Time              `json:"since,omitzero"` // start of the oldest condition
	Conditions []protocol.Condition   `json:"conditions"`     // at most maxGroupConditions
	Advice     string                 `json:"advice"`
}

// Conditions returns the conditions that daemons report and the conditions derived from the state of the whole
// fleet, most severe first. Equal conditions of several daemons are merged.
func Conditions(in Input) []protocol.Condition {
	var all []protocol.Condition
	for _, d := range in.Fleet.Daemons {
		all = append(all, d.Conditions...)
		for _, u := range d.Upstreams {
			all = append(all, upstreamConditions(u)...)
		}
	}
	for _, m := range in.Fleet.Missing {
		all = append(all, protocol.Condition{
			Kind: protocol.ConditionDaemonSilent, Severity: protocol.SeverityUrgent,
			Subject: string(m.Daemon), Detail: fmt.Sprintf("zone %s: %s", m.Zone, m.Reason),
		})
	}
	for _, u := range in.Fleet.Unowned {
		all = append(all, protocol.Condition{
			Kind: protocol.ConditionUpstreamUnowned, Severity: protocol.SeverityUrgent,
			Subject: string(u.ID), Detail: unownedDetail(u),
		})
	}
	for _, d := range in.Fleet.Drains {
		all = append(all, protocol.Condition{
			Kind: protocol.ConditionDrained, Severity: protocol.SeverityNote, Since: d.At,
			Subject: string(d.Kind) + " " + d.Subject, Detail: fmt.Sprintf("by %s: %s", d.Author, d.Reason),
		})
	}
	if behind := len(in.Progress.Behind); behind > 0 {
		all = append(all, protocol.Condition{
			Kind: protocol.ConditionConfigBehind, Severity: protocol.SeverityWatch,
			Subject: fmt.Sprintf("revision %d", in.Progress.Revision),
			Detail:  fmt.Sprintf("in force at %d of %d daemons, not at %s", in.Progress.InForce, in.Progress.Daemons, join(in.Progress.Behind)),
		})
	}
	all = append(all, floodConditions(MergeClasses(in.Fleet.Daemons))...)
	all = append(all, lateRankConditions(MergeRanks(in.Fleet.Daemons))...)
	slices.SortStableFunc(all, compareConditions)
	return merge(all)
}

// merge combines equal conditions that several daemons report into one condition. The input must be sorted.
func merge(all []protocol.Condition) []protocol.Condition {
	var merged []protocol.Condition
	for _, c := range all {
		last := len(merged) - 1
		if last < 0 || !sameReport(merged[last], c) {
			merged = append(merged, c)
			continue
		}
		merged[last].Daemons = max(merged[last].Daemons, 1) + 1
		if c.Since.Before(merged[last].Since) {
			merged[last].Since = c.Since
		}
	}
	return merged
}

// sameReport reports whether two conditions differ at most in their daemon and time.
func sameReport(a, b protocol.Condition) bool {
	return a.Kind == b.Kind && a.Severity == b.Severity && a.Subject == b.Subject && a.Detail == b.Detail
}

func unownedDetail(u protocol.OwnedUpstream) string {
	if u.Owner == "" {
		return fmt.Sprintf("zone %s: no daemon claims it", u.Zone)
	}
	return fmt.Sprintf("zone %s: last known owner %s", u.Zone, u.Owner)
}

// upstreamConditions derives the conditions of an upstream from its status.
func upstreamConditions(u protocol.OwnedUpstream) []protocol.Condition {
	condition := protocol.Condition{Subject: string(u.ID), Daemon: u.Owner}
	var all []protocol.Condition
	add := func(kind protocol.ConditionKind, severity protocol.Severity, format string, args ...any) {
		condition.Kind, condition.Severity = kind, severity
		condition.Detail = fmt.Sprintf(format, args...)
		all = append(all, condition)
	}
	if !u.Healthy && !u.Leaving {
		add(protocol.ConditionUpstreamDown, protocol.SeverityUrgent, "does not answer its owner")
	}
	if u.Restarts > 0 {
		severity := protocol.SeverityWatch
		if u.Restarts >= urgentRestarts {
			severity = protocol.SeverityUrgent
		}
		add(protocol.ConditionUpstreamCrashed, severity, "restarted %d times", u.Restarts)
	}
	if u.Kind == protocol.UpstreamEngine && u.Healthy && !u.Leaving && len(u.Resident) == 0 && u.Slots > 0 {
		add(protocol.ConditionEngineCold, protocol.SeverityNote, "no adapter is loaded")
	}
	return all
}

// lateRankConditions returns a condition for each rank that misses its first-token target. The condition has
// severity urgent for the first rank, whose requests have the highest priority.
func lateRankConditions(ranks []protocol.RankStatus) []protocol.Condition {
	var conditions []protocol.Condition
	for i, r := range ranks {
		if r.FirstTokens < minRequests || Fraction(r.FirstTokensInTime, r.FirstTokens) >= minInTimeFraction {
			continue
		}
		severity := protocol.SeverityWatch
		if i == 0 {
			severity = protocol.SeverityUrgent
		}
		conditions = append(conditions, protocol.Condition{
			Kind: protocol.ConditionRankLate, Severity: severity, Subject: "rank " + r.Rank,
			Detail: fmt.Sprintf("%.1f%% of first tokens within %s", 100*Fraction(r.FirstTokensInTime, r.FirstTokens), r.FirstTokenTarget),
		})
	}
	return conditions
}

// floodConditions returns a condition for each class of requests that is flooded, as defined by
// floodMinRefusals and floodMinFraction.
func floodConditions(classes []protocol.ClassStatus) []protocol.Condition {
	var list []protocol.Condition
	for _, c := range classes {
		if c.Refused < floodMinRefusals || Fraction(c.Refused, c.Requests) < floodMinFraction {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionFlood, Severity: protocol.SeverityWatch,
			Subject: fmt.Sprintf("%s/%s/%s", c.Customer, c.Service, c.Rank),
			Detail:  fmt.Sprintf("%d of %d requests of the last minutes were refused", c.Refused, c.Requests),
		})
	}
	return list
}

// Fraction returns part/whole, or 1 if whole is 0.
func Fraction(part, whole uint64) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// severityOrder returns the sort key of a severity, lowest for the most severe.
func severityOrder(s protocol.Severity) int {
	switch s {
	case protocol.SeverityUrgent:
		return 0
	case protocol.SeverityWatch:
		return 1
	}
	return 2
}

// compareConditions orders conditions by severity, then by kind and the other fields that equal conditions
// share, so that equal conditions are adjacent.
func compareConditions(a, b protocol.Condition) int {
	return cmp.Or(
		cmp.Compare(severityOrder(a.Severity), severityOrder(b.Severity)),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Subject, b.Subject),
		cmp.Compare(a.Detail, b.Detail),
		cmp.Compare(a.Daemon, b.Daemon),
	)
}

// groupConditions groups sorted conditions by severity and kind. The second result holds the groups of severity
// note, which need no action.
func groupConditions(all []protocol.Condition) (needsYou, goodToKnow []Group) {
	for len(all) > 0 {
		first := all[0]
		n := 1
		for n < len(all) && all[n].Kind == first.Kind && all[n].Severity == first.Severity {
			n++
		}
		group := newGroup(all[:n])
		if first.Severity == protocol.SeverityNote {
			goodToKnow = append(goodToKnow, group)
		} else {
			needsYou = append(needsYou, group)
		}
		all = all[n:]
	}
	return needsYou, goodToKnow
}

// newGroup returns the group of conditions of one kind and severity.
func newGroup(conditions []protocol.Condition) Group {
	g := Group{
		Kind:       conditions[0].Kind,
		Severity:   conditions[0].Severity,
		Count:      len(conditions),
		Conditions: conditions[:min(len(conditions), maxGroupConditions)],
		Advice:     Advice(conditions[0].Kind),
	}
	for _, c := range conditions {
		if !c.Since.IsZero() && (g.Since.IsZero() || c.Since.Before(g.Since)) {
			g.Since = c.Since
		}
	}
	return g
}

// adviceByKind holds the advice for operators on each kind of condition.
var adviceByKind = map[protocol.ConditionKind]string{
	protocol.ConditionDaemonSilent:       "Check the VM. If it is gone for good, wait until the list of VMs drops it; its upstreams get a new owner.",
	protocol.ConditionUpstreamUnowned:    "Check that the zone has a live daemon; see celerydeck explain --upstream.",
	protocol.ConditionUpstreamDown:       "Check the upstream's VM and process; requests go elsewhere meanwhile.",
	protocol.ConditionUpstreamCrashed:    "Look for refused fingerprints; drain the upstream if it keeps restarting.",
	protocol.ConditionUpstreamEjected:    "Requests fail there, so it gets probes only. Look at its logs; it comes back by itself when probes succeed.",
	protocol.ConditionEngineCold:         "Nothing to do while it refills; look at the weight store if it stays empty.",
	protocol.ConditionLoadFailing:        "Check the source of the version in the weight store; celerydeck explain names the error.",
	protocol.ConditionLoadStalled:        "The weight store is the bottleneck; find the adapters that load most with celerydeck top.",
	protocol.ConditionUnloadFrozen:       "Adapters stay loaded until the owner can prove that it is alone; restore the platform or the zone's links.",
	protocol.ConditionLeaseLost:          "The daemon cannot renew its lease; check its path to the platform.",
	protocol.ConditionPlatformDown:       "Serving goes on; changes of configuration and drains wait. Restore the platform.",
	protocol.ConditionPartition:          "Zones do not reach each other; each serves what it can. Restore the network.",
	protocol.ConditionConfigBehind:       "Wait a few seconds; if a daemon stays behind, check its links to the platform and its zone.",
	protocol.ConditionFlood:              "The flooding class is held to its share. Ask the customer; lower requests_per_second if needed.",
	protocol.ConditionRankLate:           "Compare running with batch by zone; add engines or lower less urgent work.",
	protocol.ConditionFingerprintRefused: "A request, or several requests with one message, crashed several upstreams and are refused now. Tell their customer.",
	protocol.ConditionOutcomeUnknown:     "A call that must not repeat was interrupted. Check the service's own records before anyone sends it again.",
	protocol.ConditionDrained:            "End the drain with celerydeck drain --end when the work is done.",
}

// Advice returns what operators should do about a kind of condition.
func Advice(kind protocol.ConditionKind) string { return adviceByKind[kind] }
