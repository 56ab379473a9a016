package ferryqueue

import (
	"math"
	"math/bits"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// predictQuantile is the predicted quantile of past lengths.
	predictQuantile = 0.7
	// predictStep is the step of one observation, in the natural logarithm of the length.
	predictStep      = 0.05
	maxPredictions   = 16384
	defaultPredicted = 128
)

// Predictor estimates how many tokens a call produces, by customer and size of the prompt.
type Predictor struct {
	logs map[predictKey]float64
}

type predictKey struct {
	customer ferryid.CustomerName
	bucket   uint8
}

// NewPredictor returns a predictor without observations.
func NewPredictor() *Predictor {
	return &Predictor{logs: map[predictKey]float64{}}
}

func keyOf(c ferryid.CustomerName, prompt ferryid.Tokens) predictKey {
	return predictKey{customer: c, bucket: uint8(bits.Len64(uint64(max(0, prompt))))}
}

// Predict returns the predicted length of an answer; a maxTokens of 0 means no limit.
func (p *Predictor) Predict(c ferryid.CustomerName, prompt, maxTokens ferryid.Tokens) ferryid.Tokens {
	n := ferryid.Tokens(defaultPredicted)
	if l, ok := p.logs[keyOf(c, prompt)]; ok {
		n = ferryid.Tokens(math.Ceil(math.Exp(l)))
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return max(1, n)
}

// Learn updates the prediction with the length of a finished answer.
func (p *Predictor) Learn(c ferryid.CustomerName, prompt, tokens ferryid.Tokens) {
	if tokens <= 0 {
		return
	}
	k := keyOf(c, prompt)
	x := math.Log(float64(tokens))
	l, ok := p.logs[k]
	if !ok {
		if len(p.logs) >= maxPredictions {
			return
		}
		p.logs[k] = x
		return
	}
	step := predictStep * max(1, math.Abs(x-l))
	if x > l {
		p.logs[k] = l + step*predictQuantile
	} else if x < l {
		p.logs[k] = l - step*(1-predictQuantile)
	}
}
