package ferrypeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Topic is state of another package that is replicated over the overlay.
// Its functions are called on the overlay's goroutine and must not block.
type Topic struct {
	Name TopicName
	// Digest returns a digest of the local content: equal content gives equal bytes, at most 128 KiB.
	Digest func() []byte
	// Missing returns the items that a peer with the given digest lacks; for an invalid digest it returns all items.
	Missing func(digest []byte) []Item
	// Apply merges an item from a peer and reports whether the content changed; on an error the peer is disconnected.
	Apply func(Item) (bool, error)
	// TakeChanged removes and returns the items changed locally since the last call. If it is nil, changes are
	// offered by digest and pulled once, which suits large items.
	TakeChanged func() []Item
	// Volatile items are refreshed by their writers. Digests are therefore compared only when a link comes up and
	// about every 30 s.
	Volatile bool
}

const pairBytes = 8

// pair is one entry of a digest: 32-bit hashes of the key and of the version.
type pair struct {
	key, version uint32
}

// pairOf returns the digest entry for a key and a version.
func pairOf(key string, version uint64) pair {
	return pair{key: uint32(xxhash.Sum64String(key)), version: uint32(mix(version))}
}

func encodePairs(ps []pair) []byte {
	slices.SortFunc(ps, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.version, b.version))
	})
	out := make([]byte, 0, len(ps)*pairBytes)
	for _, p := range ps {
		out = append(out, byte(p.key>>24), byte(p.key>>16), byte(p.key>>8), byte(p.key))
		out = append(out, byte(p.version>>24), byte(p.version>>16), byte(p.version>>8), byte(p.version))
	}
	return out
}

// decodePairs decodes a digest; a trailing incomplete entry is ignored.
func decodePairs(b []byte) map[pair]bool {
	out := make(map[pair]bool, len(b)/pairBytes)
	for len(b) >= pairBytes {
		k := uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
		v := uint32(b[4])<<24 | uint32(b[5])<<16 | uint32(b[6])<<8 | uint32(b[7])
		out[pair{key: k, version: v}] = true
		b = b[pairBytes:]
	}
	return out
}
