package ferryclaim

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const worldRetention = time.Hour

// world drives the cores of several entries, one step at a time, in any order.
type world struct {
	store    *memStore
	now      time.Time
	entries  []*node
	all      map[ferryid.Incarnation]*node
	born     int
	ran      map[string][]execution // by key or ticket
	tainted  map[string]bool        // a dead incarnation alone knew what became of it
	tries    []*try
	failures []string
	owners   func(*try) *node
	sealAt   int
}

type execution struct {
	at  time.Time
	try *try
}

// try is one call by a caller.
type try struct {
	op      string
	at      *node
	a       *attempt
	wait    step
	claim   *Ref
	sent    bool
	done    bool
	err     error
	asked   bool
	answer  Answer
	askErr  error
	verdict verdict
	// passedTo is the entry that writes for the try's own, as the owner of the slot.
	passedTo *node
}

// node is one entry incarnation.
type node struct {
	id      ferryid.Incarnation
	table   *table
	slot    *slot
	dead    bool
	under   action
	ans     answer
	replied bool
}

func newWorld(n int) *world {
	return newWorldSealing(n, sealBytes)
}

func newWorldSealing(n, sealAt int) *world {
	w := &world{
		sealAt: sealAt,
		store:  newMemStore(), now: time.Unix(1_800_000_000, 0), all: map[ferryid.Incarnation]*node{},
		ran: map[string][]execution{}, tainted: map[string]bool{},
	}
	for range n {
		w.entries = append(w.entries, w.newNode())
	}
	return w
}

func (w *world) newNode() *node {
	w.born++
	id := incarnation(w.born)
	n := &node{id: id, table: newTable(id), slot: newSlot("0000", id)}
	n.slot.sealAt = w.sealAt
	w.all[id] = n
	return n
}

func incarnation(n int) ferryid.Incarnation {
	return ferryid.Incarnation(fmt.Sprintf("i%d", n))
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *world) live() []ferryid.Incarnation {
	var out []ferryid.Incarnation
	for _, n := range w.entries {
		out = append(out, n.id)
	}
	return out
}

func (w *world) begin(n *node, op string, ticket *Ticket, body string) *try {
	t := &try{op: op, at: n}
	if n.dead {
		t.done, t.err = true, errLost
		return t
	}
	call := Call{Customer: "c", Service: "s", Key: op, Digest: DigestOf([]byte(body)), Retention: worldRetention}
	t.a = &attempt{t: n.table, call: call, ticket: ticket, heirsOf: func(id ferryid.Incarnation) []ferryid.Incarnation {
		return HeirOrder(id, w.live())
	}}
	w.tries = append(w.tries, t)
	w.take(t, t.a.start(w.now))
	return t
}

// take does what of a step needs no waiting.
func (w *world) take(t *try, st step) {
	t.wait, t.asked, t.verdict = st, false, nil
	switch st := st.(type) {
	case grantStep:
		t.claim = &st.ref
	case endStep:
		w.end(t, st.err)
		if st.release != nil {
			w.release(t.at, *st.release)
		}
	case submitStep:
		r := st.req
		r.reply = func(v verdict) { w.settle(t, r, v) }
		t.passedTo = w.owner(t)
		t.passedTo.slot.submit(r)
	}
}

// writeItself gives up on the slot's owner, which may still write later.
func (w *world) writeItself(t *try, r request) {
	t.passedTo = t.at
	w.tainted[t.op] = true
	r.sent = true
	r.reply = func(v verdict) { w.settle(t, r, v) }
	t.at.slot.submit(r)
}

func (w *world) owner(t *try) *node {
	if w.owners == nil {
		return t.at
	}
	return w.owners(t)
}

func (w *world) settle(t *try, r request, v verdict) {
	st, waiting := t.wait.(submitStep)
	if !t.done && waiting && st.req.op == r.op && st.req.rec.Ref == r.rec.Ref {
		t.verdict = v
		return
	}
	if _, ok := v.(granted); ok && r.op == opClaim && t.at.table.revoked(r.rec.Ref) {
		w.release(t.at, op{Ref: r.rec.Ref, Key: r.rec.Key, Body: r.rec.Body, Until: time.Unix(r.rec.Until, 0)})
	}
}

func (w *world) release(n *node, o op) {
	if o.Ticket {
		return
	}
	rec := Record{Key: o.Key, Body: o.Body, Ref: o.Ref, State: StateReleased, Until: o.Until.Unix()}
	n.slot.submit(request{op: opRelease, rec: rec, reply: func(verdict) { n.table.forget(o.Ref) }})
}

func (w *world) end(t *try, err error) {
	t.done, t.err = true, err
	if ferryoutcome.Of(err) == ferryoutcome.NotRun && t.sent {
		w.fail("%s: answered NotRun after it was sent: %v", t.op, err)
	}
	if rep, ok := err.(*Replay); ok && rep.Outcome == ferryoutcome.Ran && len(w.ran[t.op]) == 0 {
		w.fail("%s: answered Ran and never ran", t.op)
	}
}

// step lets one try go on, if what it waits for has come.
func (w *world) step(t *try, lose bool) {
	if t.done || t.at.dead {
		return
	}
	switch st := t.wait.(type) {
	case submitStep:
		if v := t.verdict; v != nil {
			w.take(t, t.a.onVerdict(v, w.now))
			return
		}
		if t.passedTo != t.at && (lose || t.passedTo.dead) {
			w.writeItself(t, st.req)
		}
	case askStep:
		if t.asked {
			w.take(t, t.a.onAnswer(st.id, t.answer, t.askErr, w.now))
			return
		}
		t.asked = true
		t.answer, t.askErr = w.ask(t.at, st, lose)
	case grantStep:
		w.dispatch(t)
	}
}

func (w *world) ask(from *node, st askStep, lose bool) (Answer, error) {
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

func (w *world) dispatch(t *try) {
	if !t.at.table.dispatch(*t.claim, w.now) {
		if o, ok := t.at.table.release(*t.claim); ok {
			w.release(t.at, o)
		}
		w.end(t, lostRight())
		return
	}
	t.sent = true
	for _, e := range w.ran[t.op] {
		if w.now.Sub(e.at) < worldRetention/2 {
			w.fail("%s: ran twice, at %s and %s", t.op, e.try.at.id, t.at.id)
		}
	}
	w.ran[t.op] = append(w.ran[t.op], execution{w.now, t})
	t.wait = nil
}

func (w *world) finish(t *try) {
	if !t.sent || t.done || t.at.dead {
		return
	}
	w.end(t, &Replay{Outcome: ferryoutcome.Ran})
	o, ok := t.at.table.finish(*t.claim, Result{Outcome: ferryoutcome.Ran, Status: 200, Body: []byte("fed")}, w.now)
	if ok && !o.Ticket {
		r := finishRequest(o)
		r.reply = func(verdict) { t.at.table.forget(o.Ref) }
		t.at.slot.submit(r)
	}
}

func (w *world) cancel(t *try) {
	if t.done || t.sent || t.at.dead {
		return
	}
	if t.claim != nil {
		if o, ok := t.at.table.release(*t.claim); ok {
			w.release(t.at, o)
		}
		w.end(t, notNow(errLost))
		return
	}
	late, v := t.wait.(submitStep)
	got := t.verdict
	w.take(t, t.a.cancelled(errLost))
	if v && got != nil {
		w.settle(t, late.req, got)
	}
}

// io makes or answers the slot's call to the platform.
func (w *world) io(n *node) bool {
	if n.dead {
		return false
	}
	if n.under == nil {
		a, out := n.slot.next(w.now)
		deliver(out)
		if a == nil {
			return len(out) > 0
		}
		n.under = a
		r := slotRunner{core: n.slot, store: w.store, clock: clockwork.NewFakeClock()}
		n.ans = r.do(context.Background(), a)
		return true
	}
	a := n.under
	n.under = nil
	deliver(n.slot.done(w.now, a, n.ans))
	return true
}

// crash ends an incarnation; whatever it alone knew may end Unknown.
func (w *world) crash(i int) {
	n := w.entries[i]
	n.dead = true
	for r := range n.table.ops {
		w.taint(r)
	}
	for _, t := range w.tries {
		if !t.done && t.at == n {
			t.done, t.err = true, errLost
		}
	}
	w.entries[i] = w.newNode()
}

// stop hands over to the best-placed heir; the stopped incarnation may still try to go on.
func (w *world) stop(i int) error {
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
			w.taint(o.Ref)
		case o.Ticket:
		case o.Phase == phaseFinished:
			heir.slot.submit(finishRequest(o))
		case o.Phase == phaseRevoked:
			w.release(heir, o)
		}
	}
	w.entries[i] = w.newNode()
	return err
}

// taint notes that a dead incarnation alone knew what became of a call.
func (w *world) taint(r Ref) {
	for _, t := range w.tries {
		if t.a.mine.Ref == r {
			w.tainted[t.op] = true
		}
	}
}

// settleAll lets everything finish with no more faults.
func (w *world) settleAll() {
	w.store.fault = nil
	w.store.land()
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for i := range w.born {
			for range 4 {
				w.io(w.all[incarnation(i+1)])
			}
		}
		for _, t := range w.tries {
			w.step(t, false)
			w.finish(t)
		}
	}
}
