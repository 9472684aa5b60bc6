package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

var errUnknownPeer = errors.New("config: peer is not known")

// encodedSnapshot caches the compressed configuration for peers that need records that
// are no longer among the recent records.
type encodedSnapshot struct {
	revision uint64
	digest   configsync.StateDigest
	data     []byte
}

// announce announces the revision in force to the peers of the zone if this daemon is the
// relay of the zone.
func (n *Node) announce(ctx context.Context) {
	if n.opts.Members.IsRelay() {
		n.exchangeWithZone(ctx)
	}
}

// exchangeWithZone exchanges the revisions in force with all peers of the zone in
// parallel, and waits until all exchanges have ended.
func (n *Node) exchangeWithZone(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range n.opts.Members.ZonePeers() {
		wg.Go(func() { _, _ = n.exchangeState(ctx, p) })
	}
	wg.Wait()
}

// exchangeState announces the revision in force to a peer. It returns the peer's reply and
// passes the peer's revision to the follower.
func (n *Node) exchangeState(ctx context.Context, p peer.Peer) (protocol.ConfigState, *protocol.Error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply protocol.ConfigState
	msg := protocol.ConfigStateRequest{Announced: n.Revision()}
	err := n.opts.Peers.Exchange(ctx, p, protocol.MsgConfigStateRequest, msg, &reply)
	if err == nil {
		n.handle(configsync.PeerRevisionReported{Peer: p.ID, Revision: reply.Revision})
	}
	return reply, err
}

// readPeer requests the records that follow the revision in force from a peer. It applies
// these records or, if the peer replies with a snapshot, restores the snapshot.
func (n *Node) readPeer(ctx context.Context, id state.DaemonID) error {
	to, ok := n.findPeer(id)
	if !ok {
		return errUnknownPeer
	}
	var reply protocol.ConfigRecords
	msg := protocol.ConfigFetch{After: n.Revision()}
	if err := n.opts.Peers.Exchange(ctx, to, protocol.MsgConfigFetch, msg, &reply); err != nil {
		return err
	}
	if len(reply.Snapshot) > 0 {
		objects, err := configsync.DecodeBucket(reply.Snapshot)
		if err != nil {
			return err
		}
		return n.restore(&configsync.Snapshot{
			Revision: reply.Revision,
			Digest:   configsync.StateDigest(reply.Digest),
			Objects:  objects,
		})
	}
	records := make([]*configsync.ChangeRecord, 0, len(reply.Records))
	for _, value := range reply.Records {
		var rec configsync.ChangeRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			return fmt.Errorf("record from %s: %w", id, err)
		}
		records = append(records, &rec)
	}
	return n.apply(records)
}

func (n *Node) findPeer(id state.DaemonID) (peer.Peer, bool) {
	for _, p := range n.opts.Members.AllPeers() {
		if p.ID == id {
			return p, true
		}
	}
	return peer.Peer{}, false
}

// HandleStateRequest passes the revision that a peer announces to the follower, and
// replies with the revision and digest in force.
func (n *Node) HandleStateRequest(from state.DaemonID, req protocol.ConfigStateRequest) protocol.ConfigState {
	n.handle(configsync.PeerRevisionReported{Peer: from, Revision: req.Announced})
	n.mu.Lock()
	defer n.mu.Unlock()
	return protocol.ConfigState{Revision: n.replica.Revision(), Digest: uint64(n.replica.Digest())}
}

// HandleFetchRequest answers a protocol.ConfigFetch with the records that follow the
// revision req.After. If some of these records are no longer in memory, it answers with a
// snapshot instead.
func (n *Node) HandleFetchRequest(req protocol.ConfigFetch) (protocol.ConfigRecords, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.After >= n.replica.Revision() {
		return protocol.ConfigRecords{}, nil
	}
	if records, ok := n.recent.after(req.After); ok {
		return protocol.ConfigRecords{Records: records}, nil
	}
	if n.encoded.revision != n.replica.Revision() {
		data, err := configsync.EncodeBucket(n.replica.Objects())
		if err != nil {
			return protocol.ConfigRecords{}, err
		}
		n.encoded = encodedSnapshot{revision: n.replica.Revision(), digest: n.replica.Digest(), data: data}
	}
	return protocol.ConfigRecords{
		Revision: n.encoded.revision,
		Digest:   uint64(n.encoded.digest),
		Snapshot: n.encoded.data,
	}, nil
}
