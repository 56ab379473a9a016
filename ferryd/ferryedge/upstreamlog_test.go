package ferryedge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// lastStates returns what the last line of each upstream tells: its revision, negative for a removed one.
func lastStates(t *testing.T, log string) map[string]int {
	t.Helper()
	out := map[string]int{}
	for line := range strings.Lines(log) {
		var v struct {
			Upstream, Message string
			Revision          int
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &v))
		switch v.Message {
		case "upstream removed":
			out[v.Upstream] = -v.Revision
		case "upstream changed":
			out[v.Upstream] = v.Revision
		}
	}
	return out
}

// TestLastLineOfEachUpstreamIsItsState has answers of all sizes change and remove the upstreams of a large fleet.
// An answer with more than maxLoggedChanges would else leave upstreams with lines of states that are long past.
func TestLastLineOfEachUpstreamIsItsState(t *testing.T) {
	const fleet = 1600
	random := rand.New(rand.NewPCG(7, 17))
	var b bytes.Buffer
	e := &Edge{cfg: Config{Log: zerolog.New(&b), Clock: clockwork.NewFakeClock()}}
	state := map[string]int{}
	write := func() (lines int) {
		before := b.Len()
		e.writeUnloggedOnce()
		return strings.Count(b.String()[before:], "\n")
	}
	version := 0
	for range 60 {
		var changes []ferrydiscovery.Change
		for range random.IntN(2 * fleet) {
			version++
			name, removed := fmt.Sprint("e", random.IntN(fleet)), random.IntN(4) == 0
			changes = append(changes, ferrydiscovery.Change{Removed: removed, Upstream: ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: name}, Version: ferryplatform.Version(version)}})
			state[name] = version
			if removed {
				state[name] = -version
			}
		}
		upstreamWatcher{e}.logChanges(changes)
		assert.Assert(t, write() <= unloggedLines)
		assert.Assert(t, len(e.unlogged.order) <= fleet)
	}
	rounds := 0
	for write() > 0 {
		rounds++
	}
	assert.Assert(t, rounds <= fleet/unloggedLines, "%d rounds", rounds)
	assert.DeepEqual(t, lastStates(t, b.String()), state)
	assert.Equal(t, len(e.unlogged.changes)+len(e.unlogged.order), 0)
}

// TestUnloggedChangesAreBounded has more upstreams change than are kept.
func TestUnloggedChangesAreBounded(t *testing.T) {
	var b bytes.Buffer
	e := &Edge{cfg: Config{Log: zerolog.New(&b), Clock: clockwork.NewFakeClock()}}
	var changes []ferrydiscovery.Change
	for i := range maxLoggedChanges + maxUnlogged + 5 {
		changes = append(changes, ferrydiscovery.Change{Upstream: ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: fmt.Sprint("e", i)}}})
	}
	upstreamWatcher{e}.logChanges(changes)
	assert.Equal(t, len(e.unlogged.changes), maxUnlogged)
	e.writeUnloggedOnce()
	assert.Assert(t, strings.HasSuffix(b.String(), `{"level":"warn","Upstreams":5,"message":"changes of upstreams left out: too many without a line"}`+"\n"))
}

// TestListedUpstreamsAreLogged has a list add, change and remove upstreams, which no change tells of.
func TestListedUpstreamsAreLogged(t *testing.T) {
	var b bytes.Buffer
	clock := clockwork.NewFakeClock()
	e := &Edge{cfg: Config{Log: zerolog.New(&b), Clock: clock}, upstreams: ferrydiscovery.NewTable(clock)}
	list := func(version ferryplatform.Version, layers ferryid.Layer, names ...string) {
		var all []ferrydiscovery.Upstream
		for _, name := range names {
			all = append(all, ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: name, State: ferryplatform.StateLive, Layers: ferryid.LayerRange{To: layers}}, Version: version})
		}
		before := e.upstreams.View()
		e.upstreams.Replace(all, version)
		e.logDifferences(before, e.upstreams.View())
		e.writeUnloggedOnce()
	}
	list(1, 4, "a", "b", "c")
	list(2, 0, "a", "b")
	assert.DeepEqual(t, lastStates(t, b.String()), map[string]int{"a": 2, "b": 2, "c": -1})
	list(3, 0, "a", "b")
	assert.Equal(t, strings.Count(b.String(), "\n"), 6, "lines without a change")
}

// TestUpstreamKeptAfterOutageIsNotLoggedAsRemoved has the first answer after an outage remove two upstreams, of which a
// list shows one to be there. Its last line would else be that of its removal.
func TestUpstreamKeptAfterOutageIsNotLoggedAsRemoved(t *testing.T) {
	var b bytes.Buffer
	clock := clockwork.NewFakeClock()
	e := &Edge{cfg: Config{Log: zerolog.New(&b), Clock: clock}, upstreams: ferrydiscovery.NewTable(clock)}
	at := func(name string, v ferryplatform.Version) ferrydiscovery.Upstream {
		return ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: name, State: ferryplatform.StateLive}, Version: v}
	}
	apply := func(changes ...ferrydiscovery.Change) {
		e.upstreams.Apply(changes)
		upstreamWatcher{e}.logChanges(upstreamWatcher{e}.inEffect(changes))
	}
	apply(ferrydiscovery.Change{Upstream: at("a", 1)}, ferrydiscovery.Change{Upstream: at("b", 2)}, ferrydiscovery.Change{Upstream: at("c", 3)})
	apply(ferrydiscovery.Change{Upstream: at("c", 4), Removed: true})
	e.upstreams.MarkUnreachable()
	apply(ferrydiscovery.Change{Upstream: at("a", 5), Removed: true}, ferrydiscovery.Change{Upstream: at("b", 6), Removed: true})
	assert.DeepEqual(t, lastStates(t, b.String()), map[string]int{"a": 1, "b": 2, "c": -4})
	before := e.upstreams.View()
	e.upstreams.Replace([]ferrydiscovery.Upstream{at("a", 7), at("b", 2)}, 7)
	e.logDifferences(before, e.upstreams.View())
	clock.Advance(time.Minute)
	e.expireOnce()
	e.writeUnloggedOnce()
	assert.Assert(t, e.upstreams.View().Get("a") != nil && e.upstreams.View().Get("b") == nil)
	assert.DeepEqual(t, lastStates(t, b.String()), map[string]int{"a": 1, "b": -2, "c": -4})
}

// TestLateLinesAreWritten has an edge write the states of all upstreams that it lists at its start.
func TestLateLinesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(0))
		for i := range 100 {
			f.put("upstreams", fmt.Sprint("more", i), "127.0.0.1:1")
		}
		log := &slowLog{}
		f.start("entry-1", log)
		time.Sleep(3 * time.Second)
		for i := range 100 {
			assert.Equal(t, log.count("upstream changed", fmt.Sprintf(`"more%d"`, i)), 1)
		}
	})
}
