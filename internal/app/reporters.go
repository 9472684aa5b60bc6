package app

import (
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/node/config"
	suspectsnode "github.com/celerydeck/celerydeck/internal/node/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// suspectReporter reports the request fingerprints that this daemon refuses or suspects, and the
// shared messages that it refuses.
type suspectReporter struct{ node *suspectsnode.Node }

// Conditions implements operator.Reporter.
func (r suspectReporter) Conditions(now time.Time) []protocol.Condition {
	var list []protocol.Condition
	for _, e := range r.node.Entries() {
		c := protocol.Condition{
			Kind:    protocol.ConditionFingerprintRefused,
			Subject: fmt.Sprintf("fingerprint %016x", uint64(e.Fingerprint)),
			Since:   e.LastCrash.UTC(),
		}
		switch e.Verdict(now) {
		case suspects.Refused:
			c.Severity, c.Detail = protocol.SeverityWatch, fmt.Sprintf("refused after %d crashes", len(e.Crashes))
		case suspects.Suspect:
			c.Severity, c.Detail = protocol.SeverityNote, fmt.Sprintf("suspect after %d crashes, runs only alone", len(e.Crashes))
		default:
			continue
		}
		list = append(list, c)
	}
	for _, id := range r.node.RefusedMessages() {
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionFingerprintRefused, Severity: protocol.SeverityWatch,
			Subject: fmt.Sprintf("message %016x", id), Detail: "requests with this message are refused: upstreams crashed under several of them",
		})
	}
	return list
}

// ejectionReporter reports the upstreams that this daemon's routing has ejected.
type ejectionReporter struct{ fleet *state.Fleet }

// Conditions implements operator.Reporter.
func (r ejectionReporter) Conditions(time.Time) []protocol.Condition {
	var list []protocol.Condition
	for _, u := range r.fleet.All() {
		entry := r.fleet.Entry(u.ID)
		if entry == nil || entry.Gate() == state.GateOpen {
			continue
		}
		list = append(list, protocol.Condition{
			Kind: protocol.ConditionUpstreamEjected, Severity: protocol.SeverityWatch,
			Subject: string(u.ID), Detail: fmt.Sprintf("zone %s: requests failed there, gate %s", u.Zone, entry.Gate()),
		})
	}
	return list
}

// configReporter reports that this daemon's configuration no longer advances.
type configReporter struct{ node *config.Node }

// Conditions implements operator.Reporter.
func (r configReporter) Conditions(time.Time) []protocol.Condition {
	if !r.node.Diverged() {
		return nil
	}
	return []protocol.Condition{{
		Kind:     protocol.ConditionConfigBehind,
		Severity: protocol.SeverityUrgent,
		Subject:  fmt.Sprintf("revision %d", r.node.Revision()),
		Detail:   "the next record does not lead to the state that its author computed; this daemon stays here",
	}}
}
