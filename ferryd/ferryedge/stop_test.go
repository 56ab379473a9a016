package ferryedge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
)

// TestCutRequestsEndBeforeTheProcess has more calls and streams that outlast the grace than lines may be written in a second, at an entry
// that takes 20 ms for each line.
func TestCutRequestsEndBeforeTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(20*time.Second))
		e := f.start("e1", &slowLog{lineTime: 20 * time.Millisecond})
		const each = 200
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
		assert.Equal(t, e.log.count(`"Kind":"Timeout"`, "The entry ends after"), each)
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

// TestCutRequestsDoNotWaitForThePeers has a peer that does not hear of the departure, and a request that does not end with the
// entry. It guards against stops that use up the time for the end of the process.
func TestCutRequestsDoNotWaitForThePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(20*time.Second))
		e := f.start("e1", &slowLog{lineTime: 5 * time.Second})
		e.leave = func(ctx context.Context) error {
			<-ctx.Done()
			return context.Cause(ctx)
		}
		e.send(t, "/events/x", "stream")
		time.Sleep(time.Second)
		began := time.Now()
		e.terminate()
		assert.NilError(t, <-e.ended)
		assert.Equal(t, time.Since(began), testGrace-exitMargin+cutTime)
		assert.Equal(t, e.log.count("could not notify"), 1)
		assert.Equal(t, e.log.count("process ends before its requests"), 1)
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

// TestStuckDutyDoesNotKeepAStopBeyondItsGrace has a duty that goes on after its context has ended, as closing the link of a silent peer does.
func TestStuckDutyDoesNotKeepAStopBeyondItsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(20*time.Second))
		release := make(chan struct{})
		defer close(release)
		f.decode = func(b []byte) (*ferryconfig.Snapshot, error) {
			if string(b) == "2" {
				<-release
			}
			return decodeTestConfiguration(b)
		}
		e := f.start("e1", &slowLog{})
		e.send(t, "/events/x", "stream")
		o, err := f.store.Get(t.Context(), "config", "main")
		assert.NilError(t, err)
		_, err = f.store.Put(t.Context(), "config", "main", o.Version, []byte("2"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		began := time.Now()
		e.terminate()
		select {
		case err := <-e.ended:
			assert.NilError(t, err)
			assert.Assert(t, time.Since(began) < testGrace, "the process ended after %s", time.Since(began))
		case <-time.After(time.Minute):
			t.Fatal("the process goes on a minute after its stop began")
		}
		assert.Assert(t, e.log.count(`"Request":"stream"`) > 0)
	})
}
