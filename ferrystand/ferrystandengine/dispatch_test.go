package ferrystandengine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
)

// cutter is a TCP proxy that closes a connection after a number of bytes of its request or of its answer.
type cutter struct {
	ln      net.Listener
	to      string
	request int64
	answer  int64
	// cuts is the number of connections to cut; later ones are forwarded completely.
	cuts  int64
	conns atomic.Int64
}

func newCutter(tb testing.TB, to string, request, answer, cuts int64) *cutter {
	tb.Helper()
	ln := ferrynettest.Listen()
	c := &cutter{ln: ln, to: to, request: request, answer: answer, cuts: cuts}
	go c.serve()
	tb.Cleanup(func() { _ = ln.Close() })
	return c
}

func (c *cutter) serve() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		request, answer := c.request, c.answer
		if c.conns.Add(1) > c.cuts {
			request, answer = -1, -1
		}
		go forwardAtMost(conn, c.to, request, answer)
	}
}

func forwardAtMost(in net.Conn, to string, request, answer int64) {
	defer in.Close()
	out, err := ferrynettest.Dial(context.Background(), "tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go copyAtMost(out, in, request, done)
	go copyAtMost(in, out, answer, done)
	<-done
}

func copyAtMost(to io.Writer, from io.Reader, n int64, done chan<- struct{}) {
	if n >= 0 {
		_, _ = io.CopyN(to, from, n)
	} else {
		_, _ = io.Copy(to, from)
	}
	done <- struct{}{}
}

// dispatch runs one job on one engine behind a cutter and
// returns the reported outcome and the number of records.
func dispatch(tb testing.TB, request, answer, cuts int64) (outcome ferryoutcome.Outcome, ran int) {
	tb.Helper()
	c := &chain{}
	st := c.add(tb, ferryid.LayerRange{To: testLayers}, clockwork.NewRealClock())
	proxy := newCutter(tb, st.Address, request, answer, cuts)
	clock := clockwork.NewRealClock()
	pool, err := ferrypipeline.NewPool(ferrypipeline.PlannerConfig{
		Layers:     testLayers,
		Candidates: ferrypipeline.Candidates{{Name: "e", Address: proxy.ln.Addr().String(), Layers: st.Layers, Incarnation: c.engines[0].Incarnation()}},
	}, []ferrypipeline.Load{{Rate: 1}}, clock)
	assert.NilError(tb, err)
	r := &ferrypipeline.Runner{
		Engines: newClient(tb, clock), Picker: pool, Clock: clock,
		Core: ferrypipeline.CoreConfig{MaxEpochs: 1},
	}
	_, err = r.Run(context.Background(), ferrypipeline.Job{Stream: "s", Prompt: "p", MaxTokens: 2}, func(ferrypipeline.Token) error { return nil })
	r.Wait()
	if err == nil {
		return "", len(c.engines[0].Records("s"))
	}
	return ferryoutcome.Of(err), len(c.engines[0].Records("s"))
}

// The connection of a dispatch is cut after every seventh byte of the request and the answer. NotRun
// and Ran must be correct, and no outcome may be Unknown, since the cancel call reaches the engine.
func TestOutcomeWithConnectionCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := map[ferryoutcome.Outcome]int{}
		try := func(request, answer int64) {
			outcome, ran := dispatch(t, request, answer, 1)
			count[outcome]++
			switch outcome {
			case ferryoutcome.NotRun:
				assert.Equal(t, ran, 0, "NotRun, cut after %d and %d bytes", request, answer)
			case ferryoutcome.Ran, "":
				assert.Assert(t, ran > 0, "%s, cut after %d and %d bytes", outcome, request, answer)
			default:
				t.Errorf("%s, cut after %d and %d bytes", outcome, request, answer)
			}
		}
		for n := int64(0); n < 420; n += 7 {
			try(n, -1)
		}
		for n := int64(0); n < 520; n += 7 {
			try(-1, n)
		}
		assert.Assert(t, count[ferryoutcome.NotRun] > 0 && count[ferryoutcome.Ran] > 0, "%v", count)
		assert.Equal(t, count[ferryoutcome.Unknown], 0)
		t.Logf("outcomes %v", count)
	})
}

// If the cancel call is cut as well, Unknown is allowed, and NotRun and Ran must still be correct.
func TestOutcomeWithCancelCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := map[ferryoutcome.Outcome]int{}
		for n := int64(0); n < 420; n += 35 {
			outcome, ran := dispatch(t, n, 0, 1<<30)
			count[outcome]++
			assert.Assert(t, outcome != ferryoutcome.NotRun || ran == 0)
			assert.Assert(t, outcome != ferryoutcome.Ran || ran > 0)
		}
		t.Logf("outcomes %v", count)
	})
}

// A refused connection must be reported as NotRun, since no byte was written.
func TestNoConnectionIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := ferrynettest.Listen()
		address := ln.Addr().String()
		assert.NilError(t, ln.Close())
		req := ferryengine.RunRequest{
			Stream: "s", Epoch: 1, MaxTokens: 1,
			Stages: ferryengine.Stages{{Address: address, Layers: ferryid.LayerRange{To: 1}}},
		}
		_, err := newClient(t, clockwork.NewRealClock()).Run(context.Background(), req)
		var dispatchErr *ferryengine.DispatchError
		assert.Assert(t, errors.As(err, &dispatchErr))
		assert.Equal(t, dispatchErr.Outcome(), ferryoutcome.NotRun)
	})
}
