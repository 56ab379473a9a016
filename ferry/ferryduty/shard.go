package ferryduty

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Shards returns into how many shards a number of items is divided, so that each has about perShard items at most.
func Shards(items, perShard int) int {
	return max(1, (items+perShard-1)/perShard)
}

// ShardOf returns the shard of an item, from 0 to shards-1; a shard may hold a few items more than others.
func ShardOf(item string, shards int) int {
	hi, _ := bits.Mul64(xxhash.Sum64String(item), uint64(shards))
	return int(hi)
}
