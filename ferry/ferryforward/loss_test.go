package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferrysuspect"
)

// lossHarness is a harness with four engines for each range of layers. Those at one place of a path fall silent on part 666.
type lossHarness struct {
	*harness
	place int
	// silent are the engines that did so, in order, and lost maps each request to its number of them.
	silent []string
	lost   map[string]int
}

func newLossHarness(t *testing.T, place int) *lossHarness {
	h := &lossHarness{harness: newHarness(t), place: place, lost: map[string]int{}}
	for i, held := range []ferryid.LayerRange{{From: 0, To: 2}, {From: 2, To: 5}, {From: 5, To: 8}} {
		for _, name := range []string{"c", "d"} {
			h.listed = append(h.listed, h.addUpstream(fmt.Sprintf("%s-%s", []string{"first", "mid", "last"}[i], name), "llm", held))
		}
	}
	h.table.Replace(h.listed, 2)
	for name, u := range h.upstreams {
		if strings.HasPrefix(name, "first") {
			u.setHandler(h.serve)
		}
	}
	h.rerouter.result = func(p *ferrypath.Path) error {
		h.fall("moved", p.Hops()[place].Upstream.Name)
		return nil
	}
	return h
}

func (h *lossHarness) serve(c net.Conn, r *http.Request) bool {
	if !strings.Contains(r.Header.Get("Prompt"), "666") {
		return streamEvents(9, 30*time.Millisecond)(c, r)
	}
	h.fall(r.Header.Get("Request-Id"), strings.Fields(r.Header.Get("Path"))[h.place])
	time.Sleep(time.Minute)
	return false
}

// fall silences an engine that a request has reached.
func (h *lossHarness) fall(id, engine string) {
	if !slices.Contains(h.silent, engine) {
		h.silent = append(h.silent, engine)
		h.lost[id]++
		h.upstreams[engine].l.Close()
	}
}

// end removes the engines that have fallen silent from the platform, after they were in the given state.
func (h *lossHarness) end(state ferryplatform.InstanceState) {
	version := h.table.View().Get("first-a").Version
	for i := range h.listed {
		if slices.Contains(h.silent, h.listed[i].Name) {
			h.listed[i].State = state
			h.listed[i].Version++
		}
	}
	h.table.Replace(h.listed, version+1)
	h.listed = slices.DeleteFunc(h.listed, func(u ferrydiscovery.Upstream) bool { return slices.Contains(h.silent, u.Name) })
	h.table.Replace(h.listed, version+2)
}

func (h *lossHarness) suspected(p ferrysuspect.PartID) bool {
	return h.forwarder.cfg.Suspects.Suspected("llm", []ferrysuspect.PartID{p})
}

// TestPartThatSilencesEnginesIsBlockedOnceTheyHaveEnded guards against parts that are never suspected since engines fall
// silent on them, at each place of a path, and against requests with such a part that are moved from engine to engine.
func TestPartThatSilencesEnginesIsBlockedOnceTheyHaveEnded(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint("place ", place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLossHarness(t, place)
				a := h.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 1 2 666")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, http.StatusBadGateway, a.body)
				assert.Equal(t, a.header.Get("Outcome"), "Unknown")
				assert.Equal(t, len(h.silent), maxLost, "%q", h.silent)
				assert.Assert(t, !h.suspected(666), "they may be cut off")
				h.end(ferryplatform.StateLive)
				assert.Assert(t, h.suspected(666))
				time.Sleep(time.Second) // part 1 is as likely as 666
				sound := h.call("POST", "/gen/x", "2", "Key: good", "Wait-Ms: 20000", "Prompt: 1 3")
				assert.Equal(t, sound.body, completeStream("2", 9))
				late := h.call("POST", "/gen/x", "3", "Key: good", "Wait-Ms: 20000", "Prompt: 1 2 666")
				assert.Equal(t, late.status, http.StatusServiceUnavailable)
				assert.Equal(t, late.header.Get("Outcome"), "NotRun")
				assert.Equal(t, len(h.silent), maxLost, "%q", h.silent)
			})
		})
	}
}

// TestEngineThatLeavesIsNoCrash has the engines leave as planned after they have fallen silent.
func TestEngineThatLeavesIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLossHarness(t, 1)
		h.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 666")
		assert.Assert(t, len(h.silent) > 0)
		h.end(ferryplatform.StateLeaving)
		assert.Assert(t, !h.suspected(666))
	})
}

// TestReplacedProcessIsACrash has another process register at the address of an engine that has fallen silent, while that one
// is still listed.
func TestReplacedProcessIsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLossHarness(t, 0)
		h.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 666")
		old := *h.table.View().Get(h.silent[0])
		old.Name, old.Started, old.Version = "first-e", time.Now(), 3
		h.table.Apply([]ferrydiscovery.Change{{Upstream: old}})
		assert.Assert(t, h.suspected(666))
	})
}

// TestPartThatSilencesSingleUpstreamsIsSuspected has the upstreams of a service without layers fall silent.
func TestPartThatSilencesSingleUpstreamsIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "a", "b", "c")
		var silent []string
		for _, name := range []string{"a", "b", "c"} {
			u := b.upstreams[name]
			u.setHandler(func(net.Conn, *http.Request) bool {
				silent = append(silent, name)
				u.l.Close()
				time.Sleep(time.Minute)
				return false
			})
		}
		b.call("GET", "/events/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 666")
		assert.Assert(t, len(silent) > 0)
		suspects := b.forwarder.cfg.Suspects
		assert.Assert(t, !suspects.Suspected("plain", []ferrysuspect.PartID{666}))
		b.table.Replace(slices.DeleteFunc(b.listed, func(u ferrydiscovery.Upstream) bool { return u.Name == silent[0] }), 2)
		assert.Assert(t, suspects.Suspected("plain", []ferrysuspect.PartID{666}))
	})
}

// TestBrokenRunIsACrashOfItsDeadEngine has the first engine break off runs whose last engine has ended.
func TestBrokenRunIsACrashOfItsDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLossHarness(t, 2)
		for name, u := range h.upstreams {
			if strings.HasPrefix(name, "first") {
				u.setHandler(func(_ net.Conn, r *http.Request) bool {
					h.fall(r.Header.Get("Request-Id"), strings.Fields(r.Header.Get("Path"))[2])
					return false
				})
			}
		}
		a := h.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 666")
		assert.Equal(t, a.status, http.StatusBadGateway, a.body)
		time.Sleep(time.Second)
		h.end(ferryplatform.StateLive)
		assert.Assert(t, h.suspected(666))
	})
}

// TestTrialIsSentOnce has the request that tries a blocked part again be broken off by its first engine, since the last one
// crashed, or wait at a silent engine. It guards against trials that are sent to one more engine before it is known whether
// the first one has crashed.
func TestTrialIsSentOnce(t *testing.T) {
	for _, silent := range []time.Duration{0, 4 * time.Second} {
		t.Run(silent.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLossHarness(t, 2)
				var sent []string
				for name, u := range h.upstreams {
					if strings.HasPrefix(name, "first") {
						u.setHandler(func(_ net.Conn, r *http.Request) bool {
							last := strings.Fields(r.Header.Get("Path"))[2]
							sent = append(sent, last)
							if time.Sleep(silent); silent == 0 {
								ferrynettest.ListenAt(h.upstreams[last].address) // accepts no connections, so that probes end late
							}
							return false
						})
					}
				}
				suspects := h.forwarder.cfg.Suspects
				for _, engine := range []ferryid.UpstreamName{"x", "y"} {
					suspects.Crashed("earlier", "llm", engine, []ferrysuspect.PartID{666})
				}
				time.Sleep(5 * time.Second)
				h.holder.Prove(1, time.Now())
				a := h.call("POST", "/gen/x", "trial", "Key: good", "Wait-Ms: 20000", "Prompt: 666")
				assert.Equal(t, a.status, http.StatusBadGateway, a.body)
				assert.Equal(t, a.header.Get("Outcome"), "Unknown")
				assert.Equal(t, len(sent), 1, "%q", sent)
				late := h.call("POST", "/gen/x", "later", "Key: good", "Wait-Ms: 20000", "Prompt: 666")
				assert.Equal(t, late.header.Get("Outcome"), "NotRun", late.body)
			})
		})
	}
}
