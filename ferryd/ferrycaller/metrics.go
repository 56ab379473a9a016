package ferrycaller

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// The buckets of latency histograms double from 1 ms to about 65 s.
const (
	firstBucket = time.Millisecond
	bucketCount = 17
)

// Metrics records calls and token latencies by service.
type Metrics struct {
	scope tally.Scope
}

// NewMetrics returns metrics that report to the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope}
}

func (m *Metrics) forService(service ferryid.ServiceName) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": string(service)})
}

func waitBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(firstBucket, 2, bucketCount)
}

// countFailure counts a call answered with a problem.
func (m *Metrics) countFailure(p *ferryoutcome.Problem) {
	m.scope.Tagged(map[string]string{"kind": string(p.Kind), "outcome": string(p.Outcome)}).Counter("calls_failed").Inc(1)
}

// recordAnswer records the status and duration of an answered plain call.
func (m *Metrics) recordAnswer(service ferryid.ServiceName, status int, took time.Duration) {
	s := m.forService(service)
	s.Tagged(map[string]string{"status": strconv.Itoa(status / 100 * 100)}).Counter("calls_answered").Inc(1)
	s.Histogram("call_seconds", waitBuckets()).RecordDuration(took)
}

// streamMetrics records the token latencies of one stream.
type streamMetrics struct {
	first   tally.Histogram
	between tally.Histogram
	tokens  tally.Counter
	arrived time.Time
	last    time.Time
}

func (m *Metrics) stream(service ferryid.ServiceName, now time.Time) *streamMetrics {
	s := m.forService(service)
	s.Counter("streams_started").Inc(1)
	return &streamMetrics{
		first: s.Histogram("first_token_seconds", waitBuckets()), between: s.Histogram("between_tokens_seconds", waitBuckets()),
		tokens: s.Counter("tokens"), arrived: now,
	}
}

// recordTokens records n tokens sent in one write; the latency of the first counts from the
// request's arrival.
func (s *streamMetrics) recordTokens(n int, now time.Time) {
	s.tokens.Inc(int64(n))
	if s.last.IsZero() {
		s.first.RecordDuration(now.Sub(s.arrived))
	} else {
		s.between.RecordDuration(now.Sub(s.last) / time.Duration(n))
	}
	s.last = now
}
