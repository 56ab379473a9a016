package ferrysuspect

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

// observed is a report with the time at which it was made.
type observed struct {
	report Report
	at     time.Duration
}

// observe returns random reports of a minute: crashes on a deadly part and crashes of other causes, all on prompts that
// share parts, and answers on the shared parts.
func observe(rng *rand.Rand) []observed {
	const deadly, shared = PartID(1), 4
	var out []observed
	for n := range 40 {
		o := observed{at: time.Duration(rng.IntN(60_000)) * time.Millisecond, report: Report{Service: service, Parts: []PartID{PartID(10 + rng.IntN(shared))}}}
		switch rng.IntN(5) {
		case 0:
			o.report.Crashed = ferryid.UpstreamName(fmt.Sprintf("engine-%d", rng.IntN(6)))
			o.report.Parts = append(o.report.Parts, deadly, PartID(100+n))
		case 1:
			o.report.Crashed = ferryid.UpstreamName(fmt.Sprintf("engine-%d", rng.IntN(6)))
			o.report.Parts = append(o.report.Parts, PartID(100+n))
		}
		out = append(out, o)
	}
	return out
}

// verdicts returns how long requests are blocked for each part that some report names, after a minute.
func (e *entry) verdicts(list []observed) map[PartID]time.Duration {
	out := map[PartID]time.Duration{}
	for _, o := range list {
		for _, p := range o.report.Parts {
			out[p] = e.block("", p)
		}
	}
	return out
}

// TestBlocksDoNotDependOnTheOrderOfReports gives the same reports to entries in different orders, some of them more than
// once, to one as they are made and to the others after a restart. All must come to the same blocks: a sound part must
// not be blocked because the answers on it arrived before the crashes that they clear it of.
func TestBlocksDoNotDependOnTheOrderOfReports(t *testing.T) {
	const length = time.Minute
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			list := observe(rng)
			stamp := func(e *entry, o observed) ferryevent.Timestamp {
				return ferryevent.Timestamp{Micros: e.clock.Now().Add(o.at).UnixMicro()}
			}
			receive := func(list []observed) *entry {
				e := newEntry()
				stamps := make([]ferryevent.Timestamp, len(list))
				for i, o := range list {
					stamps[i] = stamp(e, o)
				}
				e.clock.Advance(length)
				for i, o := range list {
					e.Receive(o.report, stamps[i], length-o.at, "other")
				}
				return e
			}
			want := receive(list).verdicts(list)
			for range 6 {
				other := append([]observed(nil), list...)
				rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
				other = append(other, other[:rng.IntN(len(other))]...)
				assert.DeepEqual(t, receive(other).verdicts(list), want)
			}
			running := newEntry()
			start := running.clock.Now()
			inOrder := slices.SortedFunc(slices.Values(list), func(a, b observed) int { return cmp.Compare(a.at, b.at) })
			for _, o := range inOrder {
				running.clock.Advance(start.Add(o.at).Sub(running.clock.Now()))
				running.Receive(o.report, ferryevent.Timestamp{Micros: start.Add(o.at).UnixMicro()}, 0, "other")
			}
			running.clock.Advance(start.Add(length).Sub(running.clock.Now()))
			assert.DeepEqual(t, running.verdicts(list), want)
		})
	}
}

// TestRestartedEntryKnowsTheAnswersBeforeTheCrashes gives an entry that starts the answer on a shared part before the
// crashes of others that it clears that part of, as the overlay does.
func TestRestartedEntryKnowsTheAnswersBeforeTheCrashes(t *testing.T) {
	e := newEntry()
	start := e.clock.Now()
	at := func(d time.Duration) ferryevent.Timestamp {
		return ferryevent.Timestamp{Micros: start.Add(d).UnixMicro()}
	}
	e.clock.Advance(20 * time.Second)
	e.Receive(Report{Service: service, Parts: []PartID{1}}, at(15*time.Second), 5*time.Second, "other")
	for n := range 4 {
		crashed := Report{Service: service, Crashed: ferryid.UpstreamName(fmt.Sprintf("engine-%d", n)), Parts: []PartID{1, PartID(100 + n)}}
		e.Receive(crashed, at(time.Duration(n)*3*time.Second), 20*time.Second-time.Duration(n)*3*time.Second, "other")
	}
	assert.Equal(t, e.block("a", 1, 7), time.Duration(0), "a part that was written on after all crashes is blocked")
}
