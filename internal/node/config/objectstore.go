package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// maxRecordsPerRead limits the number of records that are read into memory before they
// are applied.
const maxRecordsPerRead = 256

// readObjectStore brings the replica to the newest stored revision. Each pass reads
// records first and the compaction mark after them, and does not apply records at or
// below the mark: a delayed create may have stored such a record after the original was
// deleted. If the mark is above the replica's revision, the pass restores the snapshot
// instead.
func (n *Node) readObjectStore(ctx context.Context) error {
	if n.Revision() == 0 {
		if err := n.readLatestSnapshot(ctx); err != nil {
			return err
		}
	}
	for {
		records, err := n.readRecords(ctx, n.Revision()+1)
		if err != nil {
			return err
		}
		manifest, _, err := n.readManifest(ctx)
		if err != nil {
			return err
		}
		if manifest.CompactedThrough > n.Revision() || len(records) == 0 && manifest.Revision > n.Revision() {
			if err := n.readSnapshot(ctx, manifest); err != nil {
				return err
			}
			continue
		}
		if err := n.apply(records); err != nil {
			return err
		}
		if len(records) < maxRecordsPerRead {
			return nil
		}
	}
}

// readLatestSnapshot restores the latest snapshot, if any. A starting daemon then need
// not read the records up to the revision of the snapshot.
func (n *Node) readLatestSnapshot(ctx context.Context) error {
	manifest, _, err := n.readManifest(ctx)
	if err != nil || manifest.Revision == 0 {
		return err
	}
	return n.readSnapshot(ctx, manifest)
}

// readRecords returns the stored records of consecutive revisions that start at from, at
// most maxRecordsPerRead of them.
func (n *Node) readRecords(ctx context.Context, from uint64) ([]*configsync.ChangeRecord, error) {
	var records []*configsync.ChangeRecord
	for len(records) < maxRecordsPerRead {
		rec, err := n.readRecord(ctx, from+uint64(len(records)))
		if err != nil {
			return nil, err
		}
		if rec == nil {
			break
		}
		records = append(records, rec)
	}
	return records, nil
}

// readManifest returns the snapshot manifest and its version in the object store. Both
// are zero if no snapshot was written yet.
func (n *Node) readManifest(ctx context.Context) (configsync.SnapshotManifest, platform.Version, error) {
	var manifest configsync.SnapshotManifest
	o, err := n.opts.Objects.Get(ctx, manifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return manifest, 0, nil
	}
	if err != nil {
		return manifest, 0, err
	}
	if err := json.Unmarshal(o.Value, &manifest); err != nil {
		return manifest, 0, fmt.Errorf("snapshot manifest: %w", err)
	}
	return manifest, o.Version, nil
}

// readSnapshot reads the buckets of a manifest and restores their snapshot.
func (n *Node) readSnapshot(ctx context.Context, manifest configsync.SnapshotManifest) error {
	s := &configsync.Snapshot{Revision: manifest.Revision, Digest: manifest.Digest}
	for _, ref := range manifest.Buckets {
		o, err := n.opts.Objects.Get(ctx, bucketPrefix+ref.Name)
		if err != nil {
			return err
		}
		if configsync.DigestOf(o.Value) != ref.Digest {
			return fmt.Errorf("bucket %s: content does not match its digest", ref.Name)
		}
		objects, err := configsync.DecodeBucket(o.Value)
		if err != nil {
			return err
		}
		s.Objects = append(s.Objects, objects...)
	}
	return n.restore(s)
}

// readRecord returns the stored record of a revision, including the changes from its
// blobs, or nil if the record does not exist.
func (n *Node) readRecord(ctx context.Context, revision uint64) (*configsync.ChangeRecord, error) {
	o, err := n.opts.Objects.Get(ctx, RecordKey(revision))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	rec, err := decodeRecord(o.Value, func(submission string, i int) ([]byte, error) {
		blob, err := n.opts.Objects.Get(ctx, blobKey(submission, i))
		return blob.Value, err
	})
	if err == nil && rec.Revision != revision {
		err = fmt.Errorf("the record stored as revision %d has revision %d", revision, rec.Revision)
	}
	return rec, err
}

// createRecord stores the blobs of a record, and then the record itself unless a record of
// the same revision exists. It leaves blobs that exist already as they are, and returns
// the outcome as an event for the submitter.
func (n *Node) createRecord(ctx context.Context, rec configsync.ChangeRecord) configsync.SubmitterEvent {
	value, blobs, err := encodeRecord(rec)
	if err != nil {
		panic("config: record can't be encoded: " + err.Error())
	}
	for i, blob := range blobs {
		_, err := n.opts.Objects.Put(ctx, blobKey(rec.Submission.ID, i), blob, 0)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return configsync.ObjectStoreFailed{}
		}
	}
	_, err = n.opts.Objects.Put(ctx, RecordKey(rec.Revision), value, 0)
	switch {
	case err == nil:
		return configsync.RecordCreated{}
	case errors.Is(err, platform.ErrConflict):
		return configsync.RecordExists{}
	case errors.Is(err, platform.ErrUnknown):
		return configsync.CreateOutcomeUnknown{}
	}
	return configsync.ObjectStoreFailed{}
}
