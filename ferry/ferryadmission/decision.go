package ferryadmission

import (
	"math"
	"sync"
	"time"
)

// Decision is Admitted or Refused.
type Decision interface{ isDecision() }

// Admitted lets the request run.
type Admitted struct{}

// Refused ends the request before anything ran.
type Refused struct {
	// RetryAfter is the time after which the caller may try again, a multiple of 25 ms.
	RetryAfter time.Duration
	// Share is the share of this rank and customer that is currently admitted, rounded to a multiple of 0.025.
	Share float64
}

func (Admitted) isDecision() {}
func (Refused) isDecision()  {}

const (
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the upper bound of the lower end of the drawn range. Twice of it is below a third of a
	// time limit of 20 s, up to which callers wait.
	maxRetryAfter = 3 * time.Second

	retryStep  = 25 * time.Millisecond
	retrySteps = int((2*maxRetryAfter-minRetryAfter)/retryStep) + 1
	shareSteps = 40
)

// refusals returns all values of Refused. Sharing them avoids an allocation for each refusal, which an interface
// that holds a struct otherwise needs.
var refusals = sync.OnceValue(func() *[retrySteps][shareSteps + 1]Decision {
	var out [retrySteps][shareSteps + 1]Decision
	for i := range out {
		for j := range out[i] {
			out[i][j] = Refused{RetryAfter: minRetryAfter + time.Duration(i)*retryStep, Share: float64(j) / shareSteps}
		}
	}
	return &out
})

// refused returns the shared Refused nearest to the values.
func refused(retryAfter time.Duration, share float64) Decision {
	i := int((retryAfter - minRetryAfter + retryStep/2) / retryStep)
	j := int(math.Round(share * shareSteps))
	return refusals()[min(max(i, 0), retrySteps-1)][min(max(j, 0), shareSteps)]
}
