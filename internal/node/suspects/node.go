// Package suspects shares the table of requests that crash upstreams between the
// daemons, and asks the tracker of a suspect before it runs.
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

	core "github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	refusedPrefix    = "refused/"
	broadcastTimeout = 500 * time.Millisecond
	askTimeout       = time.Second
	waitInterval     = 200 * time.Millisecond
	gossipInterval   = 20 * time.Second
	firstGossip      = 250 * time.Millisecond // until a first peer has answered
	persistTimeout   = 5 * time.Second
	retryAfter       = 2 * time.Second
)

// Members tells which daemons there are.
type Members interface {
	// AllPeers returns all known daemons without self.
	AllPeers() []peer.Peer
}

// Exchanger sends a message to a peer and decodes its answer.
type Exchanger interface {
	Exchange(ctx context.Context, to peer.Peer, kind protocol.MessageKind, msg, reply any) *protocol.Error
}

// Options sets up a Node.
type Options struct {
	Self    state.DaemonID
	Objects platform.ObjectStore
	Peers   Exchanger
	Members Members
	Clock   func() time.Time
	Rand    *rand.Rand
}

// Node is the part of one daemon. It is safe for concurrent use.
type Node struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex // guards all below; never held across I/O
	table   *core.Table
	tracker *core.Tracker
	unsaved map[core.Fingerprint]bool
	loaded  bool
}

// New returns a node that is not running.
func New(opts Options) *Node {
	ctx, stop := context.WithCancel(context.Background())
	table := core.NewTable()
	return &Node{
		opts:    opts,
		ctx:     ctx,
		stop:    stop,
		table:   table,
		tracker: core.NewTracker(table),
		unsaved: make(map[core.Fingerprint]bool),
	}
}

// Start runs the gossip until Close.
func (n *Node) Start() {
	n.wg.Go(n.gossip)
}

// Close stops the gossip.
func (n *Node) Close() {
	n.stop()
	n.wg.Wait()
}

// Entries returns the table for operators.
func (n *Node) Entries() []core.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Entries()
}

// Verdict returns the verdict of this daemon over a fingerprint.
func (n *Node) Verdict(f core.Fingerprint) core.Verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Verdict(n.opts.Clock(), f)
}

// Admit waits until a request may run and reports whether it must run alone. The
// caller calls Release after a run alone.
func (n *Node) Admit(ctx context.Context, f core.Fingerprint) (bool, *protocol.Error) {
	for {
		switch n.Verdict(f) {
		case core.Clean:
			return false, nil
		case core.Refused:
			return false, refusal(f)
		}
		answer, err := n.ask(ctx, f, false)
		if err != nil {
			return false, err
		}
		switch answer {
		case core.RunFreely:
			return false, nil
		case core.RunAlone:
			return true, nil
		case core.Refuse:
			return false, refusal(f)
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return false, protocol.Errorf(protocol.KindDeadline, "wait for suspect", protocol.OutcomeNotRun, "another copy of the request runs alone")
		}
	}
}

// Release ends the permit of a run alone.
func (n *Node) Release(ctx context.Context, f core.Fingerprint) {
	_, _ = n.ask(ctx, f, true)
}

// ReportCrash notes a crash of an upstream and tells the other daemons before it
// returns, so that a caller who sends the request again is recognized everywhere.
func (n *Node) ReportCrash(ctx context.Context, id core.CrashID, running []core.Fingerprint) {
	n.mu.Lock()
	changed := n.table.RecordCrash(n.opts.Clock(), id, running)
	n.noteRefused(changed)
	n.mu.Unlock()
	statelog.Info("Upstream crashed", "upstream", id.Upstream, "boot", id.Boot, "suspects", len(changed))
	n.broadcast(ctx, changed)
	n.wg.Go(n.save)
}

// Completed notes that a request ran to its end.
func (n *Node) Completed(ctx context.Context, f core.Fingerprint, alone bool) {
	n.mu.Lock()
	entry, cleared := n.table.RecordCompletion(n.opts.Clock(), f, alone)
	n.mu.Unlock()
	if cleared {
		n.broadcast(ctx, []core.Entry{entry})
	}
}

// HandleSuspects answers the entries or the digest of a peer.
func (n *Node) HandleSuspects(msg protocol.Suspects) protocol.Suspects {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteRefused(n.table.Merge(msg.Entries))
	reply := protocol.Suspects{Digest: digest(n.table.Entries())}
	if len(msg.Entries) == 0 && msg.Digest != reply.Digest {
		reply.Entries = n.table.Entries()
	}
	return reply
}

// HandleAsk answers a daemon that wants to run a suspect.
func (n *Node) HandleAsk(from state.DaemonID, msg protocol.SuspectAsk) protocol.SuspectAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if msg.Release {
		n.tracker.Release(msg.Fingerprint, from)
		return protocol.SuspectAnswer{}
	}
	return protocol.SuspectAnswer{Answer: n.tracker.Acquire(n.opts.Clock(), msg.Fingerprint, from)}
}

// ask sends a question to the tracker of a fingerprint: the same daemon for all
// that know the same members.
func (n *Node) ask(ctx context.Context, f core.Fingerprint, release bool) (core.Decision, *protocol.Error) {
	msg := protocol.SuspectAsk{Fingerprint: f, Release: release}
	to, self := n.trackerOf(f)
	if self {
		return n.HandleAsk(n.opts.Self, msg).Answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply protocol.SuspectAnswer
	if err := n.opts.Peers.Exchange(ctx, to, protocol.MsgSuspectAsk, msg, &reply); err != nil {
		out := protocol.Errorf(protocol.KindUnavailable, "ask tracker of suspect", protocol.OutcomeNotRun, "%s", err.Message).WithPeer(string(to.ID))
		out.RetryAfter = retryAfter
		return 0, out
	}
	return reply.Answer, nil
}

func (n *Node) trackerOf(f core.Fingerprint) (peer.Peer, bool) {
	peers := n.opts.Members.AllPeers()
	ids := []state.DaemonID{n.opts.Self}
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	owner := state.RendezvousOwner(fmt.Sprintf("suspect/%x", uint64(f)), ids)
	for _, p := range peers {
		if p.ID == owner {
			return p, false
		}
	}
	return peer.Peer{}, true
}

func (n *Node) broadcast(ctx context.Context, entries []core.Entry) {
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range n.opts.Members.AllPeers() {
		wg.Go(func() {
			var reply protocol.Suspects
			err := n.opts.Peers.Exchange(ctx, p, protocol.MsgSuspects, protocol.Suspects{Entries: entries}, &reply)
			if err != nil {
				klog.V(1).InfoS("Peer did not take suspects", "peer", p.ID, "err", err)
			}
		})
	}
	wg.Wait()
}

// gossip compares tables with one random peer now and then, expires entries and
// stores what could not be stored before.
func (n *Node) gossip() {
	wait := firstGossip
	for n.ctx.Err() == nil {
		n.load()
		n.save()
		if n.compare() {
			wait = gossipInterval
		}
		select {
		case <-time.After(wait):
		case <-n.ctx.Done():
		}
	}
}

// compare reports whether a peer answered.
func (n *Node) compare() bool {
	n.mu.Lock()
	now := n.opts.Clock()
	n.noteRefused(n.tracker.Expire(now))
	n.table.Expire(now)
	msg := protocol.Suspects{Digest: digest(n.table.Entries())}
	peers := n.opts.Members.AllPeers()
	pick := 0
	if len(peers) > 0 {
		pick = n.opts.Rand.IntN(len(peers))
	}
	n.mu.Unlock()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
	defer cancel()
	var reply protocol.Suspects
	if err := n.opts.Peers.Exchange(ctx, peers[pick], protocol.MsgSuspects, msg, &reply); err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteRefused(n.table.Merge(reply.Entries))
	return true
}

// noteRefused remembers which refused entries to store. The caller must hold mu.
func (n *Node) noteRefused(changed []core.Entry) {
	now := n.opts.Clock()
	for i := range changed {
		if changed[i].Verdict(now) == core.Refused {
			n.unsaved[changed[i].Fingerprint] = true
			statelog.Info("Refusing fingerprint", "daemon", n.opts.Self, "fingerprint", refusedKey(changed[i].Fingerprint), "crashes", len(changed[i].Crashes))
		}
	}
}

// load reads the refused fingerprints once after the start.
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

// save stores refused fingerprints, so that they outlast all daemons.
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
		if n.saveOne(e) {
			n.mu.Lock()
			delete(n.unsaved, e.Fingerprint)
			n.mu.Unlock()
		}
	}
}

func (n *Node) saveOne(e core.Entry) bool {
	value, err := json.Marshal(e)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(n.ctx, persistTimeout)
	defer cancel()
	_, err = n.opts.Objects.Put(ctx, refusedKey(e.Fingerprint), value, 0)
	return err == nil || errors.Is(err, platform.ErrConflict)
}

func refusedKey(f core.Fingerprint) string { return fmt.Sprintf("%s%016x", refusedPrefix, uint64(f)) }

func digest(entries []core.Entry) uint64 {
	h := xxhash.New()
	for _, e := range entries {
		_, _ = fmt.Fprint(h, e.Fingerprint, e.Crashes)
	}
	return h.Sum64()
}

func refusal(f core.Fingerprint) *protocol.Error {
	return protocol.Errorf(protocol.KindRefusedFingerprint, "admit request", protocol.OutcomeNotRun,
		"requests with fingerprint %016x crash upstreams and are refused", uint64(f))
}
