package ferryqueue

import (
	"math"
	"math/bits"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// predictQuantile is the quantile of past lengths that is predicted.
	predictQuantile = 0.7
	// predictStep is how far one observation moves a prediction, in the logarithm of the length.
	predictStep      = 0.05
	maxPredictions   = 16384
	defaultPredicted = 128
)

// Predictor learns how many tokens a customer's calls produce, by the size of their prompts.
type Predictor struct {
	logs map[predictKey]float64
}

type predictKey struct {
	customer ferryid.CustomerName
	bucket   uint8
}

// NewPredictor returns a predictor that has learned nothing yet.
func NewPredictor() *Predictor {
	return &Predictor{logs: map[predictKey]float64{}}
}

func keyOf(c ferryid.CustomerName, prompt ferryid.Tokens) predictKey {
	return predictKey{customer: c, bucket: uint8(bits.Len64(uint64(max(0, prompt))))}
}

// Predict returns the expected length of an answer; maxTokens 0 means that the caller set no bound.
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

// Learn moves the prediction towards a finished answer's length.
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
