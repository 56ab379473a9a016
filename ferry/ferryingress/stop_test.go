package ferryingress

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswersInAPlannedStopAnnounceTheClose has a kept connection whose second request is in progress when the stop begins.
func TestAnswersInAPlannedStopAnnounceTheClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, dial := startServer(t, Config{Handle: func(_ context.Context, c *Call) {
			if c.Target == "/slow" {
				<-release
			}
			_ = c.Answer(http.StatusOK, http.Header{}, nil)
		}})
		c := dial()
		br := bufio.NewReader(c)
		writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		readAnswer(t, br)
		writeString(t, c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(time.Millisecond)
		s.Stop()
		close(release)
		w, _ := readAnswer(t, br)
		assert.Assert(t, w.Close)
	})
}
