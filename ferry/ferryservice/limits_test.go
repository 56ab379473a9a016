package ferryservice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetentionExceedsDeadline(t *testing.T) {
	tests := []struct {
		name                      string
		retention, deadline, want time.Duration
	}{
		{"defaults", defaultClaimRetention, defaultDeadline, defaultClaimRetention},
		{"above twice the deadline", time.Hour, time.Minute, time.Hour},
		{"less than the deadline", 4 * time.Second, time.Minute, 2 * time.Minute},
		{"less than twice the deadline", 90 * time.Second, time.Minute, 2 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := Limits{ClaimRetention: Duration(tt.retention), Deadline: Duration(tt.deadline)}
			assert.Equal(t, l.Retention(), tt.want)
		})
	}
}
