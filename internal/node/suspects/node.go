// Package suspects replicates the table of requests that crash upstreams to all daemons.
// It lets a suspect run only with a permit from the tracker to which the suspect's
// fingerprint is assigned. Fingerprints that are refused are also kept in the object
// store.
package suspects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	core "github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	refusedPrefix         = "refused/" // prefix of the object keys of refused fingerprints
	broadcastTimeout      = 500 * time.Millisecond
	exchangeTimeout       = time.Second
	permitPollInterval    = 200 * time.Millisecond
	gossipInterval        = 20 * time.Second
	initialGossipInterval = 250 * time.Millisecond // interval until the first peer has replied
	storeTimeout          = 5 * time.Second
	retryAfter            = 2 * time.Second
)

// Members lists the daemons of the fleet.
type Members interface {
	// AllPeers returns all known daemons except this one.
	AllPeers() []peer.Peer
}

// Exchanger sends a message to a peer and decodes the reply.
type Exchanger interface {
	Exchange(ctx context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error
}

// Options configures a Node.
type Options struct {
	Self    state.DaemonID
	Objects platform.ObjectStore
	Peers   Exchanger
	Members Members
	Clock   func() time.Time
	Rand    *rand.Rand
}

// Node holds the table of suspects and the tracker of one daemon. It is safe for
// concurrent use.
type Node struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex // guards the fields below; never held across I/O
	table   *core.Table
	tracker *core.Tracker
	// messages holds the crashes that count against shared messages.
	messages *quarantine.Table
	unsaved  map[core.Fingerprint]bool // refused fingerprints that save has yet to write
	loaded   bool                      // load has read the refused fingerprints

	unsavedMessages map[uint64]bool // messages whose refusal began or ended since saveMessages
	loadedMessages  bool            // loadMessages has read the refused messages
}

// New returns a node with an empty table. The node exchanges entries with peers at regular
// intervals after Start.
func New(opts Options) *Node {
	ctx, stop := context.WithCancel(context.Background())
	table := core.NewTable()
	return &Node{
		opts:    opts,
		ctx:     ctx,
		stop:    stop,
		table:   table,
		tracker: core.NewTracker(table),

		messages: quarantine.New(),
		unsaved:  make(map[core.Fingerprint]bool),

		unsavedMessages: make(map[uint64]bool),
	}
}

// Start starts the gossip, which runs until Close.
func (n *Node) Start() {
	n.wg.Go(n.gossip)
}

// Close stops the gossip and waits until it and all background writes have ended.
func (n *Node) Close() {
	n.stop()
	n.wg.Wait()
}

// Entries returns all entries of this daemon's table.
func (n *Node) Entries() []core.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Entries()
}

// Verdict returns the verdict on a fingerprint according to this daemon's table.
func (n *Node) Verdict(f core.Fingerprint) core.Verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Verdict(n.opts.Clock(), f)
}

// Admit waits until a request with a fingerprint may run, and reports whether the request
// must run alone. If so, this daemon holds the permit for the fingerprint, and the caller
// must call Release after the run. Admit fails if the fingerprint or a shared message is
// refused, if the tracker can't be reached, or if ctx ends first.
func (n *Node) Admit(ctx context.Context, f core.Fingerprint, sharedMessages []uint64) (bool, *protocol.Error) {
	isTrial := false
	for {
		if !isTrial || n.refusesMessage(sharedMessages) {
			var isAdmitted bool
			if isAdmitted, isTrial = n.admitMessages(sharedMessages); !isAdmitted {
				return false, messageRefusal(f)
			}
		}
		switch n.Verdict(f) {
		case core.Clean:
			return false, nil
		case core.Refused:
			return false, refusal(f)
		}
		decision, err := n.requestPermitChange(ctx, f, false)
		if err != nil {
			return false, err
		}
		switch decision {
		case core.RunFreely:
			return false, nil
		case core.RunAlone:
			return true, nil
		case core.Refuse:
			return false, refusal(f)
		}
		select {
		case <-time.After(permitPollInterval):
		case <-ctx.Done():
			return false, protocol.Errorf(protocol.KindDeadline, "wait for suspect", protocol.OutcomeNotRun, "another copy of the request runs alone")
		}
	}
}

// Release releases the permit of a fingerprint at its tracker. It ignores errors: a permit
// that is not released expires, and the tracker then records a crash.
func (n *Node) Release(ctx context.Context, f core.Fingerprint) {
	_, _ = n.requestPermitChange(ctx, f, true)
}

// Refusal returns the error of a request that is refused, or nil. A request that may be admitted as a
// trial is not refused.
func (n *Node) Refusal(f core.Fingerprint, sharedMessages []uint64) *protocol.Error {
	if n.refusesMessage(sharedMessages) {
		return messageRefusal(f)
	}
	if n.Verdict(f) == core.Refused {
		return refusal(f)
	}
	return nil
}

// ReportCrash records a crash of an upstream for the requests that were running on the
// upstream. Before it returns, it sends the changed entries to the other daemons, so that
// each daemon recognizes a request that its caller resends. It saves refused fingerprints
// in the background.
func (n *Node) ReportCrash(ctx context.Context, id core.CrashID, running []core.Fingerprint, sharedMessages []uint64) {
	n.mu.Lock()
	changed := n.table.RecordCrash(n.opts.Clock(), id, running)
	n.markRefused(changed)
	crashes := n.recordMessageCrashes(id, sharedMessages)
	n.mu.Unlock()
	statelog.Info("Upstream crashed", "upstream", id.Upstream, "boot", id.Boot, "suspects", len(changed))
	n.broadcast(ctx, protocol.Suspects{Entries: changed, MessageCrashes: quarantine.GroupCrashes(crashes)})
	n.wg.Go(n.save)
}

// Completed records that a request completed. If this clears a suspect or a shared message,
// Completed reports it to the other daemons.
func (n *Node) Completed(ctx context.Context, f core.Fingerprint, sharedMessages []uint64, alone bool) {
	n.mu.Lock()
	entry, cleared := n.table.RecordCompletion(n.opts.Clock(), f, alone)
	msg := protocol.Suspects{Survivals: quarantine.GroupSurvivals(n.recordSurvivals(sharedMessages))}
	n.mu.Unlock()
	if cleared {
		msg.Entries = []core.Entry{entry}
	}
	n.broadcast(ctx, msg)
}

// HandleSuspects merges the entries and the crashes in a message of a peer into the tables, and
// replies with those of the shared messages with which requests have recently completed here. If
// the message has neither entries nor crashes, it replies with all entries of the table, provided
// that the digests of the two tables differ, and with the crashes of refused and suspect messages.
func (n *Node) HandleSuspects(msg protocol.Suspects) protocol.Suspects {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.markRefused(n.table.Merge(msg.Entries))
	now := n.opts.Clock()
	reply := protocol.Suspects{Digest: digest(n.table.Entries()), Survivals: quarantine.GroupSurvivals(n.mergeMessageCrashes(msg))}
	if len(msg.Entries)+len(msg.MessageCrashes)+len(msg.Survivals) > 0 {
		return reply
	}
	if msg.Digest != reply.Digest {
		reply.Entries = n.table.Entries()
	}
	reply.MessageCrashes = quarantine.GroupCrashes(n.messages.RepeatedCrashes(now))
	return reply
}

// HandlePermitRequest handles the request of a daemon to acquire or release a permit of
// this daemon's tracker.
func (n *Node) HandlePermitRequest(from state.DaemonID, msg protocol.PermitRequest) protocol.PermitReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if msg.Release {
		n.tracker.Release(msg.Fingerprint, from)
		return protocol.PermitReply{}
	}
	return protocol.PermitReply{Decision: n.tracker.Acquire(n.opts.Clock(), msg.Fingerprint, from)}
}

// requestPermitChange requests the tracker of a fingerprint to issue or release a permit,
// and returns the tracker's decision.
func (n *Node) requestPermitChange(ctx context.Context, f core.Fingerprint, release bool) (core.Decision, *protocol.Error) {
	msg := protocol.PermitRequest{Fingerprint: f, Release: release}
	tracker, isSelf := n.trackerOf(f)
	if isSelf {
		return n.HandlePermitRequest(n.opts.Self, msg).Decision, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply protocol.PermitReply
	if err := n.opts.Peers.Exchange(ctx, tracker, protocol.MsgPermitRequest, msg, &reply); err != nil {
		unavailable := protocol.Errorf(protocol.KindUnavailable, "ask tracker of suspect", protocol.OutcomeNotRun, "%s", err.Message).WithPeer(string(tracker.ID))
		unavailable.RetryAfter = retryAfter
		return 0, unavailable
	}
	return reply.Decision, nil
}

// trackerOf returns the peer to whose tracker a fingerprint is assigned, or true if the
// fingerprint is assigned to this daemon. All daemons with the same view of the membership
// assign a fingerprint to the same tracker.
func (n *Node) trackerOf(f core.Fingerprint) (peer.Peer, bool) {
	peers := n.opts.Members.AllPeers()
	ids := []state.DaemonID{n.opts.Self}
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	assigned := state.RendezvousOwner(fmt.Sprintf("suspect/%x", uint64(f)), ids)
	for _, p := range peers {
		if p.ID == assigned {
			return p, false
		}
	}
	return peer.Peer{}, true
}

// broadcast sends entries, crashes and survivals to all peers and waits for their replies, but
// not longer than broadcastTimeout. It passes on the survivals that the replies report.
func (n *Node) broadcast(ctx context.Context, msg protocol.Suspects) {
	if survivals := n.exchangeWithAll(ctx, msg); len(survivals) > 0 {
		n.exchangeWithAll(ctx, protocol.Suspects{Survivals: quarantine.GroupSurvivals(survivals)})
	}
}

// exchangeWithAll sends a message to all peers, and returns the survivals that the replies report
// and that are new here.
func (n *Node) exchangeWithAll(ctx context.Context, msg protocol.Suspects) []quarantine.Survival {
	if len(msg.Entries)+len(msg.MessageCrashes)+len(msg.Survivals) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	defer cancel()
	var survivals []quarantine.Survival // guarded by n.mu
	var wg sync.WaitGroup
	for _, p := range n.opts.Members.AllPeers() {
		wg.Go(func() {
			var reply protocol.Suspects
			err := n.opts.Peers.Exchange(ctx, p, protocol.MsgSuspects, msg, &reply)
			if err != nil {
				klog.V(1).InfoS("Peer did not take suspects", "peer", p.ID, "err", err)
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			survivals = append(survivals, n.recordPeerSurvivals(quarantine.UngroupSurvivals(reply.Survivals))...)
		})
	}
	wg.Wait()
	return survivals
}

// gossip runs load, save and synchronize periodically. It repeats reads and writes of the
// object store that have failed, and exchanges entries with a random peer.
func (n *Node) gossip() {
	interval := initialGossipInterval
	for n.ctx.Err() == nil {
		n.load()
		n.loadMessages()
		n.save()
		n.saveMessages()
		if n.synchronize() {
			interval = gossipInterval
		}
		select {
		case <-time.After(interval):
		case <-n.ctx.Done():
		}
	}
}

// synchronize expires permits and entries and sends the digest of the table to a random
// peer. If the peer replies with its entries, synchronize merges them. It reports whether
// the peer replied.
func (n *Node) synchronize() bool {
	n.mu.Lock()
	now := n.opts.Clock()
	n.markRefused(n.tracker.Expire(now))
	n.table.Expire(now)
	msg := protocol.Suspects{Digest: digest(n.table.Entries())}
	peers := n.opts.Members.AllPeers()
	index := 0
	if len(peers) > 0 {
		index = n.opts.Rand.IntN(len(peers))
	}
	n.mu.Unlock()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, exchangeTimeout)
	defer cancel()
	var reply protocol.Suspects
	if err := n.opts.Peers.Exchange(ctx, peers[index], protocol.MsgSuspects, msg, &reply); err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.markRefused(n.table.Merge(reply.Entries))
	n.mergeMessageCrashes(reply)
	return true
}

// markRefused marks those of the changed entries that are refused, for save to write to
// the object store, and logs each of them. The caller must hold mu.
func (n *Node) markRefused(changed []core.Entry) {
	now := n.opts.Clock()
	for i := range changed {
		if changed[i].Verdict(now) == core.Refused {
			n.unsaved[changed[i].Fingerprint] = true
			statelog.Info("Refusing fingerprint", "daemon", n.opts.Self, "fingerprint", refusedKey(changed[i].Fingerprint), "crashes", len(changed[i].Crashes))
		}
	}
}

// load reads the entries of refused fingerprints from the object store and merges them
// into the table. It does nothing if an earlier call has succeeded.
func (n *Node) load() {
	n.mu.Lock()
	loaded := n.loaded
	n.mu.Unlock()
	if loaded {
		return
	}
	page, err := n.opts.Objects.List(n.ctx, refusedPrefix)
	if err != nil {
		return
	}
	var entries []core.Entry
	for _, o := range page.Objects {
		var e core.Entry
		if err := json.Unmarshal(o.Value, &e); err == nil {
			entries = append(entries, e)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Merge(entries)
	n.loaded = true
}

// save writes the entries that markRefused has marked to the object store. Their
// fingerprints then stay refused after a restart of all daemons.
func (n *Node) save() {
	n.mu.Lock()
	var entries []core.Entry
	for _, e := range n.table.Entries() {
		if n.unsaved[e.Fingerprint] {
			entries = append(entries, e)
		}
	}
	n.mu.Unlock()
	for _, e := range entries {
		if n.saveEntry(e) {
			n.mu.Lock()
			delete(n.unsaved, e.Fingerprint)
			n.mu.Unlock()
		}
	}
}

// saveEntry writes one entry to the object store. It reports whether the entry is done
// with: the entry was written, another daemon had written an entry of the fingerprint that
// is not older, or the entry can't be encoded.
func (n *Node) saveEntry(e core.Entry) bool {
	value, err := json.Marshal(e)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	key := refusedKey(e.Fingerprint)
	_, err = n.opts.Objects.Put(ctx, key, value, 0)
	if !errors.Is(err, platform.ErrConflict) {
		return err == nil
	}
	stored, err := n.opts.Objects.Get(ctx, key)
	if err != nil {
		return false
	}
	var old core.Entry
	if json.Unmarshal(stored.Value, &old) == nil && !old.LastCrash.Before(e.LastCrash) {
		return true
	}
	_, err = n.opts.Objects.Put(ctx, key, value, stored.Version)
	return err == nil
}

// refusedKey returns the object key of a refused fingerprint.
func refusedKey(f core.Fingerprint) string { return fmt.Sprintf("%s%016x", refusedPrefix, uint64(f)) }

// digest returns a digest of the fingerprints and crashes of a list of entries. Tables
// with equal entries have equal digests.
func digest(entries []core.Entry) uint64 {
	h := xxhash.New()
	for _, e := range entries {
		_, _ = fmt.Fprint(h, e.Fingerprint, e.Crashes)
	}
	return h.Sum64()
}

// refusal returns the error for a request with a refused fingerprint.
func refusal(f core.Fingerprint) *protocol.Error {
	return protocol.Errorf(protocol.KindRefusedFingerprint, "admit request", protocol.OutcomeNotRun,
		"requests with fingerprint %016x crash upstreams and are refused", uint64(f))
}
