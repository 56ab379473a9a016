package ferrypipeline

import "cactusferry.dev/ferry/ferryid"

// Place splits a model's layers over a chain of engines so that its throughput, that of the
// slowest engine, is highest. Rates are in layers per second. It returns nil if there are no
// engines, or more than layers.
func Place(rates []float64, layers ferryid.Layer) []ferryid.LayerRange {
	n := len(rates)
	if n == 0 || n > int(layers) {
		return nil
	}
	sizes := make([]int, n)
	for i := range sizes {
		sizes[i] = 1
	}
	for range int(layers) - n {
		best := 0
		for i := range sizes {
			if float64(sizes[i]+1)*rates[best] < float64(sizes[best]+1)*rates[i] {
				best = i
			}
		}
		sizes[best]++
	}
	return layerRanges(sizes)
}

// PlaceEqually splits the layers into equal parts; it is the baseline for measurements of Place.
func PlaceEqually(n int, layers ferryid.Layer) []ferryid.LayerRange {
	sizes := make([]int, n)
	for i := range sizes {
		sizes[i] = (i+1)*int(layers)/n - i*int(layers)/n
	}
	return layerRanges(sizes)
}

func layerRanges(sizes []int) []ferryid.LayerRange {
	out := make([]ferryid.LayerRange, len(sizes))
	next := ferryid.Layer(0)
	for i, n := range sizes {
		out[i] = ferryid.LayerRange{From: next, To: next + ferryid.Layer(n)}
		next = out[i].To
	}
	return out
}

// Bottleneck returns the token rate of the slowest engine of a placement; rates are in layers per second.
func Bottleneck(rates []float64, placed []ferryid.LayerRange) ferryid.TokensPerSecond {
	worst := 0.0
	for i, r := range placed {
		worst = max(worst, float64(r.Len())/rates[i])
	}
	if worst == 0 {
		return 0
	}
	return ferryid.TokensPerSecond(1 / worst)
}
