package state

// A store that comes back from an old copy gives revisions out again. Daemons therefore compare revisions with
// the era of the store, the number of times that it has come back so. A store revision is one number, for
// comparison with < and as a fencing token: the era in the high bits, the store's own revision in the low ones.
// It is exact as a JSON number as long as the era is below 8,192.

// revisionBits is the number of bits of the store's own revision.
const revisionBits = 40

// MaxRevision is the highest revision of the store's own that can be used.
const MaxRevision = 1<<revisionBits - 1

// MaxEra is the highest era that can be used.
const MaxEra = 1<<(53-revisionBits) - 1

// StoreRevision returns the revision of a store in an era. Neither may exceed its maximum.
func StoreRevision(era, revision uint64) uint64 { return era<<revisionBits | revision }

// EraOf returns the era of a store revision.
func EraOf(revision uint64) uint64 { return revision >> revisionBits }

// OwnRevision returns the store's own number of a store revision.
func OwnRevision(revision uint64) uint64 { return revision & MaxRevision }
