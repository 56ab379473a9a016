package ferrylog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrylog"
)

func TestLineRateIsLimited(t *testing.T) {
	for _, tt := range []struct {
		name           string
		lines, written int
		later          time.Duration
		reported       bool
	}{
		{"few", 3, 3, time.Second, false},
		{"at the limit", 5, 5, time.Second, false},
		{"over the limit", 12, 5, time.Second, true},
		{"over the limit, not reported within the same second", 12, 5, time.Second - 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			clock := clockwork.NewFakeClock()
			scope := tally.NewTestScope("", nil)
			log := ferrylog.New(ferrylog.Config{Log: zerolog.New(&out), Clock: clock, PerSecond: 5, Scope: scope})
			for range tt.lines {
				log.Info().Msg("request")
			}
			assert.Equal(t, strings.Count(out.String(), `"request"`), tt.written)
			clock.Advance(tt.later)
			log.Info().Msg("later")
			assert.Equal(t, strings.Contains(out.String(), "log lines left out"), tt.reported)
			left := int64(0)
			for _, c := range scope.Snapshot().Counters() {
				left += c.Value()
			}
			assert.Assert(t, left >= int64(tt.lines-tt.written))
		})
	}
}
