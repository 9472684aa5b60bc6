package once

import "time"

// SweepInterval is the time between two sweeps of a daemon.
const SweepInterval = 10 * time.Second

const (
	// sweepMargin is how long a record is kept after its expiry.
	sweepMargin = time.Hour
	// maxDeletesPerSecond bounds the deletes of all daemons together.
	maxDeletesPerSecond = 20
	maxDeletesPerSweep  = 100
)

// StoredRecord is a record as it was listed from the object store.
type StoredRecord struct {
	Key     string
	Version Version
	Record  Record
}

// SweepLimit returns how many records each of the given number of daemons may delete in
// one sweep. It divides a fixed rate of deletes among the daemons, but allows at least one
// delete for each sweep.
func SweepLimit(daemons int) int {
	perDaemon := int(SweepInterval/time.Second) * maxDeletesPerSecond / max(daemons, 1)
	return min(max(perDaemon, 1), maxDeletesPerSweep)
}

// Expired returns the records that may be deleted, at most limit of them. A record may be
// deleted sweepMargin after its expiry. RecordTTL is far longer than MaxTimeout, so the
// call of an expired record can no longer run.
func Expired(now time.Time, records []StoredRecord, limit int) []StoredRecord {
	var expired []StoredRecord
	for _, r := range records {
		if len(expired) >= limit {
			break
		}
		if now.After(r.Record.Expires.Add(sweepMargin)) {
			expired = append(expired, r)
		}
	}
	return expired
}
