package ferrysuspect

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

const service ferryid.ServiceName = "llm"

// entry is one entry's view in a test.
type entry struct {
	*Suspects
	clock     *clockwork.FakeClock
	mu        sync.Mutex
	published []Report
	crashes   int
}

// reports returns what was published so far.
func (e *entry) reports() []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.published)
}

func (e *entry) publish(r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.published = append(e.published, r)
}

func newEntry() *entry {
	e := &entry{clock: clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))}
	e.Suspects = New(Config{
		Clock: e.clock, Publish: e.publish, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	return e
}

// crash records the crash of an engine that no test crashes twice.
func (e *entry) crash(parts ...PartID) {
	e.crashes++
	e.Crashed("r", service, ferryid.UpstreamName(fmt.Sprintf("engine-%d", e.crashes)), parts)
}

func (e *entry) written(parts ...PartID) {
	e.clock.Advance(time.Millisecond)
	e.Written(service, parts)
}

// block returns for how long a request is blocked, and 0 if it is admitted.
func (e *entry) block(id ferryid.RequestID, parts ...PartID) time.Duration {
	err := e.Admit(id, service, parts)
	var blocked *BlockedError
	if errors.As(err, &blocked) {
		return blocked.RetryAfter
	}
	return 0
}

func TestPartIsBlockedFromTheSecondCrashOn(t *testing.T) {
	e := newEntry()
	assert.Equal(t, e.block("a", 1, 2), time.Duration(0))
	e.crash(1, 2)
	assert.Equal(t, e.block("a", 1, 2), time.Duration(0), "blocked after one crash, which may have any cause")
	assert.Assert(t, e.Suspected(service, []PartID{2}) && !e.Suspected(service, []PartID{3}) && !e.Suspected("other", []PartID{2}))
	e.written(1)
	e.crash(1, 2)
	assert.Equal(t, e.block("a", 1, 2), firstBlock)
	assert.Equal(t, e.block("b", 1, 3), time.Duration(0), "sound request with another part of the deadly one")
	assert.NilError(t, e.Admit("c", "other", []PartID{2}))
}

func TestAnswerReleasesAPart(t *testing.T) {
	e := newEntry()
	e.crash(1)
	e.crash(1)
	assert.Assert(t, e.block("a", 1) > 0)
	e.written(1)
	assert.Equal(t, e.block("a", 1), time.Duration(0))
	e.clock.Advance(time.Millisecond)
	e.crash(1)
	assert.Equal(t, e.block("a", 1), time.Duration(0), "crashes before the answer count")
}

func TestCrashesAreExplainedByThePartWithTheMost(t *testing.T) {
	e := newEntry()
	e.crash(1, 7)
	e.crash(2, 7)
	e.Crashed("r", service, "engine-2", []PartID{1})
	assert.Assert(t, e.block("a", 1) > 0, "as likely as the other one")
	e.crash(7)
	assert.Equal(t, e.block("a", 1), time.Duration(0))
	assert.Equal(t, e.block("b", 2), time.Duration(0))
	assert.Equal(t, e.block("c", 7), blockGrowth*firstBlock)
}

func TestRequestThatTellsRivalsApartIsAdmittedEarly(t *testing.T) {
	e := newEntry()
	for range 9 {
		e.crash(1, 2, 7)
	}
	assert.Equal(t, e.block("a", 1, 2), rivalBlock)
	assert.Equal(t, e.block("b", 1, 2, 7), maxBlock)
	e.clock.Advance(rivalBlock)
	assert.Equal(t, e.block("c", 1, 2), time.Duration(0))
	assert.Equal(t, e.block("d", 1, 2), trialTimeout)
	e.written(1, 2)
	assert.Equal(t, e.block("d", 1, 2), time.Duration(0))
	assert.Assert(t, e.block("e", 7) > time.Minute, "the other ones were released, so no request can tell this one apart")
}

func TestBlockedPartIsTriedByOneRequestAtATime(t *testing.T) {
	e := newEntry()
	e.crash(1)
	e.crash(1)
	e.clock.Advance(firstBlock)
	assert.Equal(t, e.block("a", 1), time.Duration(0))
	assert.Equal(t, e.block("a", 1), time.Duration(0), "the same request again")
	assert.Equal(t, e.block("b", 1), trialTimeout)
	e.crash(1)
	assert.Equal(t, e.block("a", 1), blockGrowth*firstBlock)
	e.clock.Advance(blockGrowth * firstBlock)
	assert.Equal(t, e.block("c", 1), time.Duration(0))
	e.clock.Advance(trialTimeout)
	assert.Equal(t, e.block("d", 1), time.Duration(0), "the trial had no outcome")
	e.written(1)
	assert.Equal(t, e.block("e", 1), time.Duration(0))
}

func TestProvenPartIsBlockedAfterMoreCrashes(t *testing.T) {
	e := newEntry()
	e.written(1)
	e.crash(1)
	e.crash(1)
	assert.Equal(t, e.block("a", 1), time.Duration(0), "blocked like a part that nothing speaks for")
	e.clock.Advance(Retention + time.Second)
	e.written(1)
	for n := range 2 {
		e.crash(1, PartID(100+n))
		assert.Equal(t, e.block("a", 1), time.Duration(0), "after %d crashes, each with a part that nothing speaks for", n+1)
	}
	e.crash(1, 103)
	e.crash(1, 104)
	assert.Assert(t, e.block("a", 1) > 0, "a sound part that has turned deadly")
	e.clock.Advance(Retention)
	e.written(2)
	e.written(2)
	e.crash(1)
	e.crash(1)
	assert.Assert(t, e.block("b", 1) > 0, "proven long ago")
}

func TestTrialOfARequestThatIsNotSentIsWithdrawn(t *testing.T) {
	e := newEntry()
	e.crash(1)
	e.crash(1)
	e.clock.Advance(firstBlock)
	assert.Equal(t, e.block("a", 1), time.Duration(0))
	e.Withdraw("b", service, []PartID{1})
	assert.Equal(t, e.block("b", 1), trialTimeout)
	e.Withdraw("a", service, []PartID{1})
	assert.Equal(t, e.block("", 1), time.Duration(0))
	assert.Equal(t, e.block("", 1), trialTimeout, "requests without an id are different ones")
}

func TestBlocksAreBounded(t *testing.T) {
	e := newEntry()
	for range 3 * maxCrashes {
		e.crash(1)
	}
	assert.Equal(t, e.block("a", 1), maxBlock)
	assert.Equal(t, len(e.Suspects.crashes), maxCrashes)
	e.clock.Advance(Retention + time.Second)
	e.crash(2)
	assert.Equal(t, len(e.Suspects.crashes), 1)
	assert.Assert(t, !e.Suspected(service, []PartID{1}))
}

func TestFirstCrashIsReportedWithoutPartsWrittenOnMeanwhile(t *testing.T) {
	e := newEntry()
	e.crash(1, 2)
	e.Crashed("r", service, "engine-1", []PartID{1, 3})
	e.written(1)
	assert.DeepEqual(t, e.reports(), []Report{{Service: service, Parts: []PartID{1}}})
	e.clock.Advance(reportDelay)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(e.reports()) == 2 {
			return poll.Success()
		}
		return poll.Continue("%d reports", len(e.reports()))
	})
	assert.DeepEqual(t, e.reports()[1], Report{Service: service, Crashed: "engine-1", Parts: []PartID{2, 3}})
	e.crash(2)
	assert.DeepEqual(t, e.reports()[2], Report{Service: service, Crashed: "engine-2", Parts: []PartID{2}})
}

func TestReportsAreBounded(t *testing.T) {
	e := newEntry()
	for range 5 * maxReportsPerSecond {
		e.crash(1)
	}
	assert.Equal(t, len(e.reports()), maxReportsPerSecond)
	e.clock.Advance(time.Second)
	e.crash(1)
	assert.Assert(t, len(e.reports()) > maxReportsPerSecond)
}

func TestReportsOfOtherEntries(t *testing.T) {
	stamp := func(ms int64) ferryevent.Timestamp { return ferryevent.Timestamp{Micros: 1_000_000_000_000 + 1000*ms} }
	crash := func(engine ferryid.UpstreamName, parts ...PartID) Report {
		return Report{Service: service, Crashed: engine, Parts: parts}
	}
	answer := Report{Service: service, Parts: []PartID{1}}
	type received struct {
		r  Report
		ms int64
	}
	for _, tt := range []struct {
		name    string
		reports []received
		want    time.Duration
	}{
		{"two crashes", []received{{crash("a", 1), 0}, {crash("b", 1), 10}}, firstBlock},
		{"one crash seen by two", []received{{crash("a", 1), 0}, {crash("a", 1), 10}}, 0},
		{"one engine crashes twice", []received{{crash("a", 1), 0}, {crash("a", 1), 4000}}, firstBlock},
		{"answer between", []received{{crash("a", 1), 0}, {answer, 5}, {crash("b", 1), 10}}, 0},
		{"answer after", []received{{crash("a", 1), 0}, {crash("b", 1), 10}, {answer, 15}}, 0},
		{"late answer from before", []received{{crash("a", 1), 10}, {crash("b", 1), 20}, {answer, 5}}, firstBlock},
		{"older answer after a newer one", []received{{crash("a", 1), 10}, {crash("b", 1), 20}, {answer, 30}, {answer, 5}}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry()
			for _, in := range tt.reports {
				e.Receive(in.r, stamp(in.ms), 0, "other")
			}
			assert.Equal(t, e.block("x", 1), tt.want)
		})
	}
	e := newEntry()
	e.Receive(crash("a", 1), stamp(0), 2*time.Second, "other")
	e.Receive(crash("b", 1), stamp(1), time.Second, "other")
	assert.Equal(t, e.block("x", 1), firstBlock-time.Second, "an entry that starts counts from the crash")
}

func TestReportCheck(t *testing.T) {
	assert.NilError(t, Report{Service: service, Parts: []PartID{1}}.Check())
	assert.ErrorContains(t, Report{Service: service}.Check(), "report of 0 prompt parts")
	assert.ErrorContains(t, Report{Service: service, Parts: make([]PartID, maxParts+1)}.Check(), "report of 257 prompt parts")
	assert.ErrorContains(t, Report{Parts: []PartID{1}}.Check(), "name of 0 bytes")
	long := ferryid.UpstreamName(make([]byte, maxNameBytes+1))
	assert.ErrorContains(t, Report{Service: service, Crashed: long, Parts: []PartID{1}}.Check(), "name of 257 bytes")
}

// parts returns n parts from the given one on.
func parts(from PartID, n int) []PartID {
	out := make([]PartID, n)
	for i := range out {
		out[i] = from + PartID(i)
	}
	return out
}

// TestPartBehindManyOthersIsBlocked has prompts begin with more parts than are kept of a crash, all of which are sound, and
// end with one that crashes engines.
func TestPartBehindManyOthersIsBlocked(t *testing.T) {
	for _, n := range []int{1, 31, 32, 400, maxCrashedParts, 4 * maxCrashedParts} {
		e, shared := newEntry(), parts(1000, n)
		e.written(shared...)
		for range minCrashes {
			e.clock.Advance(time.Millisecond)
			e.crash(append(shared, 1)...)
		}
		e.written(shared...)
		assert.Assert(t, e.block("a", append(shared, 1)...) > 0, "%d parts before it", n)
		assert.Equal(t, e.block("b", append(shared, 2)...), time.Duration(0), "%d parts before it", n)
	}
}

// TestMadeUpPartsPushOutNothing has prompts of very many new parts wait at the engines that crash on another part.
func TestMadeUpPartsPushOutNothing(t *testing.T) {
	const deadly = math.MaxUint64
	for _, before := range []bool{true, false} {
		e := newEntry()
		for n := range minCrashes {
			engine := ferryid.UpstreamName(fmt.Sprint("engine-", n))
			made := func() {
				for m := range 8 {
					e.clock.Advance(time.Millisecond)
					e.Crashed("r", service, engine, parts(PartID(1_000_000*(1+8*n+m)), 8*maxCrashedParts))
				}
			}
			if before {
				made()
			}
			e.clock.Advance(time.Millisecond)
			e.Crashed("r", service, engine, []PartID{deadly})
			if !before {
				made()
			}
		}
		assert.Assert(t, e.block("a", deadly) > 0)
		assert.Equal(t, e.block("b", 2), time.Duration(0))
	}
}

// TestAnswerReportsThePartsWithTheMostCrashes has an answer clear more parts than it reports.
func TestAnswerReportsThePartsWithTheMostCrashes(t *testing.T) {
	e, shared := newEntry(), parts(1000, 4*maxAnswered)
	e.crash(shared...)
	e.crash(append(shared, 1, 2)...)
	e.crash(1, 2)
	e.crash(1, 2)
	e.written(append(shared, 1, 2)...)
	last := e.reports()[len(e.reports())-1]
	assert.Equal(t, len(last.Parts), maxAnswered)
	assert.DeepEqual(t, last.Parts[:2], []PartID{1, 2})
	assert.Assert(t, !e.Suspected(service, append(shared, 1, 2)), "all are cleared here")
}
