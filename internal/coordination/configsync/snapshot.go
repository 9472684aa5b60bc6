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
	// TargetBucketSize is the intended size of a bucket before compression, in bytes.
	TargetBucketSize = 256 << 10
	// maxBucket bounds the size of a decompressed bucket in bytes.
	maxBucket = 64 << 20
	// RecordsPerSnapshot is the number of records after which a snapshot is due.
	RecordsPerSnapshot = 1000
	// RetainedRecords is the number of records that are kept for the history.
	RetainedRecords = 20000
)

// Snapshot is a whole configuration.
type Snapshot struct {
	Revision uint64
	Digest   StateDigest
	Objects  []StoredObject
}

// SnapshotManifest is the object that names the latest snapshot.
type SnapshotManifest struct {
	Revision uint64      `json:"revision"`
	Digest   StateDigest `json:"digest"`
	Buckets  []BucketRef `json:"buckets"`
	// PreviousBuckets lists buckets of the last snapshot that readers may still fetch.
	PreviousBuckets []BucketRef `json:"previous,omitempty"`
	// GarbageBuckets lists buckets that nothing names any more. Their names are never
	// used again, so that deleting them late is harmless.
	GarbageBuckets []BucketRef `json:"garbage,omitempty"`
	// CompactedThrough is the last record that may have been deleted. A record at or
	// below it is not part of the configuration, even if it exists.
	CompactedThrough uint64 `json:"compacted"`
}

// BucketRef names a stored bucket. The name is unique to the snapshot that wrote
// it; a later snapshot takes it over while the content is the same.
type BucketRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Bucket is a content-addressed part of a snapshot.
type Bucket struct {
	Digest Digest
	Data   []byte
}

// Buckets divides a snapshot by the hash of the object keys, so that a bucket
// changes only when an object in it does.
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

// bucketCount is a power of two, so that growth divides buckets evenly.
func bucketCount(size int) int {
	count := 1
	for count*TargetBucketSize < size {
		count *= 2
	}
	return count
}

// EncodeBucket returns the compressed form of objects.
func EncodeBucket(objects []StoredObject) ([]byte, error) {
	raw, err := json.Marshal(objects)
	if err != nil {
		return nil, err
	}
	return Compress(raw)
}

// DecodeBucket reverses EncodeBucket and checks the digests of the objects.
func DecodeBucket(data []byte) ([]StoredObject, error) {
	raw, err := Decompress(data, maxBucket)
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

// Compress returns the compressed form of data.
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

// Decompress reverses Compress. It fails when the result exceeds limit bytes.
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
