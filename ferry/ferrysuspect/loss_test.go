package ferrysuspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

// untilEnded is how long after its loss the process of an engine is known to have ended.
const untilEnded = 3 * time.Second

// lose has a request lose an engine that got it 300 ms before.
func (e *entry) lose(engine ferryid.UpstreamName, parts ...PartID) {
	e.Lost("r", service, engine, parts, 300*time.Millisecond)
}

// receive has the entry receive a report that was made just now.
func (e *entry) receive(r Report) {
	e.Receive(r, ferryevent.Timestamp{Micros: e.clock.Now().UnixMicro()}, 0, "other")
}

// TestLostEngineIsACrashOnceItHasEnded guards against parts on which engines fall silent that are never suspected.
func TestLostEngineIsACrashOnceItHasEnded(t *testing.T) {
	e := newEntry()
	for n := range 2 {
		e.lose(ferryid.UpstreamName(fmt.Sprint("engine-", n)), 1, PartID(10+n))
		e.clock.Advance(untilEnded)
		assert.Assert(t, !e.Suspected(service, []PartID{PartID(10 + n)}), "the engine may be cut off")
		e.Ended(service, ferryid.UpstreamName(fmt.Sprint("engine-", n)))
		assert.Assert(t, e.Suspected(service, []PartID{PartID(10 + n)}))
	}
	assert.Equal(t, e.block("a", 1, 2), firstBlock-untilEnded)
	assert.Equal(t, e.block("a", 10), time.Duration(0))
	assert.DeepEqual(t, e.reports(), []Report{
		{Service: service, Parts: []PartID{1, 10}, Crashed: "engine-0", Age: untilEnded, Sent: untilEnded + 300*time.Millisecond},
		{Service: service, Parts: []PartID{1, 11}, Crashed: "engine-1", Age: untilEnded, Sent: untilEnded + 300*time.Millisecond},
	})
	other := newEntry()
	other.clock.Advance(2 * untilEnded)
	for _, r := range e.reports() {
		assert.NilError(t, r.Check())
		other.receive(r)
	}
	assert.Equal(t, other.block("a", 1, 2), firstBlock-untilEnded, "at another entry")
}

// TestEngineThatIsNotKnownToHaveEndedIsNoCrash guards against parts that are blocked since engines are cut off.
func TestEngineThatIsNotKnownToHaveEndedIsNoCrash(t *testing.T) {
	e := newEntry()
	for n := range 4 {
		e.lose(ferryid.UpstreamName(fmt.Sprint("engine-", n)), 1)
	}
	e.Ended(service, "engine-4")
	e.Ended("other", "engine-0")
	e.clock.Advance(LossRetention + time.Millisecond)
	for n := range 4 {
		e.Ended(service, ferryid.UpstreamName(fmt.Sprint("engine-", n)))
	}
	assert.Assert(t, !e.Suspected(service, []PartID{1}))
	assert.Equal(t, len(e.reports()), 0)
}

// TestRequestSentToADeadEngineDoesNotSpeakAgainstItsParts has sound requests lose engines that had crashed before, here and
// at another entry, which see that later.
func TestRequestSentToADeadEngineDoesNotSpeakAgainstItsParts(t *testing.T) {
	const deadly, sound = 1, 2
	e, other := newEntry(), newEntry()
	for n := range 3 {
		engine := ferryid.UpstreamName(fmt.Sprint("engine-", n))
		e.lose(engine, deadly)
		for _, x := range []*entry{e, other} {
			x.clock.Advance(time.Second)
			x.lose(engine, sound)
			x.clock.Advance(time.Second)
		}
	}
	for n := range 3 {
		e.Ended(service, ferryid.UpstreamName(fmt.Sprint("engine-", n)))
		other.Ended(service, ferryid.UpstreamName(fmt.Sprint("engine-", n)))
	}
	fromE, fromOther := e.reports(), other.reports()
	for _, r := range fromOther {
		e.receive(r)
	}
	for _, r := range fromE {
		other.receive(r)
	}
	for _, x := range []*entry{e, other} {
		assert.Assert(t, x.block("a", deadly) > 0)
		assert.Assert(t, !x.Suspected(service, []PartID{sound}))
		assert.Equal(t, len(x.deriveCrashes()), 3, "the later losses are of the same crashes")
	}
}

// TestAnswerAfterALossClearsItsParts has answers on a shared part come between the losses and the ends of engines, at the
// entry that lost them and at another one, which had no reason to report them then.
func TestAnswerAfterALossClearsItsParts(t *testing.T) {
	const deadly, shared = 1, 2
	e, other, third := newEntry(), newEntry(), newEntry()
	entries := []*entry{e, other, third}
	for n := range 4 {
		e.lose(ferryid.UpstreamName(fmt.Sprint("engine-", n)), deadly, shared)
	}
	for _, x := range entries {
		x.clock.Advance(time.Second)
	}
	other.Written(service, []PartID{shared})
	for _, x := range entries {
		x.clock.Advance(time.Second)
	}
	for n := range 4 {
		e.Ended(service, ferryid.UpstreamName(fmt.Sprint("engine-", n)))
	}
	crashes := e.reports()
	assert.Equal(t, len(crashes), 4)
	for _, r := range crashes {
		other.receive(r)
		third.receive(r)
	}
	answers := other.reports()
	assert.DeepEqual(t, answers, []Report{{Service: service, Parts: []PartID{shared}, Age: time.Second}})
	e.receive(answers[0])
	third.receive(answers[0])
	for _, x := range entries {
		assert.Assert(t, x.block("a", deadly) > 0)
		assert.Assert(t, !x.Suspected(service, []PartID{shared}))
	}
	e.lose("engine-5", deadly, shared)
	e.Written(service, []PartID{shared})
	e.Ended(service, "engine-5")
	assert.DeepEqual(t, e.reports()[4].Parts, []PartID{deadly})
}

// TestPartIsNotTriedAgainWhileItsTrialHasLostAnEngine ends the block of a part and has the engine of the trial fall silent.
func TestPartIsNotTriedAgainWhileItsTrialHasLostAnEngine(t *testing.T) {
	e := newEntry()
	e.crash(1)
	e.crash(1)
	e.clock.Advance(firstBlock)
	assert.Equal(t, e.block("trial", 1), time.Duration(0))
	e.Lost("trial", service, "engine", []PartID{1}, 100*time.Millisecond)
	assert.Equal(t, e.block("trial", 1), lossTimeout, "the trial itself is not moved to another engine")
	e.clock.Advance(trialTimeout + time.Millisecond)
	assert.Assert(t, e.block("a", 1) > 0, "the engine is not known to have ended yet")
	e.Ended(service, "engine")
	assert.Assert(t, e.block("a", 1) > firstBlock)
}

// TestLossesAreBounded loses more engines, and each by more requests, than are kept.
func TestLossesAreBounded(t *testing.T) {
	e := newEntry()
	for n := range 2 * maxLosses {
		for m := range 2 * maxLostRuns {
			e.Lost("r", service, ferryid.UpstreamName(fmt.Sprint("engine-", n)), []PartID{PartID(m)}, time.Duration(m)*time.Millisecond)
		}
	}
	assert.Equal(t, len(e.losses), maxLosses)
	assert.Equal(t, e.losses[0].engine, ferryid.UpstreamName(fmt.Sprint("engine-", maxLosses)))
	assert.Equal(t, len(e.losses[0].runs), maxLostRuns)
	assert.Equal(t, e.losses[0].runs[0].parts[0], PartID(2*maxLostRuns-1), "the run that was sent first")
}

func TestReportsOfLostEnginesAreChecked(t *testing.T) {
	for _, r := range []Report{
		{Service: service, Parts: []PartID{1}, Age: -1},
		{Service: service, Parts: []PartID{1}, Age: Retention + 1},
		{Service: service, Parts: []PartID{1}, Crashed: "engine", Sent: -1},
		{Service: service, Parts: []PartID{1}, Crashed: "engine", Sent: maxSent + 1},
	} {
		assert.ErrorContains(t, r.Check(), "before")
	}
}

// TestOutageBlocksNoPartThatWasAnsweredBefore has requests that share a part lose many engines, after which the service
// answers nothing at this entry. It guards against outages that block the parts which most prompts share.
func TestOutageBlocksNoPartThatWasAnsweredBefore(t *testing.T) {
	const shared = 1
	for _, tt := range []struct {
		name string
		// before is what was answered before the losses, and since what was answered since.
		before, since []PartID
		want          bool
	}{
		{"outage", []PartID{shared}, nil, false},
		{"never answered", []PartID{2}, nil, true},
		{"other requests are served", []PartID{shared}, []PartID{2}, true},
	} {
		e := newEntry()
		e.Written(service, tt.before)
		e.clock.Advance(provenTime - time.Second)
		for n := range 10 {
			e.lose(ferryid.UpstreamName(fmt.Sprint("engine-", n)), shared, PartID(100+n))
		}
		e.clock.Advance(untilEnded)
		e.Written(service, tt.since)
		for n := range 10 {
			e.Ended(service, ferryid.UpstreamName(fmt.Sprint("engine-", n)))
		}
		assert.Equal(t, e.block("a", shared) > 0, tt.want, tt.name)
	}
}
