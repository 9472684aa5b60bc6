package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
)

// BucketCount is the number of buckets over which records are distributed. A sweep
// lists one bucket.
const BucketCount = 4096

const (
	maxClockSkew     = time.Hour // how far the clock of a caller may be ahead
	uuidLen          = 36
	uuidVersionIndex = 14 // position of the version digit in a UUID
)

// RecordKey returns the key under which the object store keeps the record of an
// idempotency key. The hash includes the lengths of the customer and service IDs, so that
// no two customers or services share a record.
func RecordKey(customer state.CustomerID, service state.ServiceID, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(customer), customer, len(service), service, key))
	hash := hex.EncodeToString(sum[:])
	return BucketPrefix(int(sum[0])<<4|int(sum[1])>>4) + hash
}

// BucketPrefix returns the prefix of the object keys of a bucket.
func BucketPrefix(bucket int) string { return fmt.Sprintf("once/%03x/", bucket) }

// CheckKey returns the reason to refuse a request with an idempotency key, or "" if the
// key is valid. A key that is a UUID of version 7 contains its creation time. Such a key
// is refused when it is so old that its record may have been deleted, because without the
// record the call could run a second time.
func CheckKey(now time.Time, key string) Reason {
	if key == "" || len(key) > MaxKeyLen {
		return ReasonInvalidKey
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return ReasonInvalidKey
		}
	}
	created, ok := uuidTime(key)
	switch {
	case !ok:
		return ""
	case created.After(now.Add(maxClockSkew)):
		return ReasonInvalidKey
	case now.Sub(created) > RecordTTL-2*maxClockSkew:
		return ReasonKeyExpired
	}
	return ""
}

// uuidTime returns the creation time in a key that is a UUID of version 7, and false for
// any other key.
func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLen || key[uuidVersionIndex] != '7' || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
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
