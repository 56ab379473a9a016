package ferryedge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCutRequestsEndBeforeTheProcess has calls and streams that outlast the grace, at an entry that takes 20 ms for each log line.
func TestCutRequestsEndBeforeTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(20*time.Second))
		e := f.start("e1", &slowLog{lineTime: 20 * time.Millisecond})
		const each = 40
		var conns []net.Conn
		for i := range each {
			conns = append(conns, e.send(t, "/call/x", fmt.Sprintf("call-%d", i)), e.send(t, "/events/x", fmt.Sprintf("stream-%d", i)))
		}
		time.Sleep(time.Second)
		began := time.Now()
		e.terminate()
		assert.NilError(t, <-e.ended)
		assert.Assert(t, time.Since(began) < testGrace, "the process ended after %s", time.Since(began))
		open, calls := e.ingress.Open()
		assert.Equal(t, calls, int64(0), "requests that had not ended when the process did")
		assert.Equal(t, open, int64(0), "connections that were open when the process ended")
		for i := range each {
			for _, kind := range []string{"call", "stream"} {
				assert.Equal(t, e.log.count(fmt.Sprintf(`"Request":"%s-%d"`, kind, i)) > 0, true, "%s %d ended without a log line", kind, i)
			}
		}
		for i, c := range conns {
			w, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err, "request %d", i)
			_, err = io.ReadAll(w.Body)
			if i%2 == 0 {
				assert.Equal(t, w.StatusCode, http.StatusGatewayTimeout)
				assert.NilError(t, err, "answer to call %d", i/2)
			} else {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "stream %d", i/2)
			}
		}
	})
}

// TestPeersHearOfAStopThatUsesUpItsGrace stops one of two entries with a stream open that outlasts the grace.
func TestPeersHearOfAStopThatUsesUpItsGrace(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 20 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, goOn(length))
				stopped, other := f.start("e1", &slowLog{}), f.start("e2", &slowLog{})
				stopped.send(t, "/events/x", "stream")
				for len(other.peer.Members().Live()) < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				stopped.terminate()
				assert.NilError(t, <-stopped.ended)
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, len(other.peer.Members().Live()), 1, "%v", other.peer.Members().List)
				assert.Equal(t, stopped.log.count("could not notify"), 0)
			})
		})
	}
}

// TestStopBesideASilentPeerEndsWithinTheGrace runs on the real clock, since closing a WebSocket blocks on a mutex.
func TestStopBesideASilentPeerEndsWithinTheGrace(t *testing.T) {
	f := newTestFleet(t, goOn(5*time.Second))
	f.grace, f.settle = 2*time.Second, 0
	f.start("e1", &slowLog{})
	stopped := f.start("e2", &slowLog{})
	for len(stopped.peer.Links()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	stopped.send(t, "/events/x", "stream")
	began := time.Now()
	stopped.terminate()
	time.Sleep(f.grace - time.Second/2)
	f.muted.Store(true)
	assert.NilError(t, <-stopped.ended)
	assert.Assert(t, time.Since(began) < f.grace, "the process ended after %s", time.Since(began))
}
