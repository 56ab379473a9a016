package ferryclaim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	defaultSlots     = 16
	defaultRetention = 24 * time.Hour
	maxHeirsAsked    = 3
	purgeInterval    = time.Minute
)

// Config configures a Claims; Store, Seal and Self are required.
type Config struct {
	// Self is the incarnation of this process.
	Self  ferryid.Incarnation
	Store ferryplatform.Store
	Seal  *Seal
	Clock clockwork.Clock
	// Asker queries other incarnations; without one, every other incarnation is treated as unreachable.
	Asker Asker
	// Forwarder forwards writes to the owners of slots; without one, every entry writes its own.
	Forwarder Forwarder
	// Live lists the live entries, including this one, from which heirs and slot owners are chosen.
	Live func() []ferryid.Incarnation
	// Slots is the number of journal objects and must be equal on all entries; 0 means 16.
	Slots int
	// Window is how long a slot waits for further requests, to batch them in one write.
	Window time.Duration
}

// Claims grants claims on calls that must not run twice.
type Claims struct {
	cfg     Config
	table   *table
	tickets Tickets
	slots   []*slotRunner
}

// New returns a Claims; keys are granted only while Run runs.
func New(cfg Config) *Claims {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	c := &Claims{cfg: cfg, table: newTable(cfg.Self), tickets: Tickets{cfg.Seal}}
	for i := range cfg.Slots {
		c.slots = append(c.slots, newSlotRunner(cfg, i))
	}
	return c
}

// Run runs the slots until the context is done and returns the context's error.
func (c *Claims) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, s := range c.slots {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Go(func() { c.purge(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (c *Claims) purge(ctx context.Context) {
	t := c.cfg.Clock.NewTicker(purgeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			c.table.purge(c.cfg.Clock.Now())
		}
	}
}

// IssueTicket returns a sealed ticket, which allows one call of the customer to the service
// within TicketLifetime.
func (c *Claims) IssueTicket(cu ferryid.CustomerName, s ferryid.ServiceName) (string, error) {
	t, ok := c.table.issue(Call{Customer: cu, Service: s}, c.cfg.Clock.Now())
	if !ok {
		return "", draining()
	}
	return c.tickets.encode(t)
}

// Begin claims the call and returns the claim, or a *Replay or a *ferryoutcome.Problem as the error.
func (c *Claims) Begin(ctx context.Context, call Call) (*Claim, error) {
	if call.Retention <= 0 {
		call.Retention = defaultRetention
	}
	a := &attempt{t: c.table, call: call, heirsOf: c.heirsOf}
	switch {
	case call.Ticket != "":
		t, err := c.tickets.Open(call.Ticket)
		if err != nil {
			return nil, ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "no ticket of ours").WithCause(err)
		}
		a.ticket = &t
	case call.Key == "" || len(call.Key) > maxKeyBytes:
		return nil, ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun,
			"the idempotency key must have 1 to %d bytes", maxKeyBytes)
	}
	return c.run(ctx, a)
}

// run executes the steps of an attempt until it ends.
func (c *Claims) run(ctx context.Context, a *attempt) (*Claim, error) {
	st := a.start(c.cfg.Clock.Now())
	for {
		switch s := st.(type) {
		case grantStep:
			return &Claim{c: c, ref: s.ref}, nil
		case endStep:
			if s.release != nil {
				c.writeRelease(*s.release)
			}
			return nil, s.err
		case askStep:
			ans, err := c.ask(ctx, s)
			st = a.onAnswer(s.id, ans, err, c.cfg.Clock.Now())
		case submitStep:
			st = c.submit(ctx, a, s.req)
		}
	}
}

func (c *Claims) ask(ctx context.Context, s askStep) (Answer, error) {
	if c.table.owns(s.id) {
		return c.table.answer(s.q), nil
	}
	if c.cfg.Asker == nil {
		return Answer{Kind: AnswerNotAuthoritative}, nil
	}
	return c.cfg.Asker.Ask(ctx, s.id, s.q)
}

func (c *Claims) submit(ctx context.Context, a *attempt, r request) step {
	got := make(chan verdict, 1)
	r.reply = func(v verdict) {
		got <- v
		c.releaseAbandoned(r, v)
	}
	if !c.slot(r.rec.Key).postClaim(ctx, r) {
		return a.onCancel(ctx.Err())
	}
	select {
	case v := <-got:
		return a.onVerdict(v, c.cfg.Clock.Now())
	case <-ctx.Done():
		st := a.onCancel(ctx.Err())
		if len(got) > 0 {
			c.releaseAbandoned(r, <-got)
		}
		return st
	}
}

// releaseAbandoned releases a claim that was granted after its caller had stopped waiting.
func (c *Claims) releaseAbandoned(r request, v verdict) {
	if r.op != opClaim || !c.table.revoked(r.rec.Ref) {
		return
	}
	switch v := v.(type) {
	case granted:
		c.writeRelease(op{Ref: r.rec.Ref, Key: r.rec.Key, Body: r.rec.Body, Until: time.Unix(r.rec.Until, 0)})
	case refused:
		if !v.mayBeWritten {
			c.table.forget(r.rec.Ref)
		}
	case held:
		c.table.forget(r.rec.Ref)
	}
}

func (c *Claims) writeRelease(o op) {
	rec := Record{Key: o.Key, Body: o.Body, Ref: o.Ref, State: StateReleased, Until: o.Until.Unix()}
	c.write(request{op: opRelease, rec: rec})
}

// write posts a request that must not be lost to its slot; the operation is forgotten once it is written.
func (c *Claims) write(r request) {
	r.reply = func(verdict) { c.table.forget(r.rec.Ref) }
	c.slot(r.rec.Key).postUnbounded(r)
}

func (c *Claims) slot(k Digest) *slotRunner {
	return c.slots[c.slotIndex(k)]
}

func (c *Claims) slotIndex(k Digest) int {
	n := uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])
	return int(n % uint32(len(c.slots)))
}

func (c *Claims) heirsOf(id ferryid.Incarnation) []ferryid.Incarnation {
	if c.cfg.Live == nil {
		return nil
	}
	order := HeirOrder(id, c.cfg.Live())
	return order[:min(len(order), maxHeirsAsked)]
}

// Answer answers a question from another entry about a claim or ticket of this incarnation
// or of one whose heir it is.
func (c *Claims) Answer(q Question) Answer {
	return c.table.answer(q)
}

// Flush waits until every outcome and release recorded so far has been written to the platform.
func (c *Claims) Flush(ctx context.Context) error {
	for _, s := range c.slots {
		if err := s.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// HandOver stops all granting here and returns the sealed state for the heir.
// A second call with another heir returns a *HeirError.
func (c *Claims) HandOver(heir ferryid.Incarnation) ([]byte, error) {
	h, err := c.table.close(heir)
	if err != nil {
		return nil, err
	}
	b, err := encMode.Marshal(h)
	if err != nil {
		return nil, err
	}
	return c.cfg.Seal.seal(handOverPurpose, b), nil
}

// TakeOver makes this incarnation the heir of the one that sealed the handover; it is idempotent.
func (c *Claims) TakeOver(sealed []byte) error {
	h, err := decodeHandOver(c.cfg.Seal, sealed)
	if err != nil {
		return err
	}
	ops, err := c.table.takeOver(h)
	if err != nil {
		return err
	}
	for _, o := range ops {
		switch {
		case o.Ticket:
		case o.Phase == phaseFinished:
			c.write(finishRequest(o))
		case o.Phase == phaseRevoked:
			c.writeRelease(o)
		}
	}
	return nil
}
