package ferryclaim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

// HeirOrder ranks the live incarnations as heirs of one that stops, by rendezvous hashing, best first.
func HeirOrder(of ferryid.Incarnation, live []ferryid.Incarnation) []ferryid.Incarnation {
	type ranked struct {
		id    ferryid.Incarnation
		score uint64
	}
	var rs []ranked
	for _, id := range live {
		if id != of {
			rs = append(rs, ranked{id, xxhash.Sum64String(string(of) + "\x00" + string(id))})
		}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]ferryid.Incarnation, len(rs))
	for i, r := range rs {
		out[i] = r.id
	}
	return out
}
