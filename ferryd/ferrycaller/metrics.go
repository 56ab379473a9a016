package ferrycaller

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// The bounds of the histograms of waits, in steps that double from 1 ms to about 65 s.
const (
	firstBucket = time.Millisecond
	buckets     = 17
)

// Metrics counts calls by service and times tokens.
type Metrics struct {
	scope tally.Scope
}

// NewMetrics returns metrics that report to the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope}
}

func (m *Metrics) of(service ferryid.ServiceName) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": string(service)})
}

func waits() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(firstBucket, 2, buckets)
}

// failed counts a call that was answered with a problem.
func (m *Metrics) failed(p *ferryoutcome.Problem) {
	m.scope.Tagged(map[string]string{"kind": string(p.Kind), "outcome": string(p.Outcome)}).Counter("calls_failed").Inc(1)
}

// answered counts a plain call that was answered with the upstream's status.
func (m *Metrics) answered(service ferryid.ServiceName, status int, took time.Duration) {
	s := m.of(service)
	s.Tagged(map[string]string{"status": strconv.Itoa(status / 100 * 100)}).Counter("calls_answered").Inc(1)
	s.Histogram("call_seconds", waits()).RecordDuration(took)
}

// streamMetrics times one stream's tokens.
type streamMetrics struct {
	first   tally.Histogram
	between tally.Histogram
	tokens  tally.Counter
	began   time.Time
	last    time.Time
}

func (m *Metrics) stream(service ferryid.ServiceName, now time.Time) *streamMetrics {
	s := m.of(service)
	s.Counter("streams_started").Inc(1)
	return &streamMetrics{
		first: s.Histogram("first_token_seconds", waits()), between: s.Histogram("between_tokens_seconds", waits()),
		tokens: s.Counter("tokens"), began: now,
	}
}

// wrote counts tokens that were sent together; the wait for the first one is from the call's arrival.
func (s *streamMetrics) wrote(n int, now time.Time) {
	s.tokens.Inc(int64(n))
	if s.last.IsZero() {
		s.first.RecordDuration(now.Sub(s.began))
	} else {
		s.between.RecordDuration(now.Sub(s.last) / time.Duration(n))
	}
	s.last = now
}
