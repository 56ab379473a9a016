package ferryforward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// Latency histogram buckets double from 1 ms to about 65 s.
const (
	firstBucket = time.Millisecond
	bucketCount = 17
)

// metrics reports request counts and latencies per service.
type metrics struct{ scope tally.Scope }

func latencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(firstBucket, 2, bucketCount)
}

func (m metrics) failed(p *ferryoutcome.Problem) {
	m.scope.Tagged(map[string]string{"kind": string(p.Kind), "outcome": string(p.Outcome)}).Counter("requests_failed").Inc(1)
}

func (m metrics) answered(s ferryid.ServiceName, status int, took time.Duration) {
	sc := m.scope.Tagged(map[string]string{"service": string(s)})
	sc.Tagged(map[string]string{"status": strconv.Itoa(status / 100 * 100)}).Counter("requests_answered").Inc(1)
	sc.Histogram("answer_seconds", latencyBuckets()).RecordDuration(took)
}

func (m metrics) unanswered(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_unanswered").Inc(1)
}

func (m metrics) firstEvent(s ferryid.ServiceName, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": string(s)}).Histogram("first_event_seconds", latencyBuckets()).RecordDuration(took)
}

func (m metrics) retryDenied(s ferryid.ServiceName) {
	m.scope.Tagged(map[string]string{"service": string(s)}).Counter("requests_held_back").Inc(1)
}

func (m metrics) retried(s ferryid.ServiceName, why string) {
	m.scope.Tagged(map[string]string{"service": string(s), "why": why}).Counter("requests_sent_again").Inc(1)
}

func (m metrics) blocked(s ferryid.ServiceName) {
	m.scope.Tagged(map[string]string{"service": string(s)}).Counter("requests_blocked").Inc(1)
}

// rerouteOrdered counts a reroute order by its result.
func (m metrics) rerouteOrdered(s ferryid.ServiceName, result rerouteResult) {
	m.scope.Tagged(map[string]string{"service": string(s), "result": string(result)}).Counter("reroute_orders").Inc(1)
}

// rerouteSkipped counts a needed move for which no order was sent, by the reason.
func (m metrics) rerouteSkipped(s ferryid.ServiceName, why rerouteSkip) {
	m.scope.Tagged(map[string]string{"service": string(s), "why": string(why)}).Counter("reroutes_not_ordered").Inc(1)
}
