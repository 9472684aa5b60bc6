package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// recordsPerRead bounds the records that one pass holds before it applies them.
const recordsPerRead = 256

// readPlatform brings the replica to the head of the platform. Each pass reads
// records first and the snapshot head after them: a record at or below the
// compaction mark may have been created anew by a late writer and is not applied.
func (n *Node) readPlatform(ctx context.Context) error {
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
		head, _, err := n.readHead(ctx)
		if err != nil {
			return err
		}
		if head.CompactedThrough > n.Revision() || len(records) == 0 && head.Revision > n.Revision() {
			if err := n.readSnapshot(ctx, head); err != nil {
				return err
			}
			continue
		}
		if err := n.apply(records); err != nil {
			return err
		}
		if len(records) < recordsPerRead {
			return nil
		}
	}
}

// readLatestSnapshot spares a starting daemon the records before the snapshot.
func (n *Node) readLatestSnapshot(ctx context.Context) error {
	head, _, err := n.readHead(ctx)
	if err != nil || head.Revision == 0 {
		return err
	}
	return n.readSnapshot(ctx, head)
}

// readRecords returns the consecutive records from a revision on.
func (n *Node) readRecords(ctx context.Context, from uint64) ([]*configsync.ChangeRecord, error) {
	var records []*configsync.ChangeRecord
	for len(records) < recordsPerRead {
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

// readHead returns the snapshot head, which is zero before the first snapshot.
func (n *Node) readHead(ctx context.Context) (configsync.SnapshotManifest, platform.Version, error) {
	var head configsync.SnapshotManifest
	o, err := n.opts.Objects.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	if err := json.Unmarshal(o.Value, &head); err != nil {
		return head, 0, fmt.Errorf("snapshot head: %w", err)
	}
	return head, o.Version, nil
}

func (n *Node) readSnapshot(ctx context.Context, head configsync.SnapshotManifest) error {
	s := &configsync.Snapshot{Revision: head.Revision, Digest: head.Digest}
	for _, ref := range head.Buckets {
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

// readRecord returns a record, or nil if it does not exist.
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
		err = fmt.Errorf("record %d is stored as %d", rec.Revision, revision)
	}
	return rec, err
}

// createRecord writes a record and its blobs if the record does not exist.
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
