package ferrypeer_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypeertest"
)

const convergeWithin = 2 * time.Minute

type number uint32

func (n number) Check() error {
	if n > 1<<30 {
		return fmt.Errorf("%d is too large", n)
	}
	return nil
}

// fakeDocument is a pull-only topic that holds a generation; the higher generation wins.
type fakeDocument struct{ n uint64 }

func (g *fakeDocument) topic() ferrypeer.Topic {
	encode := func() []byte { return binary.BigEndian.AppendUint64(nil, g.n) }
	return ferrypeer.Topic{
		Name:   "documents",
		Digest: encode,
		Missing: func(d []byte) []ferrypeer.Item {
			if len(d) == 8 && binary.BigEndian.Uint64(d) >= g.n {
				return nil
			}
			return []ferrypeer.Item{encode()}
		},
		Apply: func(it ferrypeer.Item) (bool, error) {
			if len(it) != 8 {
				return false, fmt.Errorf("generation of %d bytes", len(it))
			}
			n := binary.BigEndian.Uint64(it)
			changed := n > g.n
			g.n = max(g.n, n)
			return changed, nil
		},
	}
}

// faultFleet is a fleet with the state that each core is expected to converge to.
type faultFleet struct {
	*ferrypeertest.Fleet
	latest      map[ferryid.EntryName]*ferrypeer.Latest[number]
	documents   map[ferryid.EntryName]*fakeDocument
	incarnation map[ferryid.EntryName]int
	oldCores    []*ferrypeertest.Core
	newest      uint64
	wrote       map[string]number
}

func newFaultFleet(n int) *faultFleet {
	w := &faultFleet{
		Fleet: ferrypeertest.New(start), latest: map[ferryid.EntryName]*ferrypeer.Latest[number]{},
		documents: map[ferryid.EntryName]*fakeDocument{}, incarnation: map[ferryid.EntryName]int{}, wrote: map[string]number{},
	}
	w.ListLag = time.Minute
	for i := range n {
		w.start(entry(i), i)
	}
	w.Run(10 * time.Second)
	return w
}

func entry(i int) ferryid.EntryName { return ferryid.EntryName(fmt.Sprintf("entry-%02d", i)) }

func (w *faultFleet) start(name ferryid.EntryName, i int) *ferrypeertest.Core {
	w.incarnation[name]++
	m := w.MemberOf(string(name), fmt.Sprintf("domain-%d", i%3), w.incarnation[name])
	l := ferrypeer.NewLatest[number](ferrypeer.LatestConfig{Name: "drains", Self: name, Size: 100, Clock: w.Clock, Events: w.Events})
	g := &fakeDocument{}
	w.latest[name], w.documents[name] = l, g
	c := w.Add(m, []string{"entry-00:7400", "entry-01:7400"}, []ferrypeer.Topic{l.Topic(), g.topic()})
	l.Notify(func(t ferrypeer.TopicName) { c.Step(ferrypeer.Published{Topic: t}) })
	return c
}

func (w *faultFleet) publish(name ferryid.EntryName) {
	w.newest++
	w.documents[name].n = w.newest
	w.Core(name).Step(ferrypeer.Published{Topic: "documents"})
}

// divergence describes the first difference between the cores, or returns an empty string.
func (w *faultFleet) divergence() string {
	if s := difference(w.Fleet); s != "" {
		return s
	}
	first := slices.Sorted(maps.Keys(w.Cores()))[0]
	for name := range w.Cores() {
		if w.documents[name].n != w.documents[first].n {
			return fmt.Sprintf("%s has document %d, %s has %d", name, w.documents[name].n, first, w.documents[first].n)
		}
		if a, b := fmt.Sprint(w.latest[name].All()), fmt.Sprint(w.latest[first].All()); a != b {
			return fmt.Sprintf("%s has %s\n%s has %s", name, a, first, b)
		}
	}
	return ""
}

func (w *faultFleet) names() []ferryid.EntryName {
	return slices.Sorted(maps.Keys(w.Cores()))
}

func pick(rt *rapid.T, w *faultFleet) ferryid.EntryName {
	return rapid.SampledFrom(w.names()).Draw(rt, "entry")
}

// restart starts a new incarnation of a name; the old process has crashed, or is frozen and resumes later.
func (w *faultFleet) restart(name ferryid.EntryName, i int, frozen bool) {
	if c := w.Core(name); c != nil && frozen {
		w.Freeze(name)
		w.oldCores = append(w.oldCores, c)
	} else {
		w.Crash(name)
	}
	w.start(name, i)
}

func TestFaultsCeaseAndAllConverges(t *testing.T) {
	t.Parallel()
	const n = 9
	rapid.Check(t, func(rt *rapid.T) {
		w := newFaultFleet(n)
		last := map[ferryid.EntryName]uint64{}
		rt.Repeat(map[string]func(*rapid.T){
			"crash": func(rt *rapid.T) {
				if len(w.Cores()) > 2 {
					w.Crash(pick(rt, w))
				}
			},
			"leave": func(rt *rapid.T) {
				if len(w.Cores()) > 2 {
					w.Leave(pick(rt, w))
				}
			},
			"restart": func(rt *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(rt, "i")
				delete(last, entry(i))
				w.restart(entry(i), i, rapid.Bool().Draw(rt, "frozen"))
			},
			"reuse": func(rt *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(rt, "i")
				w.Crash(entry(i))
				w.Crash(entry(i + n))
				w.start(entry(i+n), i)
				delete(last, entry(i+n))
			},
			"freeze":  func(rt *rapid.T) { w.Freeze(pick(rt, w)) },
			"thaw":    func(rt *rapid.T) { w.Thaw(pick(rt, w)) },
			"silence": func(rt *rapid.T) { w.Silence(pick(rt, w), rapid.IntRange(0, 20).Draw(rt, "link")) },
			"cut": func(rt *rapid.T) {
				w.Partition(1, ferryid.DomainName(fmt.Sprintf("domain-%d", rapid.IntRange(0, 2).Draw(rt, "domain"))))
			},
			"heal":    func(*rapid.T) { w.Heal() },
			"publish": func(rt *rapid.T) { w.publish(pick(rt, w)) },
			"set": func(rt *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				w.latest[pick(rt, w)].Set(key, number(rapid.IntRange(0, 99).Draw(rt, "value")), time.Hour)
			},
			"run": func(rt *rapid.T) { w.Run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "seconds")) * time.Second) },
			"": func(rt *rapid.T) {
				w.Run(200 * time.Millisecond)
				for name, c := range w.Cores() {
					if len(c.Overlay.Links()) > ferrypeer.MaxLinks {
						rt.Fatalf("%s has %d links", name, len(c.Overlay.Links()))
					}
					if w.documents[name].n < last[name] {
						rt.Fatalf("%s reverted to the older document %d", name, w.documents[name].n)
					}
					last[name] = w.documents[name].n
				}
			},
		})
		w.Heal()
		for _, name := range w.names() {
			w.Thaw(name)
		}
		w.Run(5 * time.Second)
		for _, g := range w.oldCores {
			if w.Core(g.Member.Name) != nil {
				g.Thaw()
			}
		}
		if _, ok := w.RunUntil(time.Second, convergeWithin, func() bool { return w.divergence() == "" }); !ok {
			rt.Fatal(w.divergence())
		}
		w.Run(time.Minute)
		if s := w.divergence(); s != "" {
			rt.Fatalf("not stable for a minute after convergence: %s", s)
		}
	})
}

func TestPausedOldIncarnationIsReplaced(t *testing.T) {
	w := newFaultFleet(9)
	old, oldLatest, oldDocument := w.Core("entry-03"), w.latest["entry-03"], w.documents["entry-03"]
	w.restart("entry-03", 3, true)
	w.Run(30 * time.Second)
	oldLatest.Set("a", 66, time.Hour)
	oldDocument.n = 66
	old.Thaw()
	old.Step(ferrypeer.Published{Topic: "documents"})
	w.Run(30 * time.Second)
	assert.Equal(t, w.divergence(), "")
	assert.Assert(t, old.Replaced)
	_, found := w.latest["entry-00"].Get("a")
	assert.Assert(t, !found, "an entry of an old incarnation was accepted")
	assert.Equal(t, w.documents["entry-00"].n, uint64(0))
}

func TestRestartWithEarlierClock(t *testing.T) {
	w := newFaultFleet(9)
	w.Crash("entry-03")
	m := w.MemberOf("entry-03", "domain-0", 2)
	m.Started.Micros -= time.Hour.Microseconds()
	w.documents["entry-03"] = &fakeDocument{}
	w.Add(m, []string{"entry-00:7400"}, []ferrypeer.Topic{w.latest["entry-03"].Topic(), w.documents["entry-03"].topic()})
	_, ok := w.RunUntil(time.Second, 20*time.Second, func() bool { return w.divergence() == "" })
	assert.Assert(t, ok, w.divergence())
}

func TestAddressReusedByAnotherEntry(t *testing.T) {
	w := newFaultFleet(9)
	w.Crash("entry-03")
	m := w.MemberOf("entry-99", "domain-0", 1)
	m.PeerAddress = "entry-03:7400"
	l := ferrypeer.NewLatest[number](ferrypeer.LatestConfig{Name: "drains", Self: m.Name, Size: 100, Clock: w.Clock, Events: w.Events})
	w.latest[m.Name], w.documents[m.Name] = l, &fakeDocument{}
	w.Add(m, []string{"entry-00:7400"}, []ferrypeer.Topic{l.Topic(), w.documents[m.Name].topic()})
	_, ok := w.RunUntil(time.Second, 30*time.Second, func() bool { return w.divergence() == "" })
	assert.Assert(t, ok, w.divergence())
	for name, c := range w.Cores() {
		got, _ := c.Overlay.Members().Get("entry-03")
		assert.Assert(t, got.Status != ferrypeer.Alive, "%s still has entry-03 as alive", name)
	}
}

func TestSilentLinkIsReplaced(t *testing.T) {
	w := newFaultFleet(9)
	peer := w.Silence("entry-04", 2)
	w.Run(15 * time.Second)
	assert.Equal(t, w.divergence(), "")
	silent := string(ferrypeer.CloseSilent)
	assert.Assert(t, w.Core("entry-04").Overlay.Counts()[silent]+w.Core(peer).Overlay.Counts()[silent] > 0)
	assert.Assert(t, slices.Contains(w.Core("entry-04").Overlay.Links(), peer))
	for name, c := range w.Cores() {
		for _, m := range c.Overlay.Members().List {
			assert.Equal(t, m.Status, ferrypeer.Alive, "status at %s of %s", name, m.Name)
		}
	}
}

func TestFailureDomainPartition(t *testing.T) {
	t.Parallel()
	w := newFaultFleet(9)
	w.Partition(1, "domain-1")
	w.Run(5 * time.Minute)
	for name, c := range w.Cores() {
		want := 6
		if c.Member.FailureDomain == "domain-1" {
			want = 3
		}
		assert.Equal(t, len(c.Overlay.Members().Live()), want, "%s", name)
	}
	w.publish("entry-00")
	w.Heal()
	took, ok := w.RunUntil(100*time.Millisecond, 30*time.Second, func() bool { return w.divergence() == "" })
	assert.Assert(t, ok, w.divergence())
	t.Logf("converged %s after the partition healed", took)
}

func TestPausedProcessSuspectsNobody(t *testing.T) {
	w := newFaultFleet(9)
	w.Freeze("entry-05")
	w.Run(3900 * time.Millisecond)
	w.Thaw("entry-05")
	assert.Equal(t, w.Core("entry-05").Overlay.Counts()[string(ferrypeer.CloseSilent)], uint64(0), "a pause of this process was mistaken for silence of its peers")
	w.Freeze("entry-05")
	w.Run(20 * time.Second)
	w.Thaw("entry-05")
	_, ok := w.RunUntil(100*time.Millisecond, 20*time.Second, func() bool { return w.divergence() == "" })
	assert.Assert(t, ok, w.divergence())
	for name, c := range w.Cores() {
		if name != "entry-05" {
			assert.Equal(t, c.Overlay.Counts()["Refutations"], uint64(0), "%s had to refute a suspicion", name)
		}
	}
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	w := newFaultFleet(9)
	w.Freeze("entry-05")
	suspected := func() bool {
		m, _ := w.Core("entry-00").Overlay.Members().Get("entry-05")
		return m.Status == ferrypeer.Suspect
	}
	_, ok := w.RunUntil(100*time.Millisecond, 10*time.Second, suspected)
	assert.Assert(t, ok, "entry-00 does not suspect entry-05 within 10 s")
	w.Thaw("entry-05")
	w.Run(5 * time.Second)
	assert.Equal(t, w.divergence(), "")
	assert.Assert(t, w.Core("entry-05").Overlay.Counts()["Refutations"] > 0)
	for name, c := range w.Cores() {
		assert.Equal(t, c.Overlay.Counts()["Deaths"], uint64(0), "%s marked entry-05 as dead", name)
	}
}

// TestTwoPausedIncarnationsAreReplaced resumes two old incarnations while each is linked with the later incarnation
// of the other. Without an instance list or a live seed, only a dial to the peer's address detects them.
func TestTwoPausedIncarnationsAreReplaced(t *testing.T) {
	w := newFaultFleet(9)
	w.ListLag = -1
	for i := range 9 {
		if i != 2 && i != 8 {
			w.Crash(entry(i))
		}
	}
	w.restart("entry-02", 2, true)
	w.restart("entry-08", 8, true)
	for _, g := range w.oldCores {
		g.Thaw()
	}
	replaced := func() bool { return w.oldCores[0].Replaced && w.oldCores[1].Replaced }
	_, ok := w.RunUntil(time.Second, convergeWithin, func() bool { return replaced() && w.divergence() == "" })
	assert.Assert(t, ok, "old incarnations replaced: %t; %s", replaced(), w.divergence())
}

func TestLinksBoundedDuringJoin(t *testing.T) {
	t.Parallel()
	f := newFleet(100, 8)
	for range 100 {
		f.Run(100 * time.Millisecond)
		for name, c := range f.Cores() {
			n := len(c.Overlay.Links())
			assert.Assert(t, n <= ferrypeer.MaxLinks, "%s has %d links", name, n)
		}
	}
	assert.Assert(t, f.Core("entry-000").Overlay.Counts()[string(ferrypeer.CloseFull)] > 0)
}

func TestChooseLinksIsSymmetric(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ n, domains, most int }{{9, 3, 8}, {30, 3, 9}, {100, 1, 9}, {160, 8, 17}, {350, 8, 17}} {
		t.Run(fmt.Sprintf("%d in %d", tc.n, tc.domains), func(t *testing.T) {
			t.Parallel()
			var cs []ferrypeer.Candidate
			domainOf := map[ferryid.EntryName]ferryid.DomainName{}
			for i := range tc.n {
				c := ferrypeer.Candidate{Name: ferryid.EntryName(fmt.Sprintf("entry-%03d", i)), FailureDomain: ferryid.DomainName(fmt.Sprint(i % tc.domains))}
				cs = append(cs, c)
				domainOf[c.Name] = c.FailureDomain
			}
			chosen := map[ferryid.EntryName][]ferryid.EntryName{}
			for _, c := range cs {
				chosen[c.Name] = ferrypeer.ChooseLinks(c, cs)
			}
			for a, links := range chosen {
				assert.Assert(t, len(links) <= tc.most, "%s has %d links", a, len(links))
				domains := map[ferryid.DomainName]bool{}
				for _, b := range links {
					assert.Assert(t, slices.Contains(chosen[b], a), "%s chose %s, but not vice versa", a, b)
					domains[domainOf[b]] = true
				}
				assert.Equal(t, len(domains), tc.domains, "%s has links into %d failure domains", a, len(domains))
			}
		})
	}
}
