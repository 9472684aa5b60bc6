package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	compactInterval = time.Minute
	deletesPerRound = 200
)

// compaction writes snapshots and deletes old records while this daemon is the
// relay of its zone. Relays of several zones may race; the head is changed
// conditionally, so that one of them wins.
func (n *Node) compaction() {
	defer n.wg.Done()
	for n.ctx.Err() == nil {
		n.mu.Lock()
		wait := compactInterval/2 + time.Duration(n.opts.Rand.Int64N(int64(compactInterval)))
		n.mu.Unlock()
		n.pause(wait)
		if !n.opts.Members.IsRelay() {
			continue
		}
		if err := n.Compact(n.ctx); err != nil && n.ctx.Err() == nil {
			klog.V(1).InfoS("Compaction failed", "daemon", n.opts.Self, "step", "compact configuration", "err", err)
		}
	}
}

// Compact writes a snapshot when one is due, and deletes records that are no
// longer kept.
func (n *Node) Compact(ctx context.Context) error {
	head, version, err := n.readHead(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	revision := n.replica.Revision()
	n.mu.Unlock()
	if revision < head.Revision+configsync.RecordsPerSnapshot {
		return n.deleteOld(ctx, head)
	}
	return n.writeSnapshot(ctx, head, version)
}

// writeSnapshot stores the buckets first and then the head that names them. A
// bucket that did not change keeps its name.
func (n *Node) writeSnapshot(ctx context.Context, head configsync.SnapshotManifest, version platform.Version) error {
	n.mu.Lock()
	snapshot := n.replica.Snapshot()
	n.mu.Unlock()
	buckets, err := snapshot.Buckets()
	if err != nil {
		return err
	}
	next := nextHead(head, snapshot)
	var written []configsync.BucketRef
	for _, b := range buckets {
		ref, kept := keptBucket(head, b.Digest)
		if !kept {
			ref = configsync.BucketRef{
				Name:   fmt.Sprintf("%d-%s-%s", snapshot.Revision, n.opts.Self, b.Digest),
				Digest: b.Digest,
			}
			_, err := n.opts.Objects.Put(ctx, bucketPrefix+ref.Name, b.Data, 0)
			if err != nil && !errors.Is(err, platform.ErrConflict) {
				return err
			}
			written = append(written, ref)
		}
		next.Buckets = append(next.Buckets, ref)
	}
	for _, old := range head.Buckets {
		if !slices.Contains(next.Buckets, old) {
			next.PreviousBuckets = append(next.PreviousBuckets, old)
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = n.opts.Objects.Put(ctx, headKey, value, version)
	if errors.Is(err, platform.ErrConflict) {
		return n.deleteBuckets(ctx, written) // another relay was faster
	}
	if err == nil {
		statelog.Info("Configuration snapshot written", "daemon", n.opts.Self, "revision", next.Revision, "buckets", len(next.Buckets))
	}
	return err
}

func nextHead(head configsync.SnapshotManifest, snapshot *configsync.Snapshot) configsync.SnapshotManifest {
	next := configsync.SnapshotManifest{
		Revision:         snapshot.Revision,
		Digest:           snapshot.Digest,
		CompactedThrough: head.CompactedThrough,
		GarbageBuckets:   head.PreviousBuckets,
	}
	if snapshot.Revision > configsync.RetainedRecords {
		next.CompactedThrough = max(head.CompactedThrough, snapshot.Revision-configsync.RetainedRecords)
	}
	return next
}

func keptBucket(head configsync.SnapshotManifest, digest configsync.Digest) (configsync.BucketRef, bool) {
	i := slices.IndexFunc(head.Buckets, func(r configsync.BucketRef) bool { return r.Digest == digest })
	if i < 0 {
		return configsync.BucketRef{}, false
	}
	return head.Buckets[i], true
}

// deleteOld deletes records up to the compaction mark and buckets that nothing
// names. The mark was written before, so that a late writer of a deleted revision
// notices.
func (n *Node) deleteOld(ctx context.Context, head configsync.SnapshotManifest) error {
	revision := head.CompactedThrough
	for range deletesPerRound {
		if revision == 0 {
			break
		}
		o, err := n.opts.Objects.Get(ctx, RecordKey(revision))
		if errors.Is(err, platform.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		if err := n.opts.Objects.Delete(ctx, o.Key, o.Version); err != nil {
			return err
		}
		revision--
	}
	if n.markCleaned(head.Revision) {
		return n.deleteBuckets(ctx, head.GarbageBuckets)
	}
	return nil
}

func (n *Node) deleteBuckets(ctx context.Context, refs []configsync.BucketRef) error {
	for _, ref := range refs {
		o, err := n.opts.Objects.Get(ctx, bucketPrefix+ref.Name)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := n.opts.Objects.Delete(ctx, o.Key, o.Version); err != nil {
			return err
		}
	}
	return nil
}

// markCleaned reports whether the garbage of a snapshot was not deleted here yet.
func (n *Node) markCleaned(revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh := n.cleaned != revision
	n.cleaned = revision
	return fresh
}
