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
	// compactInterval is the mean interval between compactions of one relay.
	compactInterval = time.Minute
	// maxDeletesPerRound limits the number of records that one call of Compact deletes or finds
	// missing.
	maxDeletesPerRound = 200
	// maxMissingRecords is the number of missing records in a row below which all records count
	// as deleted.
	maxMissingRecords = configsync.RecordsPerSnapshot
)

// compactLoop runs Compact at random intervals while this daemon is the relay of its
// zone. The relays of several zones may compact at the same time. The manifest is
// written conditionally, so only one relay succeeds with a snapshot.
func (n *Node) compactLoop() {
	defer n.wg.Done()
	for n.ctx.Err() == nil {
		n.mu.Lock()
		delay := compactInterval/2 + time.Duration(n.opts.Rand.Int64N(int64(compactInterval)))
		n.mu.Unlock()
		n.sleep(delay)
		if !n.opts.Members.IsRelay() {
			continue
		}
		if err := n.Compact(n.ctx); err != nil && n.ctx.Err() == nil {
			klog.V(1).InfoS("Compaction failed", "daemon", n.opts.Self, "step", "compact configuration", "err", err)
		}
	}
}

// Compact writes a snapshot if one is due. Otherwise it deletes records up to the
// compaction mark and garbage buckets.
func (n *Node) Compact(ctx context.Context) error {
	manifest, version, err := n.readManifest(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	revision := n.replica.Revision()
	n.mu.Unlock()
	if revision < manifest.Revision+configsync.RecordsPerSnapshot {
		return n.deleteCompacted(ctx, manifest)
	}
	return n.writeSnapshot(ctx, manifest, version)
}

// writeSnapshot writes a snapshot of the configuration in force. It stores the buckets
// first, except those that the current snapshot contains already, and then the manifest
// that refers to the buckets. If another relay has replaced the manifest meanwhile, it
// deletes the buckets that it has stored.
func (n *Node) writeSnapshot(ctx context.Context, manifest configsync.SnapshotManifest, version platform.Version) error {
	n.mu.Lock()
	snapshot := n.replica.Snapshot()
	n.mu.Unlock()
	buckets, err := snapshot.Buckets()
	if err != nil {
		return err
	}
	next := nextManifest(manifest, snapshot)
	var written []configsync.BucketRef
	for _, b := range buckets {
		ref, unchanged := unchangedBucket(manifest, b.Digest)
		if !unchanged {
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
	for _, ref := range manifest.Buckets {
		if !slices.Contains(next.Buckets, ref) {
			next.PreviousBuckets = append(next.PreviousBuckets, ref)
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = n.opts.Objects.Put(ctx, manifestKey, value, version)
	if errors.Is(err, platform.ErrConflict) {
		return n.deleteBuckets(ctx, written) // another relay wrote its manifest first
	}
	if err == nil {
		statelog.Info("Configuration snapshot written", "daemon", n.opts.Self, "revision", next.Revision, "buckets", len(next.Buckets))
	}
	return err
}

// nextManifest returns the manifest of a new snapshot that follows the snapshot of
// manifest. It raises the compaction mark and turns the previous buckets into garbage.
// The caller adds the buckets of both snapshots.
func nextManifest(manifest configsync.SnapshotManifest, snapshot *configsync.Snapshot) configsync.SnapshotManifest {
	next := configsync.SnapshotManifest{
		Revision:         snapshot.Revision,
		Digest:           snapshot.Digest,
		CompactedThrough: manifest.CompactedThrough,
		GarbageBuckets:   manifest.PreviousBuckets,
	}
	if snapshot.Revision > configsync.RetainedRecords {
		next.CompactedThrough = max(manifest.CompactedThrough, snapshot.Revision-configsync.RetainedRecords)
	}
	return next
}

// unchangedBucket returns the bucket in a manifest whose content has the given digest,
// and whether there is such a bucket.
func unchangedBucket(manifest configsync.SnapshotManifest, digest configsync.Digest) (configsync.BucketRef, bool) {
	i := slices.IndexFunc(manifest.Buckets, func(r configsync.BucketRef) bool { return r.Digest == digest })
	if i < 0 {
		return configsync.BucketRef{}, false
	}
	return manifest.Buckets[i], true
}

// deletion is the progress of a deletion of records from a compaction mark downwards.
type deletion struct {
	mark    uint64
	next    uint64 // revision of the next record; zero at the end
	missing int    // records in a row that did not exist
}

// deleteCompacted deletes records from the compaction mark downwards, and the garbage
// buckets of the manifest. It goes on where the last call ended. It runs only after the compaction mark was stored. A
// submitter whose delayed create stores a deleted revision again therefore finds the
// revision at or below the mark, and does not report the record as accepted.
func (n *Node) deleteCompacted(ctx context.Context, manifest configsync.SnapshotManifest) error {
	n.mu.Lock()
	d := n.deletion
	n.mu.Unlock()
	if d.mark != manifest.CompactedThrough {
		d = deletion{mark: manifest.CompactedThrough, next: manifest.CompactedThrough}
	}
	for range maxDeletesPerRound {
		if d.next == 0 || d.missing >= maxMissingRecords {
			break
		}
		found, err := n.deleteRecord(ctx, d.next)
		if err != nil {
			return err
		}
		if d.missing++; found {
			d.missing = 0
		}
		d.next--
	}
	n.mu.Lock()
	n.deletion = d
	n.mu.Unlock()
	if n.claimGarbage(manifest.Revision) {
		return n.deleteBuckets(ctx, manifest.GarbageBuckets)
	}
	return nil
}

// deleteRecord deletes the record of a revision after its blobs, and reports whether there was
// one. A record that can't be decoded is deleted without blobs.
func (n *Node) deleteRecord(ctx context.Context, revision uint64) (bool, error) {
	o, err := n.opts.Objects.Get(ctx, RecordKey(revision))
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var rec configsync.ChangeRecord
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		klog.V(1).InfoS("Record can't be decoded", "daemon", n.opts.Self, "step", "delete record", "key", o.Key, "err", err)
	}
	var blobs []string
	for i := range min(rec.BlobCount, maxBlobs) {
		blobs = append(blobs, blobKey(rec.Submission.ID, i))
	}
	if err := n.deleteObjects(ctx, blobs); err != nil {
		return false, err
	}
	return true, n.opts.Objects.Delete(ctx, o.Key, o.Version)
}

// deleteBuckets deletes buckets and skips those that do not exist.
func (n *Node) deleteBuckets(ctx context.Context, refs []configsync.BucketRef) error {
	var keys []string
	for _, ref := range refs {
		keys = append(keys, bucketPrefix+ref.Name)
	}
	return n.deleteObjects(ctx, keys)
}

// deleteObjects deletes objects and skips those that do not exist.
func (n *Node) deleteObjects(ctx context.Context, keys []string) error {
	for _, key := range keys {
		o, err := n.opts.Objects.Get(ctx, key)
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

// claimGarbage reports whether this daemon has yet to delete the garbage buckets of the
// snapshot at a revision. It marks these buckets as claimed, so that the next call for
// the same snapshot returns false.
func (n *Node) claimGarbage(revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	unclaimed := n.garbageClaimed != revision
	n.garbageClaimed = revision
	return unclaimed
}
