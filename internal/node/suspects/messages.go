package suspects

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	core "github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/statelog"
)

// messageTraits returns the traits of a request with the given shared messages.
func messageTraits(messages []uint64) []quarantine.Trait {
	traits := make([]quarantine.Trait, len(messages))
	for i, id := range messages {
		traits[i] = quarantine.Trait{Kind: quarantine.PromptPart, ID: id}
	}
	return traits
}

// refusesMessage reports whether a request with the messages is refused, even as a trial.
func (n *Node) refusesMessage(messages []uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.noteMessageChanges()
	return n.messages.IsRefused(n.opts.Clock(), messageTraits(messages))
}

// admitMessages reports whether a request with the messages may be sent, and whether it is a trial
// of refused ones.
func (n *Node) admitMessages(messages []uint64) (isAdmitted, isTrial bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.noteMessageChanges()
	wait, isTrial := n.messages.Admit(n.opts.Clock(), messageTraits(messages))
	if isTrial {
		statelog.Info("Trial of shared messages", "daemon", n.opts.Self)
	}
	return wait == 0, isTrial
}

// noteMessageChanges logs the messages whose refusal began or ended, and marks them for
// saveMessages. The caller holds mu.
func (n *Node) noteMessageChanges() {
	for _, c := range n.messages.Changes() {
		n.unsavedMessages[c.Trait.ID] = true
		statelog.Info("Shared message", "daemon", n.opts.Self, "message", strconv.FormatUint(c.Trait.ID, 16), "refused", c.Refused, "crashes", c.Crashes)
	}
}

// RefusedMessages returns the hashes of the messages with which requests are refused.
func (n *Node) RefusedMessages() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []uint64
	for _, trait := range n.messages.Refused(n.opts.Clock()) {
		list = append(list, trait.ID)
	}
	return list
}

// maxReportedCrashes is the number of crashes in a message to other daemons: as many as their tables keep.
const maxReportedCrashes = 1 << 16

// recordMessageCrashes records a crash under requests with the given messages, and returns what is
// new for the other daemons. The caller holds mu.
func (n *Node) recordMessageCrashes(id core.CrashID, messages []uint64) []quarantine.Crash {
	now := n.opts.Clock()
	var list []quarantine.Crash
	for _, trait := range messageTraits(messages) {
		c := quarantine.Crash{ID: trait.ID, Kind: trait.Kind, Upstream: id.Upstream, Boot: int64(xxhash.Sum64String(string(id.Boot)))}
		if n.messages.RecordCrash(now, c) {
			list = append(list, c)
		}
	}
	if dropped := len(list) - maxReportedCrashes; dropped > 0 {
		statelog.Info("Crashes not reported", "daemon", n.opts.Self, "upstream", id.Upstream, "count", dropped)
		list = list[dropped:]
	}
	return list
}

// recordSurvivals records that a request with the given messages completed, and returns those
// messages that crashes counted against. The caller holds mu.
func (n *Node) recordSurvivals(messages []uint64) []quarantine.Survival {
	now := n.opts.Clock()
	var list []quarantine.Survival
	for _, trait := range messageTraits(messages) {
		if n.messages.RecordSurvival(now, trait) {
			list = append(list, quarantine.Survival{Kind: trait.Kind, ID: trait.ID})
		}
	}
	return list
}

// recordPeerSurvivals records survivals that a peer reports, and returns the new ones. The caller
// holds mu.
func (n *Node) recordPeerSurvivals(survivals []quarantine.Survival) []quarantine.Survival {
	now := n.opts.Clock()
	var list []quarantine.Survival
	for _, s := range survivals {
		if n.messages.RecordPeerSurvival(now, s) {
			list = append(list, s)
		}
	}
	return list
}

// mergeMessageCrashes records the survivals and the crashes that a peer reports. It returns the last
// completions, not long before these crashes or after them, of requests with their messages. The caller
// holds mu.
func (n *Node) mergeMessageCrashes(msg protocol.Suspects) []quarantine.Survival {
	n.recordPeerSurvivals(quarantine.UngroupSurvivals(msg.Survivals))
	now := n.opts.Clock()
	var survivals []quarantine.Survival
	for _, c := range quarantine.UngroupCrashes(msg.MessageCrashes) {
		if last, ok := n.messages.LastSurvival(now, c); ok {
			survivals = append(survivals, last)
		}
		n.messages.RecordCrash(now, c)
	}
	return survivals
}

// messageRefusal returns the error of a request that shares a refused message.
func messageRefusal(f core.Fingerprint) *protocol.Error {
	err := refusal(f)
	err.Message = "requests that share a message with this one have crashed upstreams"
	return err
}
