package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// BucketCount is the number of buckets that records are kept in. The sweeper lists
// one bucket at a time.
const BucketCount = 4096

const (
	// maxClockSkew is how far the clock of a caller may be ahead.
	maxClockSkew = time.Hour
	uuidLen      = 36
	uuidVersion  = 14 // index of the version digit
)

// RecordKey returns the object that holds the record of an idempotency key. Two
// customers, or two services, never share a record.
func RecordKey(customer state.CustomerID, service state.ServiceID, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(customer), customer, len(service), service, key))
	hash := hex.EncodeToString(sum[:])
	return BucketPrefix(int(sum[0])<<4|int(sum[1])>>4) + hash
}

// BucketPrefix returns the prefix of the records of one bucket.
func BucketPrefix(bucket int) string { return fmt.Sprintf("once/%03x/", bucket) }

// CheckKey returns a reason to refuse a key, or "". A UUID of version 7 carries
// the time of its creation, so a key of that form is refused once its record may
// have been swept.
func CheckKey(now time.Time, key string) Reason {
	if key == "" || len(key) > MaxKeyLen {
		return ReasonBadKey
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return ReasonBadKey
		}
	}
	created, ok := keyTime(key)
	switch {
	case !ok:
		return ""
	case created.After(now.Add(maxClockSkew)):
		return ReasonBadKey
	case now.Sub(created) > RecordTTL-2*maxClockSkew:
		return ReasonKeyExpired
	}
	return ""
}

// keyTime returns the creation time of a UUID of version 7.
func keyTime(key string) (time.Time, bool) {
	if len(key) != uuidLen || key[uuidVersion] != '7' || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(key[:8] + key[9:13])
	if err != nil {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
