package ferryingress

import (
	"bufio"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// bodyShare is the share of the memory limit of the smallest entries that the bodies of requests may take together.
const bodyShare = 284 << 20 / 3

// TestSumOfBodiesFitsIntoAnEntry has 400 callers send or announce long bodies that never end. The live heap must stay within
// a share of an entry's limit, and usual requests must go on.
func TestSumOfBodiesFitsIntoAnEntry(t *testing.T) {
	const callers, announced = 400, 4 << 20
	for _, tt := range []struct {
		name, framing, piece string
		pieces               int
	}{
		{"announced only", "Content-Length: 4194304", "a", 1},
		{"with a length", "Content-Length: 4194304", strings.Repeat("a", 4<<10), 96},
		{"in chunks", "Transfer-Encoding: chunked", "1000\r\n" + strings.Repeat("a", 4<<10) + "\r\n", 96},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, dial := startServer(t, Config{Handle: echoHandler, Limits: func() Limits { return Limits{BodyBytes: announced} }})
				over := make(chan struct{})
				for range callers {
					c := dial()
					go func() {
						_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+tt.framing+"\r\n\r\n")
						for range tt.pieces {
							time.Sleep(5 * time.Millisecond)
							if _, err := io.WriteString(c, tt.piece); err != nil {
								break
							}
						}
						<-over
						c.Close()
					}()
				}
				peak := uint64(0)
				for range 12 {
					time.Sleep(50 * time.Millisecond)
					var m runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&m)
					peak = max(peak, m.HeapAlloc)
					c := dial()
					body := strings.Repeat("b", 2<<10)
					writeString(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2048\r\n\r\n"+body)
					w, got := readAnswer(t, bufio.NewReader(c))
					assert.Equal(t, w.StatusCode, http.StatusOK)
					assert.Equal(t, got, body)
					c.Close()
				}
				close(over)
				t.Logf("live heap: %d MB at the peak", peak>>20)
				assert.Assert(t, peak < bodyShare, "live heap of %d MB", peak>>20)
			})
		})
	}
}
