package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// TargetBucketSize is the intended size of a bucket in bytes, before
	// compression.
	TargetBucketSize = 256 << 10
	// maxBucketSize limits the size of a decompressed bucket in bytes.
	maxBucketSize = 64 << 20
	// RecordsPerSnapshot is the number of records after which a snapshot is due.
	RecordsPerSnapshot = 1000
	// RetainedRecords is the number of newest records that compaction retains for
	// the history.
	RetainedRecords = 20000
)

// Snapshot is the whole configuration at a revision.
type Snapshot struct {
	Revision uint64
	Digest   StateDigest
	Objects  []StoredObject
}

// SnapshotManifest is the stored object that lists the buckets of the latest
// snapshot and holds the compaction mark.
type SnapshotManifest struct {
	Revision uint64      `json:"revision"`
	Digest   StateDigest `json:"digest"`
	Buckets  []BucketRef `json:"buckets"`
	// PreviousBuckets lists the buckets of the preceding snapshot that this snapshot
	// does not use. Readers of the preceding snapshot may still fetch them.
	PreviousBuckets []BucketRef `json:"previous,omitempty"`
	// GarbageBuckets lists buckets that no snapshot uses any more. Bucket names are
	// never reused, so garbage buckets can be deleted at any later time.
	GarbageBuckets []BucketRef `json:"garbage,omitempty"`
	// CompactedThrough is the compaction mark: the highest revision whose record
	// may have been deleted. Readers ignore all records at or below the mark, even
	// records that exist: a delayed create can store a deleted revision again.
	CompactedThrough uint64 `json:"compacted"`
}

// BucketRef refers to a stored bucket. The name is unique to the snapshot that
// wrote the bucket. Later snapshots refer to the same bucket as long as its content
// is unchanged.
type BucketRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Bucket is an encoded part of a snapshot with the digest of its data.
type Bucket struct {
	Digest Digest
	Data   []byte
}

// Buckets divides the objects of a snapshot into encoded buckets by the hash of their
// keys. A change of one object therefore changes a single bucket.
func (s *Snapshot) Buckets() ([]Bucket, error) {
	size := 0
	for _, o := range s.Objects {
		size += len(o.Value) + len(o.Key.Name)
	}
	count := bucketCount(size)
	parts := make([][]StoredObject, count)
	for _, o := range s.Objects {
		i := xxhash.Sum64String(o.Key.String()) % uint64(count)
		parts[i] = append(parts[i], o)
	}
	buckets := make([]Bucket, 0, count)
	for _, part := range parts {
		slices.SortFunc(part, func(a, b StoredObject) int { return CompareKeys(a.Key, b.Key) })
		data, err := EncodeBucket(part)
		if err != nil {
			return nil, err
		}
		buckets = append(buckets, Bucket{Digest: DigestOf(data), Data: data})
	}
	return buckets, nil
}

// bucketCount returns the number of buckets for objects of the given total size.
// It is a power of two, so that growth splits each bucket evenly.
func bucketCount(size int) int {
	count := 1
	for count*TargetBucketSize < size {
		count *= 2
	}
	return count
}

// EncodeBucket encodes objects as compressed JSON.
func EncodeBucket(objects []StoredObject) ([]byte, error) {
	raw, err := json.Marshal(objects)
	if err != nil {
		return nil, err
	}
	return Compress(raw)
}

// DecodeBucket decodes the result of EncodeBucket and checks the digest of each
// object.
func DecodeBucket(data []byte) ([]StoredObject, error) {
	raw, err := Decompress(data, maxBucketSize)
	if err != nil {
		return nil, fmt.Errorf("bucket: %w", err)
	}
	var objects []StoredObject
	if err := json.Unmarshal(raw, &objects); err != nil {
		return nil, fmt.Errorf("bucket: %w", err)
	}
	for _, o := range objects {
		if DigestOf(o.Value) != o.Digest {
			return nil, fmt.Errorf("bucket: digest of %s does not match", o.Key)
		}
	}
	return objects, nil
}

// Compress compresses data with gzip.
func Compress(raw []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	err = w.Close()
	return buf.Bytes(), err
}

// Decompress decompresses the result of Compress. It fails if the decompressed data
// exceeds limit bytes.
func Decompress(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(raw)) > limit {
		err = fmt.Errorf("more than %d bytes", limit)
	}
	return raw, err
}
