package ferryforward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
)

// TestRequestOutlivesTheConfigurationThatAdmittedIt changes the configuration while a call is held, streams run and a
// kept connection is idle.
func TestRequestOutlivesTheConfigurationThatAdmittedIt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*ferryconfig.Configuration)
		// next is the status of the next request on the kept connection.
		next int
	}{
		{"routes and services removed", func(c *ferryconfig.Configuration) { c.Routes, c.Services = c.Routes[2:3], c.Services[:1] }, http.StatusNotFound},
		{"service becomes plain", func(c *ferryconfig.Configuration) { c.Services[1].Model = nil }, http.StatusOK},
		{"routes move to another service", func(c *ferryconfig.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Targets = []ferryconfig.Target{{Service: "llm", Weight: 1}}
			}
		}, http.StatusOK},
		{"key removed", func(c *ferryconfig.Configuration) { c.Customers[0].Keys = []ferryconfig.Key{"other"} }, http.StatusUnauthorized},
		{"timeouts shortened", func(c *ferryconfig.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Timeout = 100 * time.Millisecond
			}
		}, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				b.upstreams["u"].setHandler(streamEvents(5, 300*time.Millisecond))
				b.upstreams["v"].setHandler(streamEvents(5, 300*time.Millisecond))
				fast := streamEvents(5, 50*time.Millisecond)
				for name := range engineLayers {
					b.upstreams[name].setHandler(fast)
				}
				kept := b.dial()
				assert.Equal(t, b.callOn(kept, "GET", "/safe/x", "kept").status, http.StatusOK)
				targets := map[string]string{"call": "/once/x", "events": "/events/x", "live": "/live/x", "gen": "/gen/x"}
				answers := make(chan callerAnswer, len(targets))
				want := map[string]bool{}
				for id, target := range targets {
					want[completeStream(id, 5)] = true
					go func() { answers <- b.call("POST", target, id) }()
				}
				time.Sleep(120 * time.Millisecond)
				cfg := configuration()
				cfg.Version = 2
				tt.change(cfg)
				s, err := ferryconfig.NewSnapshot(cfg)
				assert.NilError(t, err)
				b.holder.Offer(s)
				b.holder.Prove(2, b.clock.Now())
				for range targets {
					a := <-answers
					assert.NilError(t, a.err)
					assert.Assert(t, want[a.body], "%d %q", a.status, a.body)
					delete(want, a.body)
				}
				for _, name := range []string{"u", "v"} {
					b.upstreams[name].setHandler(answerOK)
				}
				a := b.callOn(kept, "GET", "/safe/x", "next")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, tt.next)
			})
		})
	}
}
