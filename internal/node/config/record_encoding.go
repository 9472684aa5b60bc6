package config

import (
	"encoding/json"
	"fmt"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
)

// Keys in the object store.
const (
	recordPrefix = "config/change/"
	blobPrefix   = "config/changes-of/"
	manifestKey  = "config/snapshot"
	bucketPrefix = "config/bucket/"
)

const (
	maxInlineRecordSize  = 256 << 10 // size in bytes up to which a record is stored without blobs
	maxBlobSize          = 900 << 10 // bytes
	maxChangesSize       = 256 << 20 // bytes of the blobs of one record after decompression
	maxBlobs             = maxChangesSize/maxBlobSize + 1
	maxRecentRecordsSize = 4 << 20 // bytes of all recent records in memory
	maxRecentRecords     = 4096    // number of recent records in memory
)

// RecordKey returns the key of the change record of a revision.
func RecordKey(revision uint64) string { return fmt.Sprintf("%s%020d", recordPrefix, revision) }

// blobKey returns the key of the ith blob of a submission's changes.
func blobKey(submission string, i int) string {
	return fmt.Sprintf("%s%s/%d", blobPrefix, submission, i)
}

// blobContent is the part of a large record that is stored in blobs. It is encoded as
// compressed JSON, and each blob holds the next piece of the encoded data.
type blobContent struct {
	Changes  []configsync.Change `json:"changes"`
	Replaced []json.RawMessage   `json:"replaced,omitempty"`
}

// encodeRecord returns an encoded record and its blobs. A record whose encoded size does
// not exceed maxInlineRecordSize has no blobs.
func encodeRecord(rec configsync.ChangeRecord) ([]byte, [][]byte, error) {
	value, err := json.Marshal(rec)
	if err != nil || len(value) <= maxInlineRecordSize {
		return value, nil, err
	}
	raw, err := json.Marshal(blobContent{Changes: rec.Submission.Changes, Replaced: rec.Replaced})
	if err != nil {
		return nil, nil, err
	}
	packed, err := configsync.Compress(raw)
	if err != nil {
		return nil, nil, err
	}
	var blobs [][]byte
	for len(packed) > 0 {
		size := min(len(packed), maxBlobSize)
		blobs = append(blobs, packed[:size])
		packed = packed[size:]
	}
	rec.Submission.Changes, rec.Replaced = nil, nil
	rec.BlobCount = len(blobs)
	value, err = json.Marshal(rec)
	return value, blobs, err
}

// decodeRecord decodes the result of encodeRecord. It calls fetch to get the ith blob of
// the record's submission.
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
	raw, err := configsync.Decompress(packed, maxChangesSize)
	if err != nil {
		return nil, err
	}
	var p blobContent
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("changes of record %d: %w", rec.Revision, err)
	}
	rec.Submission.Changes, rec.Replaced = p.Changes, p.Replaced
	rec.BlobCount = 0
	return &rec, nil
}

// recentRecords holds the latest applied records in the encoding for peers, and the
// description of each record's revision for the history.
type recentRecords struct {
	entries []recentRecord
	size    int
}

type recentRecord struct {
	revision uint64
	value    []byte
	info     configsync.RevisionInfo
}

// add appends a record and drops the oldest records beyond maxRecentRecords and
// maxRecentRecordsSize.
func (l *recentRecords) add(rec *configsync.ChangeRecord) {
	value, err := json.Marshal(rec)
	if err != nil {
		panic("config: record can't be encoded: " + err.Error())
	}
	l.entries = append(l.entries, recentRecord{revision: rec.Revision, value: value, info: rec.Info()})
	l.size += len(value)
	for l.size > maxRecentRecordsSize || len(l.entries) > maxRecentRecords {
		l.size -= len(l.entries[0].value)
		l.entries = l.entries[1:]
	}
}

func (l *recentRecords) reset() { *l = recentRecords{} }

// after returns the encoded records that follow a revision, or false if some of these
// records are not in memory.
func (l *recentRecords) after(revision uint64) ([][]byte, bool) {
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

// infos describes the revisions of at most limit recent records, newest first.
func (l *recentRecords) infos(limit int) []configsync.RevisionInfo {
	var infos []configsync.RevisionInfo
	for i := len(l.entries) - 1; i >= 0 && len(infos) < limit; i-- {
		infos = append(infos, l.entries[i].info)
	}
	return infos
}
