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

// TestMain sets the default seed of rapid; its flags override it.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 20261204, Checks: 250, Steps: 60})
}

// modelEntry is one entry with its holder, its watcher and the version last checked.
type modelEntry struct {
	name         string
	holder       *Holder
	events       *ferryevent.Log
	watch        *watchCore
	action       watchAction
	watchAnswers []ferryplatform.Changes
	lastGen      ferryid.Generation
	lastHash     string
}

// modelOperator is an operator with at most one apply in progress.
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
	// bases holds the base generation of each acknowledged change.
	bases   []ferryid.Generation
	refused map[string]bool
	// delayed holds deliveries of updates that are delayed.
	delayed []func()
}

func newModel() *model {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	m := &model{clock: clock, store: ferryplatformtest.New(clock), refused: map[string]bool{}}
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

// start begins an apply by an idle operator, on top of the version in force at a random entry.
func (m *model) start(t *rapid.T) {
	op := m.operators[rapid.IntRange(0, modelOperators-1).Draw(t, "operator")]
	if op.core != nil {
		t.Skip("operator is busy")
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

// stepApply performs one action of an apply in progress, or lets the apply expire.
func (m *model) stepApply(t *rapid.T) {
	op := m.operators[rapid.IntRange(0, modelOperators-1).Draw(t, "operator")]
	if op.core == nil {
		t.Skip("operator is idle")
	}
	if rapid.IntRange(0, 19).Draw(t, "expires now") == 0 {
		op.action = op.core.next(applyExpired{errApplyTimeout})
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
	op.entry.holder.recordOutcome(req, end)
	op.core = nil
	if end.err == nil {
		m.acked = append(m.acked, end.accepted)
		m.bases = append(m.bases, req.BaseGeneration)
		return
	}
	if !errors.As(end.err, new(*UnresolvedError)) {
		m.refused[req.ApplyID] = true
	}
}

// stepWatch performs one action of an entry's watcher, sometimes with a stale answer of an earlier watch.
func (m *model) stepWatch(t *rapid.T) {
	e := m.entry(t)
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 && len(e.watchAnswers) > 0 {
		m.watchOnce(t.Context(), e, &e.watchAnswers[rapid.IntRange(0, len(e.watchAnswers)-1).Draw(t, "answer")])
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
			e.watchAnswers = append(e.watchAnswers, c)
		}
		if stale != nil {
			c, err = *stale, nil
		}
		msg = watchReturned{c, err, watchWait}
	case repairStore:
		_, err := m.store.Put(ctx, ferryservice.ObjectKind, string(modelService), a.expected, encode(a.accepted))
		msg = watchRepaired{err}
	}
	e.action = e.watch.next(msg, m.clock.Now())
}

// gossip delivers one entry's answer to the digest of another, unless the link is partitioned.
func (m *model) gossip(t *rapid.T) {
	i := rapid.IntRange(0, modelEntries-1).Draw(t, "from")
	j := rapid.IntRange(0, modelEntries-1).Draw(t, "to")
	if m.cut[i][j] {
		t.Skip("link is partitioned")
	}
	m.sendUpdates(m.entries[i], m.entries[j])
}

// sendUpdates sends the documents that an entry lacks, whole or as deltas, as the overlay does.
func (m *model) sendUpdates(from, to *modelEntry) {
	deliver(to, from.holder.Updates(to.holder.Digest()), from.name)
}

// deliver delivers updates to an entry, possibly delayed ones.
func deliver(to *modelEntry, us []Update, from string) {
	for _, u := range us {
		if _, err := to.holder.OfferUpdate(u, from); err != nil {
			panic(err)
		}
	}
}

// delayUpdates computes the updates for an entry now and delays their delivery.
func (m *model) delayUpdates(t *rapid.T) {
	i := rapid.IntRange(0, modelEntries-1).Draw(t, "from")
	j := rapid.IntRange(0, modelEntries-1).Draw(t, "to")
	from, us := m.entries[i].name, m.entries[i].holder.Updates(m.entries[j].holder.Digest())
	m.delayed = append(m.delayed, func() { deliver(m.entries[j], us, from) })
}

// deliverDelayed delivers one of the delayed updates.
func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed updates")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
	m.delayed[i]()
	m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
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

// join replaces an entry by a new one, unless it has the only copy of an acknowledged version.
func (m *model) join(t *rapid.T) {
	i := rapid.IntRange(0, modelEntries-1).Draw(t, "entry")
	for _, op := range m.operators {
		if op.core != nil && op.entry == m.entries[i] {
			t.Skip("entry has an apply in progress")
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
		t.Skip("entry has the only copy")
	}
	m.entries[i] = m.newEntry()
}

// stored returns the version in the store, with the store's faults switched off for the read.
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

// check verifies the invariants of the model.
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
		m.checkIncluded(t, "store", m.stored(), a)
	}
}

// checkEntry verifies that an entry never goes back a generation, changes a generation's content, loses an
// acknowledged change or has a refused change in force.
func (m *model) checkEntry(t *rapid.T, e *modelEntry) {
	f, ok := e.holder.Get(modelService)
	if !ok {
		if e.lastGen > 0 {
			t.Fatalf("%s lost its document", e.name)
		}
		return
	}
	g := f.Accepted.Generation
	if g < e.lastGen || (g == e.lastGen && f.Hash != e.lastHash) {
		t.Fatalf("%s went from generation %d %.8s to %d %.8s", e.name, e.lastGen, e.lastHash, g, f.Hash)
	}
	e.lastGen, e.lastHash = g, f.Hash
	if m.restored {
		return
	}
	for _, a := range m.acked {
		if a.Generation <= g {
			m.checkIncluded(t, e.name, f.Accepted, a)
		}
	}
	if m.refused[f.Accepted.ApplyID] {
		t.Fatalf("%s has %s in force, which was reported as refused", e.name, f.Accepted.ApplyID)
	}
}

func (m *model) checkIncluded(t *rapid.T, where string, in, acked ferryservice.Accepted) {
	if in.Hash() == acked.Hash() {
		return
	}
	if in.Generation <= acked.Generation || in.DescendsFrom(acked.Generation, acked.Hash()) == ferryservice.Diverges {
		t.Fatalf("%s at generation %d does not include acknowledged generation %d", where, in.Generation, acked.Generation)
	}
}

// heal ends all faults and runs applies, watchers and gossip until they converge.
func (m *model) heal(t *rapid.T) {
	m.store.SetFaults(ferryplatformtest.Faults{})
	// A store that was rolled back and has since reached a watcher's version again is detected only by the
	// next list.
	m.clock.Advance(2 * relistInterval)
	for _, op := range m.operators {
		for range 20 {
			if op.core != nil {
				op.action = op.core.next(m.perform(t.Context(), op.action))
				m.finish(op)
			}
		}
		if op.core != nil {
			t.Fatal("apply did not end on a store without faults")
		}
	}
	m.converge(t)
}

func (m *model) converge(t *rapid.T) {
	for range 8 {
		for _, e := range m.entries {
			m.watchOnce(t.Context(), e, nil)
			for _, o := range m.entries {
				m.sendUpdates(e, o)
			}
		}
	}
}

func (m *model) checkConverged(t *rapid.T) {
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
		// A second key doubles the weight, as an apply takes several steps.
		"stepApply2": m.stepApply,
		"watch":      m.stepWatch,
		"gossip":     m.gossip,
		"late":       m.delayUpdates,
		"arrival":    m.deliverDelayed,
		"partition":  m.partition,
		"faults":     m.faults,
		"advance":    m.advance,
		"join":       m.join,
		"":           m.check,
	}
}

// TestModelKeepsWhatWasAcknowledged runs random histories without rollbacks of the store.
func TestModelKeepsWhatWasAcknowledged(t *testing.T) {
	acked, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(m.actions())
		m.heal(t)
		m.check(t)
		m.checkConverged(t)
		acked += len(m.acked)
		refused += len(m.refused)
	})
	t.Logf("%d changes acknowledged, %d refused", acked, refused)
}
