package ferrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrysubset"
)

const subsetParts = 4

// subsetNode is a node without an overlay in a fleet of 100 entries.
type subsetNode struct {
	node  *Node
	clock *clockwork.FakeClock
	sv    *service
}

// engineText returns a document with the given number of engines, whose addresses differ only in the host.
func engineText(engines int, port string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "Service = \"herd-llm\"\nTeam = \"herd\"\nKind = \"Model\"\n[Model]\nName = \"m\"\nVersion = \"1\"\nLayers = %d\n", subsetParts)
	for i := range engines {
		part := i % subsetParts
		fmt.Fprintf(&s, "[[Upstreams]]\nName = \"engine-%d\"\nAddress = \"127.0.0.%d:%s\"\nFailureDomain = \"domain-%d\"\nLayers = { From = %d, To = %d }\nSlots = 8\n",
			i, i+1, port, i/subsetParts%3, part, part+1)
	}
	return s.String()
}

func newSubsetNode(t *testing.T, text string) *subsetNode {
	t.Helper()
	clock := clockwork.NewFakeClock()
	events := ferryevent.NewLog(clock, "test", 10)
	engines := ferryengine.New(ferryengine.ClientConfig{Clock: clock})
	b := &subsetNode{clock: clock, node: &Node{
		clock: clock, log: zerolog.Nop(), engines: engines, services: newServices(clock, engines, events), marks: ferrydrain.NewMarks(clock),
		sharedLoads: ferrypeer.NewLatest[engineLoad](ferrypeer.LatestConfig{Size: maxLoads, Clock: clock, Events: events}),
		subsetLoads: ferrypeer.NewLatest[engineLoad](ferrypeer.LatestConfig{Size: maxLoads, Clock: clock, Events: events}),
	}}
	var members []ferryid.EntryName
	for i := range 100 {
		members = append(members, ferryid.EntryName(fmt.Sprintf("entry-%03d", i)))
	}
	b.node.services.self = members[7]
	b.node.services.setMembers(members)
	d, err := ferryservice.Decode("test", []byte(text))
	assert.NilError(t, err)
	b.node.services.setDocument(t.Context(), &d)
	b.sv, _ = b.node.services.get("herd-llm")
	return b
}

func (b *subsetNode) candidates() ferrypipeline.Candidates {
	return b.sv.model.Load().cfg.Candidates
}

func (b *subsetNode) pick(t *testing.T, exclude ...ferryid.UpstreamName) ferrypipeline.Plan {
	t.Helper()
	plan, err := b.sv.model.Load().runner.Picker.Pick(&ferrypipeline.Job{MaxTokens: 10}, exclude)
	assert.NilError(t, err)
	return plan
}

func names(cs ferrypipeline.Candidates) []ferryid.UpstreamName {
	var out []ferryid.UpstreamName
	for _, c := range cs {
		out = append(out, c.Name)
	}
	return out
}

func withFirstLayer(cs ferrypipeline.Candidates, part ferryid.Layer) ferrypipeline.Candidates {
	var out ferrypipeline.Candidates
	for _, c := range cs {
		if c.Layers.From == part {
			out = append(out, c)
		}
	}
	return out
}

func TestSmallFleetUsesAllEngines(t *testing.T) {
	b := newSubsetNode(t, engineText(24, "1"))
	assert.Equal(t, len(b.candidates()), 24)
	assert.Equal(t, len(b.sv.subset.ownReads()), 0, "entries must share the reads of a small fleet")
}

// TestSlotsAreSharedWithinSubset checks that only the entries that use an engine share its slots.
func TestSlotsAreSharedWithinSubset(t *testing.T) {
	const engines, slots, entries = 200, 8, 100
	b := newSubsetNode(t, engineText(engines, "1"))
	sum := 0
	for _, l := range b.sv.model.Load().pool.Loads() {
		assert.Assert(t, l.Slots > 0 && l.Slots < slots, "%d slots", l.Slots)
		sum += l.Slots
	}
	assert.Assert(t, sum >= engines*slots/entries && sum <= 2*engines*slots/entries, "%d slots in the subset", sum)
}

// TestSubsetFallsBackToAllEngines checks that an entry uses all engines for widenDuration if no engine of its subset
// can take a job, and then returns to its subset.
func TestSubsetFallsBackToAllEngines(t *testing.T) {
	b := newSubsetNode(t, engineText(200, "1"))
	before := b.candidates()
	assert.Assert(t, len(before) >= 12 && len(before) < 60, "%d engines", len(before))
	mine := names(before)
	plan := b.pick(t)
	assert.Equal(t, len(plan.Stages), subsetParts)

	first := names(withFirstLayer(before, 0))
	plan = b.pick(t, first...)
	for _, name := range first {
		assert.Assert(t, plan.Stages[0].Name != name)
	}
	assert.Equal(t, len(b.candidates()), 200)
	b.clock.Advance(widenDuration)
	b.node.services.refreshModels()
	assert.DeepEqual(t, names(b.candidates()), mine)
}

// TestSuspectedEnginesAreAvoided checks that engines on which other jobs failed are not used while others are left.
func TestSuspectedEnginesAreAvoided(t *testing.T) {
	b := newSubsetNode(t, engineText(200, "1"))
	first := names(withFirstLayer(b.candidates(), 0))
	var plan ferrypipeline.Plan
	for _, name := range first {
		plan = b.pick(t, name)
	}
	for _, name := range first {
		assert.Assert(t, plan.Stages[0].Name != name, "the suspected engine %s was picked", name)
	}
}

func TestLeavingAndUnreachableEnginesAreReplaced(t *testing.T) {
	for _, tt := range []struct {
		name   string
		remove func(b *subsetNode, engine ferryid.UpstreamName)
	}{
		{"leaving", func(b *subsetNode, engine ferryid.UpstreamName) {
			b.node.marks.Mark("herd-llm", engine, "", ferrydrain.SourceOperator)
			b.node.services.setMarks(b.node.marks)
		}},
		{"unreachable", func(b *subsetNode, engine ferryid.UpstreamName) {
			for range unreachableAfter {
				b.node.services.recordRead(upstreamKey("herd-llm", engine), false)
			}
			b.node.services.refreshModels()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newSubsetNode(t, engineText(200, "1"))
			first := names(withFirstLayer(b.candidates(), 0))
			gone := map[ferryid.UpstreamName]bool{}
			for _, name := range first {
				tt.remove(b, name)
				gone[name] = true
			}
			left := 0
			for _, c := range withFirstLayer(b.candidates(), 0) {
				if !gone[c.Name] {
					left++
				}
			}
			assert.Assert(t, left >= 3, "%d engines have the first layer", left)
		})
	}
}

func TestSubsetKeepsFixedPipelinesComplete(t *testing.T) {
	text := engineText(200, "1")
	for i := range 50 {
		text += fmt.Sprintf("[[Pipelines]]\nName = \"p-%d\"\nStages = [\"engine-%d\", \"engine-%d\", \"engine-%d\", \"engine-%d\"]\n", i, 4*i, 4*i+1, 4*i+2, 4*i+3)
	}
	b := newSubsetNode(t, text)
	n := len(b.candidates())
	assert.Assert(t, n >= 12 && n < 100 && n%subsetParts == 0, "%d engines", n)
	assert.Equal(t, len(b.pick(t).Stages), subsetParts)
}

// TestEntryReadsItsSubset checks that an entry reads the engines of its subset in rotation at the configured rates,
// busy and idle, and applies the reports to its pool at once.
func TestEntryReadsItsSubset(t *testing.T) {
	listener, err := net.Listen("tcp", ":0")
	assert.NilError(t, err)
	var calls atomic.Int64
	var b *subsetNode
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_ = json.NewEncoder(w).Encode(ferryengine.Load{Name: "e", State: ferryengine.StateLive, OutstandingTokens: 1000, At: b.clock.Now(), Incarnation: "first"})
	}))
	assert.NilError(t, s.Listener.Close())
	s.Listener = listener
	_, port, err := net.SplitHostPort(listener.Addr().String())
	assert.NilError(t, err)
	b = newSubsetNode(t, engineText(200, port))
	s.Start()
	t.Cleanup(s.Close)
	read := func(want int) {
		t.Helper()
		b.node.readSubset(context.Background())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			known := 0
			for _, l := range b.sv.model.Load().pool.Loads() {
				if l.Outstanding == 1000 {
					known++
				}
			}
			if known < want {
				return poll.Continue("%d of %d engines have a load report", known, want)
			}
			return poll.Success()
		}, poll.WithTimeout(testDeadline))
	}
	n, ownReadsPerSecond, idle := len(b.candidates()), ferrysubset.Default.ReadsPerSecond, ferrysubset.Default.IdleReadsPerSecond
	read(idle)
	assert.Equal(t, calls.Load(), int64(idle))
	_, err = b.sv.admission.Acquire(t.Context(), ferryqueue.Item{ID: "r", Customer: "c", Predicted: 1})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.clock.Advance(100 * time.Millisecond)
		if calls, _ := b.node.callsAndSlots(); calls == 0 {
			return poll.Continue("the call is not in the queue's snapshot yet")
		}
		return poll.Success()
	}, poll.WithTimeout(testDeadline))
	read(idle + ownReadsPerSecond)
	assert.Equal(t, calls.Load(), int64(idle+ownReadsPerSecond))
	for want := idle + ownReadsPerSecond; want < n; want += ownReadsPerSecond {
		read(min(n, want+ownReadsPerSecond))
	}
	assert.Equal(t, len(b.node.sharedLoads.All()), 0, "reports of the subset must not be replicated")
	b.node.applyLoads()
	assert.Equal(t, b.node.services.incarnations["herd-llm/"+string(b.candidates()[0].Name)], ferryid.Incarnation("first"))
}
