package state

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of a candidate for a key under rendezvous
// hashing. The candidate with the highest weight owns the key.
func RendezvousWeight(key, candidate string) uint64 {
	h := xxhash.Sum64String(key)
	c := xxhash.Sum64String(candidate)
	return Mix(h ^ Mix(c))
}

// Mix is the 64-bit finalizer of MurmurHash3: every input bit changes about half of
// the output bits.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// RendezvousOwner returns the candidate with the highest weight for a key, or an
// empty value if there are no candidates.
func RendezvousOwner[C ~string](key string, candidates []C) C {
	var best C
	var bestWeight uint64
	for _, c := range candidates {
		w := RendezvousWeight(key, string(c))
		if best == "" || w > bestWeight || w == bestWeight && c < best {
			best, bestWeight = c, w
		}
	}
	return best
}
