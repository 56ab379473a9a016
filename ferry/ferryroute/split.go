package ferryroute

import "cactusferry.dev/ferry/ferryid"

// SplitLayers divides n layers into one contiguous range per rate, so that the slowest
// stage is as fast as possible.
func SplitLayers(n ferryid.Layer, rates []ferryid.TokensPerSecond) []ferryid.LayerRange {
	counts := make([]int, len(rates))
	for range n {
		best := -1
		for i, r := range rates {
			if r > 0 && (best < 0 || float64(counts[i]+1)/float64(r) < float64(counts[best]+1)/float64(rates[best])) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		counts[best]++
	}
	out := make([]ferryid.LayerRange, len(rates))
	next := ferryid.Layer(0)
	for i, c := range counts {
		out[i] = ferryid.LayerRange{From: next, To: next + ferryid.Layer(c)}
		next += ferryid.Layer(c)
	}
	return out
}
