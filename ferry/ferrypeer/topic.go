package ferrypeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Topic is state that another package spreads over the overlay; its functions are called by the overlay's own goroutine and must not block.
type Topic struct {
	Name TopicName
	// Digest describes what is held: equal content gives equal bytes, at most 128 KiB.
	Digest func() []byte
	// Missing returns the items that a peer with the given digest lacks; an unreadable digest means all.
	Missing func(digest []byte) []Item
	// Apply takes an item from a peer and reports whether it changed what is held; an error cuts the peer off.
	Apply func(Item) (bool, error)
	// Fresh removes and returns the items that changed here since the last call; nil means that a change is offered by digest and pulled once, which suits large items.
	Fresh func() []Item
	// Volatile items are refreshed by their writers, so digests are only compared when a link comes up and every half minute.
	Volatile bool
}

const pairBytes = 8

// pair is one entry of a digest: half a hash of the key, half a hash of the version.
type pair struct {
	key, version uint32
}

// pairOf returns the digest entry of a key and a version.
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

// decodePairs reads a digest; bytes that do not fill an entry are ignored.
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
