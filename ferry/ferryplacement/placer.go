package ferryplacement

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// stepInterval is the interval at which the engines' orders are checked.
	stepInterval = 500 * time.Millisecond
	// orderTimeout bounds reading an engine's state and sending one order together.
	orderTimeout = time.Second
	resultBuffer = 256
	// maxOrdersOpen is the number of orders that one placer sends at once; the first placement of a large
	// fleet has an order for each engine, and an entry has a few thousand descriptors.
	maxOrdersOpen = 128
)

// State is an engine's report of its state.
type State struct {
	Layers ferryid.LayerRange
	// Orders is the number of orders that the engine has begun since its start.
	Orders uint64
	// Busy is set while an order is in progress.
	Busy bool
	// Pace is the slowdown relative to the nominal speed of the engine's accelerator; 1 is nominal.
	Pace float64
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Used and Room are the used and the total memory for requests, in tokens times layers.
	Used, Room int64
}

// PlaceOrder orders an engine to hold a range of layers and no others.
type PlaceOrder struct {
	Layers ferryid.LayerRange
	Fence  ferryid.Fence
	// Expected is the number of orders that the engine must have begun; otherwise it refuses the order.
	Expected uint64
}

// RefusedError is returned if an engine certainly did not begin an order.
type RefusedError struct {
	Engine string
	Reason string
}

func (e *RefusedError) Error() string {
	return "engine " + e.Engine + " refused the order: " + e.Reason
}

// Engines is the client of the engines' placement interface.
type Engines interface {
	State(ctx context.Context, u *ferrydiscovery.Upstream) (State, error)
	// Place sends an order. It returns nil if the order has begun or is done, a *RefusedError if it
	// certainly has not, and another error if the outcome is unknown.
	Place(ctx context.Context, u *ferrydiscovery.Upstream, o PlaceOrder) error
}

// Lease reports whether this entry may send orders, under which fencing number and until when.
type Lease interface {
	Check() (ferryid.Fence, time.Time, error)
}

// Config configures a Placer. All fields are required.
type Config struct {
	Engines Engines
	Lease   Lease
	Clock   clockwork.Clock
	Log     zerolog.Logger
}

// Placer sends the orders that move the engines of one service to the planned placement, while
// its entry holds the lease.
type Placer struct {
	cfg     Config
	core    *Core
	input   chan input
	results chan result
	// open holds a token for each order being sent.
	open chan struct{}
}

// input is the latest model and engines.
type input struct {
	model  *ferryconfig.Model
	demand MemoryDemand
	list   []*ferrydiscovery.Upstream
}

// result is the outcome of one order.
type result struct {
	send    Send
	outcome OrderOutcome
}

// New returns a placer; Run starts it.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, core: NewCore(), input: make(chan input, 1), results: make(chan result, resultBuffer), open: make(chan struct{}, maxOrdersOpen)}
}

// Set replaces the model, the expected demand and the engines. It never blocks; an input that was not processed yet is replaced.
func (p *Placer) Set(m *ferryconfig.Model, d MemoryDemand, list []*ferrydiscovery.Upstream) {
	in := input{model: m, demand: d, list: list}
	for {
		select {
		case p.input <- in:
			return
		default:
		}
		select {
		case <-p.input:
		default:
		}
	}
}

// Run sends orders until the context ends.
func (p *Placer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-p.input:
			p.core.Set(in.model, in.demand, in.list, p.cfg.Clock.Now())
		case r := <-p.results:
			p.core.RecordOutcome(r.send, r.outcome, p.cfg.Clock.Now())
			continue
		case <-p.wait():
		}
		p.step(ctx)
	}
}

// wait returns the timer of the next check.
func (p *Placer) wait() <-chan time.Time {
	return p.cfg.Clock.After(stepInterval)
}

func (p *Placer) step(ctx context.Context) {
	if _, _, err := p.cfg.Lease.Check(); err != nil {
		return
	}
	for _, s := range p.core.Next(p.cfg.Clock.Now()) {
		go p.sendInTurn(ctx, s)
	}
}

// sendInTurn sends an order once fewer than maxOrdersOpen are being sent, and passes on its outcome.
func (p *Placer) sendInTurn(ctx context.Context, s Send) {
	select {
	case p.open <- struct{}{}:
	case <-ctx.Done():
		return
	}
	r := result{send: s, outcome: p.sendOrder(ctx, s)}
	<-p.open
	select {
	case p.results <- r:
	case <-ctx.Done():
	}
}

// sendOrder sends one order with the number of orders that the engine has begun, and returns its outcome.
func (p *Placer) sendOrder(ctx context.Context, s Send) OrderOutcome {
	ctx, cancel := clockwork.WithTimeout(ctx, p.cfg.Clock, orderTimeout)
	defer cancel()
	log := p.cfg.Log.With().Str("Engine", s.Upstream.Name).Stringer("Layers", s.Layers).Logger()
	if s.Upstream.Deferred(p.cfg.Clock.Now()) {
		log.Info().Time("Until", s.Upstream.RetryAt()).Msg("engine wants no requests now; order not sent")
		return Refused
	}
	state, err := p.cfg.Engines.State(ctx, s.Upstream)
	switch {
	case err != nil:
		log.Info().Err(err).Msg("could not read the engine's state; order not sent")
		return Refused
	case state.Layers == s.Layers:
		return Begun
	case state.Busy:
		log.Info().Stringer("Held", state.Layers).Msg("another order is in progress on the engine; order not sent")
		return Refused
	}
	fence, _, err := p.cfg.Lease.Check()
	if err != nil {
		log.Info().Err(err).Msg("order not sent: no valid lease")
		return Refused
	}
	err = p.cfg.Engines.Place(ctx, s.Upstream, PlaceOrder{Layers: s.Layers, Fence: fence, Expected: state.Orders})
	var refused *RefusedError
	switch {
	case err == nil:
		log.Info().Uint64("Fence", uint64(fence)).Uint64("Expected", state.Orders).Stringer("Held", state.Layers).Msg("engine has begun the order")
		return Begun
	case errors.As(err, &refused):
		log.Info().Err(err).Msg("engine refused the order")
		return Refused
	}
	log.Warn().Err(err).Uint64("Expected", state.Orders).Msg("no answer to the order; outcome unknown, will repeat it")
	return Unknown
}
