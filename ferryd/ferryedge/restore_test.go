package ferryedge

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryplatform"
)

// write creates or replaces an object, as its owner does whatever the version.
func (f *testFleet) write(kind, name, value string) {
	f.t.Helper()
	o, err := f.store.Get(f.t.Context(), kind, name)
	if !errors.As(err, new(*ferryplatform.NotFoundError)) {
		assert.NilError(f.t, err)
	}
	_, err = f.store.Put(f.t.Context(), kind, name, o.Version, []byte(value))
	assert.NilError(f.t, err)
}

func (f *testFleet) remove(kind, name string) {
	f.t.Helper()
	o, err := f.store.Get(f.t.Context(), kind, name)
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.store.Delete(f.t.Context(), kind, name, o.Version))
}

// upstreamNames returns the names of an edge's upstreams but for that of the harness; a dash marks those that are leaving.
func (e *testEdge) upstreamNames() string {
	var names []string
	for u := range e.upstreams.View().All() {
		switch {
		case u.Name == "u1":
		case u.Ready():
			names = append(names, u.Name)
		default:
			names = append(names, "-"+u.Name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// TestUpstreamsAfterARestore guards against entries that ignore, or take too seriously, what a platform tells that has come
// back from a copy some seconds old: revisions go back and are given out again. One entry reads from the platform, the
// other through it.
func TestUpstreamsAfterARestore(t *testing.T) {
	const known = 2 * time.Second // LeaveWithin
	for _, tt := range []struct {
		name string
		// before changes what the copy lacks, and after is what is written once the platform is back.
		before, after func(f *testFleet)
		// want is known within LeaveWithin after the restore, and later once nothing has changed for a while.
		want, later string
	}{
		{"state written after the restore", func(*testFleet) {}, func(f *testFleet) { f.write("upstreams", "a", "a:1 leaving") }, "-a b", "-a b"},
		{"removal after the restore", func(*testFleet) {}, func(f *testFleet) {
			time.Sleep(time.Second)
			f.remove("upstreams", "a")
		}, "b", "b"},
		{"revisions given out again at once", func(*testFleet) {}, func(f *testFleet) {
			f.write("upstreams", "a", "a:1 leaving")
			for i := range 40 {
				f.write("other", "x", fmt.Sprint(i))
			}
		}, "-a b", "-a b"},
		{"leaving before the restore, ready in the copy", func(f *testFleet) { f.write("upstreams", "a", "a:1 leaving") }, func(*testFleet) {}, "-a b", "-a b"},
		{"leaving before the restore, written again", func(f *testFleet) { f.write("upstreams", "a", "a:1 leaving") }, func(f *testFleet) { f.write("upstreams", "a", "a:1 leaving") }, "-a b", "-a b"},
		{"removed before the restore, in the copy until it expires", func(f *testFleet) { f.remove("upstreams", "a") }, func(f *testFleet) {
			time.AfterFunc(4*time.Second, func() { f.remove("upstreams", "a") })
		}, "b", "b"},
		{"removed before the restore, but running", func(f *testFleet) { f.remove("upstreams", "a") }, func(*testFleet) {}, "b", "a b"},
		{"removed before the restore, registered again later", func(f *testFleet) { f.remove("upstreams", "a") }, func(f *testFleet) {
			time.Sleep(time.Second)
			f.write("upstreams", "a", "a:1  ")
		}, "a b", "a b"},
		{"registered after the copy and written again", func(f *testFleet) { f.write("upstreams", "c", "c:1") }, func(f *testFleet) {
			time.AfterFunc(1500*time.Millisecond, func() { f.write("upstreams", "c", "c:1") })
		}, "a b c", "a b c"},
		{"registered after the copy and gone since", func(f *testFleet) { f.write("upstreams", "c", "c:1") }, func(*testFleet) {}, "a b c", "a b"},
		{"restarted after the copy and leaving", func(f *testFleet) { f.write("upstreams", "a", "a:1 restarted leaving") }, func(f *testFleet) {
			time.AfterFunc(4*time.Second, func() { f.remove("upstreams", "a") })
		}, "b", "b"},
		{"restarted after the copy and leaving, written again", func(f *testFleet) { f.write("upstreams", "a", "a:1 restarted leaving") }, func(f *testFleet) {
			f.write("upstreams", "a", "a:1 restarted leaving")
		}, "-a b", "-a b"},
		{"restarted after the copy and removed", func(f *testFleet) {
			f.write("upstreams", "a", "a:1 restarted")
			time.Sleep(500 * time.Millisecond)
			f.remove("upstreams", "a")
		}, func(f *testFleet) {
			time.AfterFunc(4*time.Second, func() { f.remove("upstreams", "a") })
		}, "b", "b"},
		{"restarted after the copy and written again", func(f *testFleet) { f.write("upstreams", "a", "a:1 restarted") }, func(f *testFleet) {
			time.AfterFunc(1500*time.Millisecond, func() { f.write("upstreams", "a", "a:1 restarted") })
		}, "a b", "a b"},
		{"a later process whose clock is behind", func(f *testFleet) { f.write("upstreams", "a", "a:1 restarted") }, func(*testFleet) {}, "a b", "a b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, goOn(time.Second))
				f.store.StateEpochs()
				f.write("upstreams", "a", "a:1")
				f.write("upstreams", "b", "b:1")
				edges := []*testEdge{f.start("e1", &slowLog{}), f.start("e2", &slowLog{})}
				time.Sleep(2 * time.Second)
				f.store.Snapshot()
				for i := range 10 {
					f.write("upstreams", "a", "a:1"+strings.Repeat(" ", i%2))
				}
				f.write("upstreams", "a", "a:1")
				tt.before(f)
				time.Sleep(3 * time.Second)
				assert.Assert(t, f.store.Restore())
				tt.after(f)
				time.Sleep(known)
				for _, e := range edges {
					assert.Equal(t, e.upstreamNames(), tt.want, "%s after %s", e.cfg.Name, known)
				}
				time.Sleep(8 * time.Second)
				for _, e := range edges {
					assert.Equal(t, e.upstreamNames(), tt.later, "%s at the end", e.cfg.Name)
				}
				restores := 0
				for _, e := range edges {
					restores += e.log.count("platform has come back from a copy")
				}
				assert.Assert(t, restores > 0)
			})
		})
	}
}

// TestConfigurationAfterARestore guards against entries that go back to the configuration of a copy, that take it for a
// proof of the one in force, and that miss the next one because its revision is lower than that of the last.
func TestConfigurationAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(time.Second))
		f.store.StateEpochs()
		edges := []*testEdge{f.start("e1", &slowLog{}), f.start("e2", &slowLog{})}
		f.write("config", "main", "2")
		time.Sleep(2 * time.Second)
		f.store.Snapshot()
		for i := range 20 {
			f.write("other", "x", fmt.Sprint(i))
		}
		f.write("config", "main", "5")
		time.Sleep(3 * time.Second)
		const idle = idleProofInterval + time.Second
		check := func(when string, want ferryconfig.Version, proved bool) {
			t.Helper()
			for _, e := range edges {
				assert.Equal(t, e.holder.Current().Version, want, "%s: %s", when, e.cfg.Name)
				age, _ := e.holder.Age(f.clock.Now())
				assert.Equal(t, age < idle, proved, "%s: age of the proof of %s is %s", when, e.cfg.Name, age)
			}
		}
		check("before", 5, true)
		assert.Assert(t, f.store.Restore())
		time.Sleep(8 * time.Second)
		check("while the copy is older", 5, false)
		f.write("config", "main", "5")
		time.Sleep(6 * time.Second)
		check("written again", 5, true)
		f.write("config", "main", "6")
		time.Sleep(2 * time.Second)
		check("next version", 6, true)
	})
}

// TestEntryThatStartsAfterARestore guards against an entry that starts while the platform holds an older configuration than
// the others have in force: it must get theirs, must not take the older one for proved, since keys that have been taken away
// are valid in it, and the others must not send all callers to it.
func TestEntryThatStartsAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(time.Second))
		f.store.StateEpochs()
		others := []*testEdge{f.start("e1", &slowLog{}), f.start("e2", &slowLog{})}
		f.write("config", "main", "2")
		time.Sleep(2 * time.Second)
		f.store.Snapshot()
		f.write("config", "main", "5")
		time.Sleep(3 * time.Second)
		assert.Assert(t, f.store.Restore())
		time.Sleep(idleProofInterval + time.Second)
		late := f.start("e3", &slowLog{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, late.holder.Current().Version, ferryconfig.Version(5), "not taken from another entry")
		_, proved := late.holder.Age(f.clock.Now())
		assert.Assert(t, !proved)
		assert.Assert(t, late.configStale.Load())
		for _, e := range others {
			assert.Assert(t, e.isConfigStale("e3"), "%s", e.cfg.Name)
			assert.Equal(t, e.holder.Current().Version, ferryconfig.Version(5))
		}
		time.Sleep(idleProofInterval + time.Second)
		_, proved = late.holder.Age(f.clock.Now())
		assert.Assert(t, !proved, "proved by the older one that the platform holds")
		f.write("config", "main", "5")
		time.Sleep(idleProofInterval + time.Second)
		for _, e := range append(others, late) {
			assert.Equal(t, e.holder.Current().Version, ferryconfig.Version(5))
			_, proved := e.holder.Age(f.clock.Now())
			assert.Assert(t, proved, "%s", e.cfg.Name)
			assert.Assert(t, !e.configStale.Load(), "%s", e.cfg.Name)
		}
	})
}
