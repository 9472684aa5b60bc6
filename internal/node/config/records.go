package config

import (
	"encoding/json"
	"fmt"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
)

// Keys of the platform's objects.
const (
	changePrefix = "config/change/"
	blobPrefix   = "config/changes-of/"
	headKey      = "config/snapshot"
	bucketPrefix = "config/bucket/"
)

const (
	maxInlineRecord = 256 << 10 // bytes of a record that holds its changes itself
	maxBlob         = 900 << 10 // bytes
	maxChanges      = 256 << 20 // bytes of the changes of a record, decompressed
	maxLogBytes     = 4 << 20
	maxLogRecords   = 4096
)

// RecordKey returns the key of the record of a revision.
func RecordKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

func blobKey(submission string, i int) string {
	return fmt.Sprintf("%s%s/%d", blobPrefix, submission, i)
}

// payload is the part of a record that moves to blobs when it is large.
type payload struct {
	Changes  []configsync.Change `json:"changes"`
	Replaced []json.RawMessage   `json:"replaced,omitempty"`
}

// encodeRecord returns the value of a record and the blobs that it refers to.
func encodeRecord(rec configsync.ChangeRecord) ([]byte, [][]byte, error) {
	value, err := json.Marshal(rec)
	if err != nil || len(value) <= maxInlineRecord {
		return value, nil, err
	}
	raw, err := json.Marshal(payload{Changes: rec.Submission.Changes, Replaced: rec.Replaced})
	if err != nil {
		return nil, nil, err
	}
	packed, err := configsync.Compress(raw)
	if err != nil {
		return nil, nil, err
	}
	var blobs [][]byte
	for len(packed) > 0 {
		size := min(len(packed), maxBlob)
		blobs = append(blobs, packed[:size])
		packed = packed[size:]
	}
	rec.Submission.Changes, rec.Replaced = nil, nil
	rec.BlobCount = len(blobs)
	value, err = json.Marshal(rec)
	return value, blobs, err
}

// decodeRecord reverses encodeRecord. Fetch returns blob i.
func decodeRecord(value []byte, fetch func(submission string, i int) ([]byte, error)) (*configsync.ChangeRecord, error) {
	var rec configsync.ChangeRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if rec.BlobCount == 0 {
		return &rec, nil
	}
	var packed []byte
	for i := range rec.BlobCount {
		blob, err := fetch(rec.Submission.ID, i)
		if err != nil {
			return nil, err
		}
		packed = append(packed, blob...)
	}
	raw, err := configsync.Decompress(packed, maxChanges)
	if err != nil {
		return nil, err
	}
	var p payload
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("changes of record %d: %w", rec.Revision, err)
	}
	rec.Submission.Changes, rec.Replaced = p.Changes, p.Replaced
	rec.BlobCount = 0
	return &rec, nil
}

// recordLog holds the latest records in their encoded form for peers.
type recordLog struct {
	entries []logEntry
	size    int
}

type logEntry struct {
	revision uint64
	value    []byte
	info     configsync.RevisionInfo
}

// add appends a record and drops the oldest beyond the limits.
func (l *recordLog) add(rec *configsync.ChangeRecord) {
	value, err := json.Marshal(rec)
	if err != nil {
		panic("config: record can't be encoded: " + err.Error())
	}
	l.entries = append(l.entries, logEntry{revision: rec.Revision, value: value, info: rec.Info()})
	l.size += len(value)
	for l.size > maxLogBytes || len(l.entries) > maxLogRecords {
		l.size -= len(l.entries[0].value)
		l.entries = l.entries[1:]
	}
}

func (l *recordLog) reset() { *l = recordLog{} }

// after returns the records after a revision, or false when some are missing.
func (l *recordLog) after(revision uint64) ([][]byte, bool) {
	if len(l.entries) == 0 || l.entries[0].revision > revision+1 {
		return nil, false
	}
	var values [][]byte
	for _, e := range l.entries {
		if e.revision > revision {
			values = append(values, e.value)
		}
	}
	return values, true
}

// infos returns the newest descriptions first, at most limit.
func (l *recordLog) infos(limit int) []configsync.RevisionInfo {
	var infos []configsync.RevisionInfo
	for i := len(l.entries) - 1; i >= 0 && len(infos) < limit; i-- {
		infos = append(infos, l.entries[i].info)
	}
	return infos
}
