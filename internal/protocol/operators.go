package protocol

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Kinds of messages about the state of daemons. Values are part of the wire format.
const (
	MsgStatusQuery MessageKind = iota + 64
	MsgStatusReply
)

// StatusQuery asks a daemon for its status.
type StatusQuery struct {
	// ChangesSince requests the changes of state since this time. The zero time requests
	// no changes.
	ChangesSince time.Time `json:"changes_since,omitzero"`
}

// DaemonStatus is a daemon's report to operators about itself and its upstreams.
type DaemonStatus struct {
	Daemon      state.DaemonID    `json:"daemon"`
	Incarnation state.Incarnation `json:"incarnation"`
	Zone        state.Zone        `json:"zone"`
	Region      state.Region      `json:"region"`
	At          time.Time         `json:"at"`
	Started     time.Time         `json:"started"`
	Draining    bool              `json:"draining,omitempty"`
	Revision    uint64            `json:"revision"` // configuration in force
	Digest      string            `json:"digest,omitempty"`
	Upstreams   []OwnedUpstream   `json:"upstreams"`
	Ranks       []RankStatus      `json:"ranks"`
	Classes     []ClassStatus     `json:"classes,omitempty"` // busiest first
	Conditions  []Condition       `json:"conditions"`
	Changes     []StateChange     `json:"changes,omitempty"` // oldest first
}

// Kinds of upstreams in a status.
const (
	UpstreamEngine = "engine"
	UpstreamPlain  = "plain"
)

// OwnedUpstream is the state of an upstream as its owner reports it.
type OwnedUpstream struct {
	ID              state.UpstreamID `json:"id"`
	Zone            state.Zone       `json:"zone"`
	Region          state.Region     `json:"region"`
	Kind            string           `json:"kind"`
	Service         state.ServiceID  `json:"service,omitempty"`
	Base            string           `json:"base,omitempty"`
	SupportsFencing bool             `json:"fenced,omitempty"`
	Owner           state.DaemonID   `json:"owner"`
	Epoch           state.Epoch      `json:"epoch"`
	Boot            state.BootID     `json:"boot,omitempty"`
	Healthy         bool             `json:"healthy"`
	Leaving         bool             `json:"leaving,omitempty"`
	Running         int              `json:"running"`
	Queued          int              `json:"queued"`
	Slots           int              `json:"slots"`
	Batch           int              `json:"batch"`
	Resident        []string         `json:"resident,omitempty"` // service/adapter@version
	Restarts        int              `json:"restarts,omitempty"` // within the retention time of changes
}

// RankStatus compares the requests of a rank with the latency targets of the rank.
type RankStatus struct {
	Rank              string        `json:"rank"`
	FirstTokenTarget  time.Duration `json:"target_first_ns"`
	GapTarget         time.Duration `json:"target_gap_ns"`
	Requests          uint64        `json:"requests"`
	FirstTokensInTime uint64        `json:"first_in_time"` // first tokens within the first-token target
	FirstTokens       uint64        `json:"firsts"`
	GapsInTime        uint64        `json:"gaps_in_time"` // gaps between tokens within their target
	Gaps              uint64        `json:"gaps"`
	Failed            uint64        `json:"failed"`
	Refused           uint64        `json:"refused"`
	FirstTokenP95     time.Duration `json:"first_p95_ns"`
	GapP95            time.Duration `json:"gap_p95_ns"`
	Intervals         []Interval    `json:"intervals"` // oldest first
	IntervalSize      time.Duration `json:"interval_size_ns"`
}

// Interval counts the first tokens of a rank in one interval of time.
type Interval struct {
	Start             time.Time `json:"start"`
	FirstTokens       uint64    `json:"firsts"`
	FirstTokensInTime uint64    `json:"first_in_time"`
}

// ClassStatus counts the recent requests of a class.
type ClassStatus struct {
	Customer      state.CustomerID `json:"customer"`
	Service       state.ServiceID  `json:"service"`
	Rank          string           `json:"rank"`
	Requests      uint64           `json:"requests"`
	Refused       uint64           `json:"refused"`
	Failed        uint64           `json:"failed"`
	FirstTokenP95 time.Duration    `json:"first_p95_ns"`
}

// Severity orders conditions by their need for action.
type Severity string

// Severities, the most severe first.
const (
	SeverityUrgent Severity = "urgent" // needs action now
	SeverityWatch  Severity = "watch"  // may need action soon
	SeverityNote   Severity = "note"   // informational
)

// ConditionKind identifies the type of a condition.
type ConditionKind string

// Kinds of conditions.
const (
	ConditionDaemonSilent       ConditionKind = "daemon_silent"
	ConditionUpstreamUnowned    ConditionKind = "upstream_unowned"
	ConditionUpstreamDown       ConditionKind = "upstream_down"
	ConditionUpstreamCrashed    ConditionKind = "upstream_crashed"
	ConditionUpstreamEjected    ConditionKind = "upstream_ejected"
	ConditionEngineCold         ConditionKind = "engine_cold"
	ConditionLoadFailing        ConditionKind = "load_failing"
	ConditionLoadStalled        ConditionKind = "load_stalled"
	ConditionUnloadFrozen       ConditionKind = "unload_frozen"
	ConditionLeaseLost          ConditionKind = "lease_lost"
	ConditionPlatformDown       ConditionKind = "platform_unreachable"
	ConditionPartition          ConditionKind = "network_partition"
	ConditionConfigBehind       ConditionKind = "configuration_behind"
	ConditionFlood              ConditionKind = "flood"
	ConditionRankLate           ConditionKind = "rank_late"
	ConditionFingerprintRefused ConditionKind = "fingerprint_refused"
	ConditionOutcomeUnknown     ConditionKind = "outcome_unknown"
	ConditionDrained            ConditionKind = "drained"
)

// ConditionKinds lists every kind of condition.
func ConditionKinds() []ConditionKind {
	return []ConditionKind{
		ConditionDaemonSilent, ConditionUpstreamUnowned, ConditionUpstreamDown, ConditionUpstreamCrashed,
		ConditionUpstreamEjected,
		ConditionEngineCold, ConditionLoadFailing, ConditionLoadStalled, ConditionUnloadFrozen,
		ConditionLeaseLost, ConditionPlatformDown, ConditionPartition, ConditionConfigBehind,
		ConditionFlood, ConditionRankLate, ConditionFingerprintRefused, ConditionOutcomeUnknown,
		ConditionDrained,
	}
}

// Condition is an abnormal state that a daemon reports to operators.
type Condition struct {
	Kind     ConditionKind  `json:"kind"`
	Severity Severity       `json:"severity"`
	Subject  string         `json:"subject"` // what the condition concerns, such as an upstream or adapter
	Detail   string         `json:"detail,omitempty"`
	Daemon   state.DaemonID `json:"daemon,omitempty"`  // that reports the condition
	Daemons  int            `json:"daemons,omitempty"` // number of daemons that report the condition, if several do
	Since    time.Time      `json:"since,omitzero"`
}

// StateChange is a change of state that a daemon observed.
type StateChange struct {
	At          time.Time      `json:"at"`
	Daemon      state.DaemonID `json:"daemon"`
	Subject     string         `json:"subject"`
	Description string         `json:"what"`
}

// FleetView is the status of all daemons, collected by one daemon.
type FleetView struct {
	At        time.Time       `json:"at"`
	Collector state.DaemonID  `json:"from"`
	Daemons   []DaemonStatus  `json:"daemons"`
	Missing   []MissingDaemon `json:"missing"`
	Unowned   []OwnedUpstream `json:"unowned"` // listed upstreams that no answering daemon owns
	Drains    []Drain         `json:"drains"`
}

// Partial reports whether the status of at least one daemon is missing.
func (v *FleetView) Partial() bool { return len(v.Missing) > 0 }

// MissingDaemon is a daemon of the fleet whose status is missing.
type MissingDaemon struct {
	Daemon state.DaemonID `json:"daemon"`
	Zone   state.Zone     `json:"zone"`
	Reason string         `json:"reason"`
}

// DrainKind is the type of object that is drained.
type DrainKind string

// Kinds of drains.
const (
	DrainUpstream DrainKind = "upstream"
	DrainDaemon   DrainKind = "daemon"
)

// Drain keeps new requests from an upstream or a daemon until an operator removes the
// drain.
type Drain struct {
	Kind    DrainKind `json:"kind"`
	Subject string    `json:"subject"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason,omitempty"`
	At      time.Time `json:"at"`
}

// Note is a remark that an operator leaves for other operators.
type Note struct {
	ID     uint64    `json:"id"`
	Key    string    `json:"key,omitempty"` // chosen by the client; a note with the same key is not stored again
	Author string    `json:"author"`
	Text   string    `json:"text"`
	At     time.Time `json:"at"`
}

// ExplainQuery asks how a request for a model would be routed, or for the state of an
// upstream. Either Model or Upstream is set.
type ExplainQuery struct {
	Model    string           `json:"model,omitempty"` // service/adapter[@version] or a plain service
	Rank     string           `json:"rank,omitempty"`
	Upstream state.UpstreamID `json:"upstream,omitempty"`
}

// Explanation answers an ExplainQuery.
type Explanation struct {
	Daemon     state.DaemonID `json:"daemon"` // that would route the request
	Subject    string         `json:"subject"`
	Facts      []string       `json:"facts"`
	Chosen     string         `json:"chosen,omitempty"`
	Candidates []Candidate    `json:"candidates,omitempty"`
	Conditions []Condition    `json:"conditions"`
	Missing    []string       `json:"missing,omitempty"` // daemons that did not answer
}

// Candidate is an upstream that routing considered for a request.
type Candidate struct {
	Upstream state.UpstreamID `json:"upstream"`
	Zone     state.Zone       `json:"zone"`
	Owner    state.DaemonID   `json:"owner"`
	Eligible bool             `json:"eligible"`
	Resident bool             `json:"resident"`
	Running  int              `json:"running"`
	Queued   int              `json:"queued"`
	Reason   string           `json:"reason"`
}
