package ferrydocument

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryrapid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	modelEntries   = 4
	modelOperators = 2
	modelService   = ferryid.ServiceName("parlour-api")
)

// TestMain fixes the seed of rapid; its flags still override it.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 20261204, Checks: 250, Steps: 60})
}

// modelEntry is one entry: its holder, its watcher, and what was last seen in force.
type modelEntry struct {
	name    string
	holder  *Holder
	events  *ferryevent.Log
	watch   *watchCore
	action  watchAction
	shown   []ferryplatform.Changes
	lastGen ferryid.Generation
	last    string
}

// modelOperator is one operator with at most one apply under way.
type modelOperator struct {
	core   *applyCore
	action applyAction
	entry  *modelEntry
}

// model runs the cores of several entries and operators against one store, one step at a time.
type model struct {
	clock     *clockwork.FakeClock
	store     *ferryplatformtest.Fake
	entries   [modelEntries]*modelEntry
	operators [modelOperators]*modelOperator
	cut       [modelEntries][modelEntries]bool
	n         int
	restored  bool
	acked     []ferryservice.Accepted
	// bases are the generations that the acknowledged changes were edits of.
	bases []ferryid.Generation
	lost  map[string]bool
	// onTheWay are answers to digests that have not arrived.
	onTheWay []func()
}

func newModel() *model {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	m := &model{clock: clock, store: ferryplatformtest.New(clock), lost: map[string]bool{}}
	for i := range m.entries {
		m.entries[i] = m.newEntry()
	}
	for i := range m.operators {
		m.operators[i] = &modelOperator{}
	}
	return m
}

func (m *model) newEntry() *modelEntry {
	m.n++
	name := fmt.Sprintf("entry-%d", m.n)
	events := ferryevent.NewLog(m.clock, name, 1000)
	h := NewHolder(m.clock, events)
	core := newWatchCore(h, rand.New(rand.NewPCG(uint64(m.n), 0)))
	return &modelEntry{name: name, holder: h, events: events, watch: core, action: core.next(watchStarted{}, m.clock.Now())}
}

func (m *model) entry(t *rapid.T) *modelEntry {
	return m.entries[rapid.IntRange(0, modelEntries-1).Draw(t, "entry")]
}

func (e *modelEntry) generation() ferryid.Generation {
	if f, ok := e.holder.Get(modelService); ok {
		return f.Accepted.Generation
	}
	return 0
}

// start begins an apply by an idle operator through an entry, of what is in force there.
func (m *model) start(t *rapid.T) {
	op := m.operators[rapid.IntRange(0, modelOperators-1).Draw(t, "operator")]
	if op.core != nil {
		t.Skip("busy")
	}
	op.entry = m.entry(t)
	m.n++
	req := ApplyRequest{
		Service:        modelService,
		Source:         fmt.Sprintf("Service = %q\nTeam = \"%d\"\nKind = \"Plain\"\n", modelService, m.n),
		BaseGeneration: op.entry.generation(),
		Operator:       "op",
		ApplyID:        fmt.Sprint("apply-", m.n),
	}
	m.begin(op, req)
}

func (m *model) begin(op *modelOperator, req ApplyRequest) {
	if f, ok := op.entry.holder.Get(modelService); ok {
		req.InForce = &f.Accepted
	}
	op.core = newApplyCore(req, m.clock.Now())
	op.action = op.core.next(applyStarted{})
}

// stepApply performs one action of an apply under way.
func (m *model) stepApply(t *rapid.T) {
	op := m.operators[rapid.IntRange(0, modelOperators-1).Draw(t, "operator")]
	if op.core == nil {
		t.Skip("idle")
	}
	if rapid.IntRange(0, 19).Draw(t, "gives up") == 0 {
		op.action = op.core.next(applyExpired{errPatience})
	} else {
		op.action = op.core.next(m.perform(t.Context(), op.action))
	}
	m.finish(op)
}

func (m *model) perform(ctx context.Context, action applyAction) applyMessage {
	switch a := action.(type) {
	case readStore:
		o, err := m.store.Get(ctx, ferryservice.ObjectKind, string(modelService))
		return applyRead{o, err}
	case writeStore:
		v, err := m.store.Put(ctx, ferryservice.ObjectKind, string(modelService), a.expected, a.value)
		return applyWritten{v, err}
	}
	return applyPaused{}
}

// finish records the outcome of an apply that has ended.
func (m *model) finish(op *modelOperator) {
	end, ok := op.action.(endApply)
	if !ok {
		return
	}
	req := op.core.req
	op.entry.holder.settle(req, end)
	op.core = nil
	if end.err == nil {
		m.acked = append(m.acked, end.accepted)
		m.bases = append(m.bases, req.BaseGeneration)
		return
	}
	if !errors.As(end.err, new(*UnresolvedError)) {
		m.lost[req.ApplyID] = true
	}
}

// stepWatch performs one action of an entry's watcher; a stale answer is one that was given before.
func (m *model) stepWatch(t *rapid.T) {
	e := m.entry(t)
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 && len(e.shown) > 0 {
		m.watchOnce(t.Context(), e, &e.shown[rapid.IntRange(0, len(e.shown)-1).Draw(t, "answer")])
		return
	}
	m.watchOnce(t.Context(), e, nil)
}

func (m *model) watchOnce(ctx context.Context, e *modelEntry, stale *ferryplatform.Changes) {
	var msg watchMessage = watchStarted{}
	switch a := e.action.(type) {
	case listStore:
		c, err := m.store.List(ctx, ferryservice.ObjectKind)
		msg = watchListed{c, err}
	case watchStore:
		c, err := m.store.Watch(ctx, ferryservice.ObjectKind, a.after, 0)
		if err == nil {
			e.shown = append(e.shown, c)
		}
		if stale != nil {
			c, err = *stale, nil
		}
		msg = watchSeen{c, err, watchWait}
	case repairStore:
		_, err := m.store.Put(ctx, ferryservice.ObjectKind, string(modelService), a.expected, encode(a.accepted))
		msg = watchRepaired{err}
	}
	e.action = e.watch.next(msg, m.clock.Now())
}

// gossip lets one entry learn from another's answer to its digest.
func (m *model) gossip(t *rapid.T) {
	i := rapid.IntRange(0, modelEntries-1).Draw(t, "from")
	j := rapid.IntRange(0, modelEntries-1).Draw(t, "to")
	if m.cut[i][j] {
		t.Skip("cut off")
	}
	m.tell(m.entries[i], m.entries[j])
}

// tell passes whole documents and differences on at once, as the overlay does.
func (m *model) tell(from, to *modelEntry) {
	arrive(to, from.holder.Updates(to.holder.Digest()), from.name)
}

// arrive has an entry take updates, which may have been on the way for long.
func arrive(to *modelEntry, us []Update, from string) {
	for _, u := range us {
		if _, err := to.holder.Take(u, from); err != nil {
			panic(err)
		}
	}
}

// late lets what one entry answers to another's digest arrive there after later steps.
func (m *model) late(t *rapid.T) {
	i := rapid.IntRange(0, modelEntries-1).Draw(t, "from")
	j := rapid.IntRange(0, modelEntries-1).Draw(t, "to")
	from, us := m.entries[i].name, m.entries[i].holder.Updates(m.entries[j].holder.Digest())
	m.onTheWay = append(m.onTheWay, func() { arrive(m.entries[j], us, from) })
}

// arrival ends the way of some updates.
func (m *model) arrival(t *rapid.T) {
	if len(m.onTheWay) == 0 {
		t.Skip("nothing on the way")
	}
	i := rapid.IntRange(0, len(m.onTheWay)-1).Draw(t, "which")
	m.onTheWay[i]()
	m.onTheWay = append(m.onTheWay[:i:i], m.onTheWay[i+1:]...)
}

func (m *model) partition(t *rapid.T) {
	cut := rapid.Uint16().Draw(t, "cut")
	for i := range modelEntries {
		for j := range modelEntries {
			m.cut[i][j] = cut>>(4*i+j)&1 == 1
		}
	}
}

func (m *model) faults(t *rapid.T) {
	m.store.SetFaults(ferryplatformtest.Faults{
		Outage:       rapid.IntRange(0, 4).Draw(t, "outage") == 0,
		LoseAnswers:  rapid.IntRange(0, 3).Draw(t, "lose"),
		LateEffectMS: rapid.SampledFrom([]int{0, 500, 3000}).Draw(t, "late"),
		WatchLagMS:   rapid.SampledFrom([]int{0, 0, 2000}).Draw(t, "lag"),
	})
}

func (m *model) advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

// join replaces an entry by a fresh one, unless it has the only copy of something that was acknowledged.
func (m *model) join(t *rapid.T) {
	i := rapid.IntRange(0, modelEntries-1).Draw(t, "entry")
	for _, op := range m.operators {
		if op.core != nil && op.entry == m.entries[i] {
			t.Skip("in use")
		}
	}
	best := ferryid.Generation(0)
	if !m.restored {
		best = m.stored().Generation
	}
	for j, e := range m.entries {
		if j != i {
			best = max(best, e.generation())
		}
	}
	if best < m.entries[i].generation() {
		t.Skip("has the only copy")
	}
	m.entries[i] = m.newEntry()
}

// stored returns what the store holds, whatever its faults.
func (m *model) stored() ferryservice.Accepted {
	f := m.store.Faults()
	m.store.SetFaults(ferryplatformtest.Faults{})
	defer m.store.SetFaults(f)
	o, err := m.store.Get(context.Background(), ferryservice.ObjectKind, string(modelService))
	if err != nil {
		return ferryservice.Accepted{}
	}
	a, err := ferryservice.DecodeAccepted(o.Value)
	if err != nil {
		panic(err)
	}
	return a
}

// check holds the state against what must always be true.
func (m *model) check(t *rapid.T) {
	for _, e := range m.entries {
		m.checkEntry(t, e)
	}
	if m.restored {
		return
	}
	byGeneration := map[ferryid.Generation]string{}
	for i, a := range m.acked {
		if a.Generation != m.bases[i]+1 {
			t.Fatalf("an edit of generation %d was acknowledged as generation %d", m.bases[i], a.Generation)
		}
		if h, ok := byGeneration[a.Generation]; ok && h != a.Hash() {
			t.Fatalf("two changes were acknowledged as generation %d", a.Generation)
		}
		byGeneration[a.Generation] = a.Hash()
		m.checkKept(t, "store", m.stored(), a)
	}
}

// checkEntry lets no entry step back, change a generation, drop what was acknowledged, or have what was refused.
func (m *model) checkEntry(t *rapid.T, e *modelEntry) {
	f, ok := e.holder.Get(modelService)
	if !ok {
		if e.lastGen > 0 {
			t.Fatalf("%s lost its document", e.name)
		}
		return
	}
	g := f.Accepted.Generation
	if g < e.lastGen || (g == e.lastGen && f.Hash != e.last) {
		t.Fatalf("%s stepped from %d %.8s to %d %.8s", e.name, e.lastGen, e.last, g, f.Hash)
	}
	e.lastGen, e.last = g, f.Hash
	if m.restored {
		return
	}
	for _, a := range m.acked {
		if a.Generation <= g {
			m.checkKept(t, e.name, f.Accepted, a)
		}
	}
	if m.lost[f.Accepted.ApplyID] {
		t.Fatalf("%s has %s in force, whose operator was told that it lost", e.name, f.Accepted.ApplyID)
	}
}

func (m *model) checkKept(t *rapid.T, where string, in, acked ferryservice.Accepted) {
	if in.Hash() == acked.Hash() {
		return
	}
	if in.Generation <= acked.Generation || in.DescendsFrom(acked.Generation, acked.Hash()) == ferryservice.Diverges {
		t.Fatalf("%s at generation %d lost the acknowledged generation %d", where, in.Generation, acked.Generation)
	}
}

// heal ends all faults and lets every duty go on until nothing changes.
func (m *model) heal(t *rapid.T) {
	m.store.SetFaults(ferryplatformtest.Faults{})
	// A store that went back and was written until its version is where a watcher was is noticed by the next list only.
	m.clock.Advance(2 * relistInterval)
	for _, op := range m.operators {
		for range 20 {
			if op.core != nil {
				op.action = op.core.next(m.perform(t.Context(), op.action))
				m.finish(op)
			}
		}
		if op.core != nil {
			t.Fatal("an apply does not end on a sound store")
		}
	}
	m.spread(t)
}

func (m *model) spread(t *rapid.T) {
	for range 8 {
		for _, e := range m.entries {
			m.watchOnce(t.Context(), e, nil)
			for _, o := range m.entries {
				m.tell(e, o)
			}
		}
	}
}

func (m *model) checkSame(t *rapid.T) {
	want := m.stored()
	for _, e := range m.entries {
		f, ok := e.holder.Get(modelService)
		if ok != (want.Generation > 0) {
			t.Fatalf("%s has a document: %v, the store has generation %d", e.name, ok, want.Generation)
		}
		if ok && f.Hash != want.Hash() {
			t.Fatalf("%s has generation %d %.8s, the store %d %.8s", e.name, f.Accepted.Generation, f.Hash, want.Generation, want.Hash())
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"apply":     m.start,
		"stepApply": m.stepApply,
		// Twice, as an apply takes several steps.
		"stepApply2": m.stepApply,
		"watch":      m.stepWatch,
		"gossip":     m.gossip,
		"late":       m.late,
		"arrival":    m.arrival,
		"partition":  m.partition,
		"faults":     m.faults,
		"advance":    m.advance,
		"join":       m.join,
		"":           m.check,
	}
}

// TestModelKeepsWhatWasAcknowledged runs random histories without restores of the store.
func TestModelKeepsWhatWasAcknowledged(t *testing.T) {
	acked, lost := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(m.actions())
		m.heal(t)
		m.check(t)
		m.checkSame(t)
		acked += len(m.acked)
		lost += len(m.lost)
	})
	t.Logf("%d changes acknowledged, %d refused", acked, lost)
}
