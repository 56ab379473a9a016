package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

// TestThirdEngineServesWhenTheReplacementIsSilentToo silences the first engine and that of the replacement.
func TestThirdEngineServesWhenTheReplacementIsSilentToo(t *testing.T) {
	for _, events := range []int{0, 3} {
		for _, head := range []bool{false, true} {
			for _, gone := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d events, head %t, second gone %t", events, head, gone), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newHarness(t)
						b.table.Replace(append(b.listed, b.addUpstream("first-c", "llm", ferryid.LayerRange{From: 0, To: 2})), 2)
						var runs atomic.Int32
						begin := func(c net.Conn, r *http.Request) {
							writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
						}
						for _, name := range []string{"first-a", "first-b", "first-c"} {
							u := b.upstreams[name]
							u.setHandler(func(c net.Conn, r *http.Request) bool {
								switch runs.Add(1) {
								case 1:
									begin(c, r)
									for i := range events {
										time.Sleep(60 * time.Millisecond)
										writeChunk(c, eventText("1", i+1))
									}
									u.l.Close()
									time.Sleep(time.Minute)
									return false
								case 2:
									if head {
										begin(c, r)
									}
									if gone {
										u.l.Close()
									}
									time.Sleep(time.Minute)
									return false
								}
								return streamEvents(9, 30*time.Millisecond)(c, r)
							})
						}
						a := b.call("POST", "/gen/x", "1")
						assert.NilError(t, a.err, a.body)
						assert.Equal(t, a.body, completeStream("1", 9))
						assert.Assert(t, a.took < 3*time.Second, "%s", a.took)
					})
				})
			}
		}
	}
}
