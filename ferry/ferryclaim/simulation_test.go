package ferryclaim

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const simRetention = time.Hour

// simulation runs the state machines of several entries step by step in any order.
type simulation struct {
	store        *memStore
	now          time.Time
	entries      []*simEntry
	all          map[ferryid.Incarnation]*simEntry
	created      int
	ran          map[string][]execution // dispatches by key or ticket
	mayBeUnknown map[string]bool        // keys and tickets that may be answered Unknown
	calls        []*simCall
	failures     []string
	chooseOwner  func(*simCall) *simEntry
	flushBytes   int
}

type execution struct {
	at   time.Time
	call *simCall
}

// simCall is one simulated call.
type simCall struct {
	op      string
	entry   *simEntry
	a       *attempt
	step    step
	claim   *Ref
	sent    bool
	done    bool
	err     error
	asked   bool
	answer  Answer
	askErr  error
	verdict verdict
	// forwardedTo is the entry that writes for this one as the owner of the slot.
	forwardedTo *simEntry
}

// simEntry is one incarnation of an entry.
type simEntry struct {
	id      ferryid.Incarnation
	table   *table
	slot    *slot
	dead    bool
	action  action
	result  actionResult
	replied bool
}

func newSimulation(n int) *simulation {
	return newSimulationFlushing(n, tailFlushBytes)
}

func newSimulationFlushing(n, flushBytes int) *simulation {
	w := &simulation{
		flushBytes: flushBytes,
		store:      newMemStore(), now: time.Unix(1_800_000_000, 0), all: map[ferryid.Incarnation]*simEntry{},
		ran: map[string][]execution{}, mayBeUnknown: map[string]bool{},
	}
	for range n {
		w.entries = append(w.entries, w.newEntry())
	}
	return w
}

func (w *simulation) newEntry() *simEntry {
	w.created++
	id := incarnation(w.created)
	n := &simEntry{id: id, table: newTable(id), slot: newSlot("0000", id)}
	n.slot.flushBytes = w.flushBytes
	w.all[id] = n
	return n
}

func incarnation(n int) ferryid.Incarnation {
	return ferryid.Incarnation(fmt.Sprintf("i%d", n))
}

func (w *simulation) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *simulation) live() []ferryid.Incarnation {
	var out []ferryid.Incarnation
	for _, n := range w.entries {
		out = append(out, n.id)
	}
	return out
}

func (w *simulation) begin(n *simEntry, op string, ticket *Ticket, body string) *simCall {
	t := &simCall{op: op, entry: n}
	if n.dead {
		t.done, t.err = true, errLost
		return t
	}
	call := Call{Customer: "c", Service: "s", Key: op, Digest: DigestOf([]byte(body)), Retention: simRetention}
	t.a = &attempt{t: n.table, call: call, ticket: ticket, heirsOf: func(id ferryid.Incarnation) []ferryid.Incarnation {
		return HeirOrder(id, w.live())
	}}
	w.calls = append(w.calls, t)
	w.apply(t, t.a.start(w.now))
	return t
}

// apply executes the part of a step that needs no waiting.
func (w *simulation) apply(t *simCall, st step) {
	t.step, t.asked, t.verdict = st, false, nil
	switch st := st.(type) {
	case grantStep:
		t.claim = &st.ref
	case endStep:
		w.end(t, st.err)
		if st.release != nil {
			w.release(t.entry, *st.release)
		}
	case submitStep:
		r := st.req
		r.reply = func(v verdict) { w.deliverVerdict(t, r, v) }
		t.forwardedTo = w.owner(t)
		t.forwardedTo.slot.submit(r)
	}
}

// writeLocally submits the request to the call's own entry after forwarding failed.
// The owner may still write later.
func (w *simulation) writeLocally(t *simCall, r request) {
	t.forwardedTo = t.entry
	w.mayBeUnknown[t.op] = true
	r.mayBeWritten = true
	r.reply = func(v verdict) { w.deliverVerdict(t, r, v) }
	t.entry.slot.submit(r)
}

func (w *simulation) owner(t *simCall) *simEntry {
	if w.chooseOwner == nil {
		return t.entry
	}
	return w.chooseOwner(t)
}

func (w *simulation) deliverVerdict(t *simCall, r request, v verdict) {
	st, waiting := t.step.(submitStep)
	if !t.done && waiting && st.req.op == r.op && st.req.rec.Ref == r.rec.Ref {
		t.verdict = v
		return
	}
	if _, ok := v.(granted); ok && r.op == opClaim && t.entry.table.revoked(r.rec.Ref) {
		w.release(t.entry, op{Ref: r.rec.Ref, Key: r.rec.Key, Body: r.rec.Body, Until: time.Unix(r.rec.Until, 0)})
	}
}

func (w *simulation) release(n *simEntry, o op) {
	if o.Ticket {
		return
	}
	rec := Record{Key: o.Key, Body: o.Body, Ref: o.Ref, State: StateReleased, Until: o.Until.Unix()}
	n.slot.submit(request{op: opRelease, rec: rec, reply: func(verdict) { n.table.forget(o.Ref) }})
}

func (w *simulation) end(t *simCall, err error) {
	t.done, t.err = true, err
	if ferryoutcome.Of(err) == ferryoutcome.NotRun && t.sent {
		w.fail("%s: answered NotRun although it was sent: %v", t.op, err)
	}
	if rep, ok := err.(*Replay); ok && rep.Outcome == ferryoutcome.Ran && len(w.ran[t.op]) == 0 {
		w.fail("%s: answered Ran but was never dispatched", t.op)
	}
}

// step advances one call if the reply that it waits for has arrived.
func (w *simulation) step(t *simCall, lose bool) {
	if t.done || t.entry.dead {
		return
	}
	switch st := t.step.(type) {
	case submitStep:
		if v := t.verdict; v != nil {
			w.apply(t, t.a.onVerdict(v, w.now))
			return
		}
		if t.forwardedTo != t.entry && (lose || t.forwardedTo.dead) {
			w.writeLocally(t, st.req)
		}
	case askStep:
		if t.asked {
			w.apply(t, t.a.onAnswer(st.id, t.answer, t.askErr, w.now))
			return
		}
		t.asked = true
		t.answer, t.askErr = w.ask(t.entry, st, lose)
	case grantStep:
		w.dispatch(t)
	}
}

func (w *simulation) ask(from *simEntry, st askStep, lose bool) (Answer, error) {
	to := w.all[st.id]
	if from.table.owns(st.id) {
		to = from
	}
	if to == nil || to.dead {
		return Answer{}, errLost
	}
	ans := to.table.answer(st.q)
	if lose && to != from {
		return Answer{}, errLost
	}
	return ans, nil
}

func (w *simulation) dispatch(t *simCall) {
	if !t.entry.table.dispatch(*t.claim, w.now) {
		if o, ok := t.entry.table.release(*t.claim); ok {
			w.release(t.entry, o)
		}
		w.end(t, claimLost())
		return
	}
	t.sent = true
	for _, e := range w.ran[t.op] {
		if w.now.Sub(e.at) < simRetention/2 {
			w.fail("%s: ran twice, at %s and %s", t.op, e.call.entry.id, t.entry.id)
		}
	}
	w.ran[t.op] = append(w.ran[t.op], execution{w.now, t})
	t.step = nil
}

func (w *simulation) finish(t *simCall) {
	if !t.sent || t.done || t.entry.dead {
		return
	}
	w.end(t, &Replay{Outcome: ferryoutcome.Ran})
	o, ok := t.entry.table.finish(*t.claim, Result{Outcome: ferryoutcome.Ran, Status: 200, Body: []byte("fed")}, w.now)
	if ok && !o.Ticket {
		r := finishRequest(o)
		r.reply = func(verdict) { t.entry.table.forget(o.Ref) }
		t.entry.slot.submit(r)
	}
}

func (w *simulation) cancel(t *simCall) {
	if t.done || t.sent || t.entry.dead {
		return
	}
	if t.claim != nil {
		if o, ok := t.entry.table.release(*t.claim); ok {
			w.release(t.entry, o)
		}
		w.end(t, claimTimedOut(errLost))
		return
	}
	late, v := t.step.(submitStep)
	got := t.verdict
	w.apply(t, t.a.onCancel(errLost))
	if v && got != nil {
		w.deliverVerdict(t, late.req, got)
	}
}

// io starts or completes the slot's platform call.
func (w *simulation) io(n *simEntry) bool {
	if n.dead {
		return false
	}
	if n.action == nil {
		a, out := n.slot.next(w.now)
		deliver(out)
		if a == nil {
			return len(out) > 0
		}
		n.action = a
		r := slotRunner{slot: n.slot, store: w.store, clock: clockwork.NewFakeClock()}
		n.result = r.do(context.Background(), a)
		return true
	}
	a := n.action
	n.action = nil
	deliver(n.slot.complete(w.now, a, n.result))
	return true
}

// crash ends an incarnation; outcomes that only it knew may be answered Unknown.
func (w *simulation) crash(i int) {
	n := w.entries[i]
	n.dead = true
	for r := range n.table.ops {
		w.allowUnknown(r)
	}
	for _, t := range w.calls {
		if !t.done && t.entry == n {
			t.done, t.err = true, errLost
		}
	}
	w.entries[i] = w.newEntry()
}

// stop hands over to the first heir; calls may still reach the stopped incarnation.
func (w *simulation) stop(i int) error {
	n := w.entries[i]
	heir := w.all[HeirOrder(n.id, w.live())[0]]
	h, err := n.table.close(heir.id)
	if err != nil {
		return err
	}
	ops, err := heir.table.takeOver(h)
	for _, o := range ops {
		switch {
		case o.Phase == phaseDispatched:
			w.allowUnknown(o.Ref)
		case o.Ticket:
		case o.Phase == phaseFinished:
			heir.slot.submit(finishRequest(o))
		case o.Phase == phaseRevoked:
			w.release(heir, o)
		}
	}
	w.entries[i] = w.newEntry()
	return err
}

// allowUnknown records that a call may be answered Unknown, as only an incarnation that ended
// knew its outcome.
func (w *simulation) allowUnknown(r Ref) {
	for _, t := range w.calls {
		if t.a.claimed.Ref == r {
			w.mayBeUnknown[t.op] = true
		}
	}
}

// runUntilIdle runs everything to its end without further faults.
func (w *simulation) runUntilIdle() {
	w.store.fault = nil
	w.store.applyLate()
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for i := range w.created {
			for range 4 {
				w.io(w.all[incarnation(i+1)])
			}
		}
		for _, t := range w.calls {
			w.step(t, false)
			w.finish(t)
		}
	}
}
