package ferryplatformtest_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func unknownOutcome(err error) bool { return errors.As(err, new(*ferryplatform.UnknownOutcomeError)) }

func TestLateEffectAfterReadNotFound(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := ferryplatformtest.New(clock)
	f.SetFaults(ferryplatformtest.Faults{LoseAnswers: 1, LateEffectMS: 500})
	_, err := f.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("late"))
	assert.Assert(t, unknownOutcome(err))
	_, err = f.Get(t.Context(), "k", "n")
	assert.ErrorType(t, err, &ferryplatform.NotFoundError{})
	clock.Advance(500 * time.Millisecond)
	o, err := f.Get(t.Context(), "k", "n")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "late")
}

func TestLateEffectKeepsItsCondition(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := ferryplatformtest.New(clock)
	f.SetFaults(ferryplatformtest.Faults{LoseAnswers: 1, LateEffectMS: 500})
	_, err := f.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("late"))
	assert.Assert(t, unknownOutcome(err))
	_, err = f.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("first"))
	assert.NilError(t, err)
	clock.Advance(time.Second)
	o, err := f.Get(t.Context(), "k", "n")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "first")
}

func TestWatchLags(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := ferryplatformtest.New(clock)
	f.SetFaults(ferryplatformtest.Faults{WatchLagMS: 1000})
	_, err := f.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("x"))
	assert.NilError(t, err)
	done := make(chan ferryplatform.Changes, 1)
	go func() {
		c, err := f.Watch(t.Context(), "k", 0, 10*time.Second)
		assert.Check(t, err)
		done <- c
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(time.Second)
	c := <-done
	assert.Equal(t, len(c.Objects), 1)
}

func TestWatchAfterRestoreReturnsOlderVersion(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := ferryplatformtest.New(clock)
	v, err := f.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("old"))
	assert.NilError(t, err)
	f.Snapshot()
	v, err = f.Put(t.Context(), "k", "n", v, []byte("new"))
	assert.NilError(t, err)
	assert.Assert(t, f.Restore())
	c, err := f.Watch(t.Context(), "k", v, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, c.Version < v)
	assert.Equal(t, string(c.Objects[0].Value), "old")
}

func TestInstanceListLags(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := ferryplatformtest.New(clock)
	f.SetInstance(ferryplatform.Instance{Name: "a"})
	clock.Advance(time.Minute)
	f.SetFaults(ferryplatformtest.Faults{ListLagMS: 1000})
	f.RemoveInstance("a")
	rows, err := f.Instances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	clock.Advance(time.Second)
	rows, err = f.Instances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

func TestWatchLagReturnsOlderVersionsFirst(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := ferryplatformtest.New(clock)
	f.SetFaults(ferryplatformtest.Faults{WatchLagMS: 1000})
	v := ferryplatform.NoVersion
	for _, text := range []string{"a", "b", "c"} {
		var err error
		v, err = f.Put(t.Context(), "k", "n", v, []byte(text))
		assert.NilError(t, err)
		clock.Advance(600 * time.Millisecond)
	}
	c, err := f.Watch(t.Context(), "k", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(c.Objects[0].Value), "b")
}

func TestOldWatchesAndOldReads(t *testing.T) {
	f := ferryplatformtest.New(clockwork.NewFakeClockAt(start))
	v, err := f.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("old"))
	assert.NilError(t, err)
	f.Snapshot()
	saved := v
	v, err = f.Put(t.Context(), "k", "n", v, []byte("new"))
	assert.NilError(t, err)
	f.SetFaults(ferryplatformtest.Faults{OldWatches: 1})
	c, err := f.Watch(t.Context(), "k", v, 0)
	assert.NilError(t, err)
	assert.Equal(t, c.Version, v)
	assert.Equal(t, string(c.Objects[0].Value), "old")
	c, err = f.Watch(t.Context(), "k", v, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Objects), 0)
	f.SetFaults(ferryplatformtest.Faults{OldReads: true})
	c, err = f.List(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, c.Version, saved)
	_, err = f.Put(t.Context(), "k", "n", v, []byte("newer"))
	assert.NilError(t, err)
}
