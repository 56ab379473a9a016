package ferrystandengine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

const testLayers = 12

// chain is a set of engines in one process, each with its own listener.
type chain struct {
	engines []*ferrystandengine.Engine
	servers []*httptest.Server
	stages  ferryengine.Stages
}

// newChain starts n engines with equal ranges of the layers.
func newChain(tb testing.TB, n int) *chain {
	tb.Helper()
	c := &chain{}
	for i := range n {
		layers := ferryid.LayerRange{From: ferryid.Layer(i * testLayers / n), To: ferryid.Layer((i + 1) * testLayers / n)}
		c.add(tb, layers, clockwork.NewRealClock())
	}
	return c
}

// newHTTP returns a client of the in-memory network.
func newHTTP(tb testing.TB) *http.Client {
	c := &http.Client{Transport: ferryengine.NewTransport(ferrynettest.Dial)}
	tb.Cleanup(c.CloseIdleConnections)
	return c
}

func newClient(tb testing.TB, clock clockwork.Clock) *ferryengine.Client {
	return ferryengine.New(ferryengine.ClientConfig{HTTP: newHTTP(tb), Clock: clock})
}

func (c *chain) add(tb testing.TB, layers ferryid.LayerRange, clock clockwork.Clock) ferryengine.Stage {
	e := ferrystandengine.New(ferrystandengine.Config{Name: "engine", Layers: layers, Slots: 256, Clock: clock, HTTP: newHTTP(tb)})
	srv := ferrynettest.Serve(e)
	tb.Cleanup(func() {
		e.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	st := ferryengine.Stage{Address: srv.Listener.Addr().String(), Layers: layers}
	c.engines = append(c.engines, e)
	c.servers = append(c.servers, srv)
	c.stages = append(c.stages, st)
	return st
}

func (c *chain) request(epoch ferryid.Epoch, n int) ferryengine.RunRequest {
	return ferryengine.RunRequest{
		Stream: "s", Epoch: epoch, Stages: c.stages, Prompt: "why did the yield drop", MaxTokens: n, Seed: 7,
	}
}

// collect reads a stream to its end and returns its texts and its last item.
func collect(s ferryengine.Stream) (texts []string, last ferryengine.Item, err error) {
	defer s.Close()
	for {
		it, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return texts, last, nil
		case err != nil:
			return texts, last, err
		case it.Text != "":
			texts = append(texts, it.Text)
		}
		last = it
	}
}

func TestChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, n := range []int{1, 2, 3, 4} {
			c := newChain(t, n)
			s, err := newClient(t, clockwork.NewRealClock()).Run(context.Background(), c.request(1, 20))
			assert.NilError(t, err)
			texts, last, err := collect(s)
			assert.NilError(t, err)
			assert.Assert(t, last.Done)
			assert.DeepEqual(t, texts, ferryenginetest.Reference(7, "why did the yield drop", 20, testLayers))
		}
	})
}

func TestRebuildAndImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := ferryenginetest.Reference(7, "why did the yield drop", 20, testLayers)
		c := newChain(t, 2)
		client := newClient(t, clockwork.NewRealClock())
		req := c.request(1, 20)
		req.MaxTokens = 9
		s, err := client.Run(context.Background(), req)
		assert.NilError(t, err)
		_, _, err = collect(s)
		assert.NilError(t, err)

		for _, im := range []bool{true, false} {
			other := newChain(t, 2)
			req := other.request(2, 20)
			req.Generated, req.Import = want[:7], im
			for i := range other.stages {
				kv, err := client.ExportKV(context.Background(), c.stages[i].Address, "s")
				assert.NilError(t, err)
				assert.NilError(t, client.ImportKV(context.Background(), other.stages[i].Address, kv))
			}
			s, err := client.Run(context.Background(), req)
			assert.NilError(t, err)
			texts, _, err := collect(s)
			assert.NilError(t, err)
			assert.DeepEqual(t, texts, want[7:])
			prefill := 0
			for _, r := range other.engines[0].Records("s") {
				if r.Prefill {
					prefill++
				}
			}
			assert.Equal(t, prefill == 0, im)
		}
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain(t, 2)
		client := newClient(t, clockwork.NewRealClock())
		for i, tt := range []struct {
			name   string
			before func(*ferryengine.RunRequest)
			first  ferryoutcome.Kind
			later  ferryengine.FailureKind
		}{
			{"wrong incarnation", func(r *ferryengine.RunRequest) {
				r.Incarnations = map[string]ferryid.Incarnation{c.stages[0].Address: "another"}
			}, ferryoutcome.KindNotFound, ""},
			{"second stage's incarnation", func(r *ferryengine.RunRequest) {
				r.Incarnations = map[string]ferryid.Incarnation{c.stages[1].Address: "another"}
			}, "", ferryengine.FailureEmpty},
			{"import without a cache", func(r *ferryengine.RunRequest) {
				r.Import, r.Generated = true, []string{" x"}
			}, "", ferryengine.FailureEmpty},
			{"old epoch", func(r *ferryengine.RunRequest) { r.Epoch = 1 }, ferryoutcome.KindConflict, ""},
			{"second stage leaving", func(*ferryengine.RunRequest) { c.engines[1].Leave() }, "", ferryengine.FailureDraining},
			{"leaving", func(*ferryengine.RunRequest) { c.engines[0].Leave() }, ferryoutcome.KindDraining, ""},
		} {
			req := c.request(ferryid.Epoch(i+2), 4)
			tt.before(&req)
			s, err := client.Run(context.Background(), req)
			var refused *ferryengine.RefusedError
			if tt.first != "" {
				assert.Assert(t, errors.As(err, &refused), "%s: %v", tt.name, err)
				assert.Equal(t, refused.Kind, tt.first, tt.name)
				continue
			}
			assert.NilError(t, err)
			texts, last, err := collect(s)
			assert.NilError(t, err)
			assert.Equal(t, len(texts), 0)
			assert.Equal(t, last.Failed.Kind, tt.later, tt.name)
		}
		assert.Equal(t, len(c.engines[0].Records("s")), 0)
	})
}
