package ferryforward

import (
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// recentStreams is the number of complete streams that predict the time of another one.
	recentStreams = 64
	// minRecentStreams is the number of complete streams below which nothing is predicted. A busy entry completes as
	// many in about 2 s.
	minRecentStreams = 8
	// tooSlowShare is the share of the recent streams at whose speed a stream may be too late. About one of a hundred
	// streams accepted by it in trials was.
	tooSlowShare = 0.05
)

// streamTimes predicts how long the streams of one service take, from the time per expected token of those that
// completed last. That time includes waits, the load of the upstreams and the errors of the callers' estimates.
type streamTimes struct {
	mu       sync.Mutex
	perToken [recentStreams]time.Duration
	// recorded counts all streams; each overwrites the one that was recorded recentStreams before it.
	recorded int
}

// record adds a complete stream of which its caller expected the given number of tokens.
func (s *streamTimes) record(took time.Duration, expected ferryid.Tokens) {
	if expected <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perToken[s.recorded%recentStreams] = took / time.Duration(expected)
	s.recorded++
}

// endWithin reports whether a stream will very probably be complete within the time left.
func (s *streamTimes) endWithin(left time.Duration, expected ferryid.Tokens) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.perToken[:min(s.recorded, recentStreams)]
	if expected <= 0 || left <= 0 || len(recent) < minRecentStreams {
		return false
	}
	tooSlow := 0
	for _, t := range recent {
		if t > left/time.Duration(expected) {
			tooSlow++
		}
	}
	return float64(tooSlow) <= tooSlowShare*float64(len(recent))
}
