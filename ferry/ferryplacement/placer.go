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
	// stepEvery is how often orders under way are looked at while this entry gives them.
	stepEvery = 500 * time.Millisecond
	// orderTimeout bounds one reading of an engine's state and one order.
	orderTimeout = time.Second
	resultRing   = 256
)

// State is what an engine says of itself.
type State struct {
	Layers ferryid.LayerRange
	// Orders counts the orders that it has begun since its start.
	Orders uint64
	// Busy says that an order is in progress.
	Busy bool
	// Pace is above 1 while the engine is slower than its kind.
	Pace float64
	// Running and Waiting count requests.
	Running, Waiting int
	// Used and Room are memory for requests, in tokens times layers.
	Used, Room int64
}

// PlaceOrder asks an engine to hold a range of layers and no others.
type PlaceOrder struct {
	Layers ferryid.LayerRange
	Fence  ferryid.Fence
	// Expected is how many orders the engine must have begun; with another number the order does not fit.
	Expected uint64
}

// RefusedError says that an engine certainly did not begin an order.
type RefusedError struct {
	Engine string
	Reason string
}

func (e *RefusedError) Error() string {
	return "engine " + e.Engine + " refused the order: " + e.Reason
}

// Engines speaks to engines.
type Engines interface {
	State(ctx context.Context, u *ferrydiscovery.Upstream) (State, error)
	// Place returns nil once the order has begun or is done, a *RefusedError if it certainly has not, and another error if that is not known.
	Place(ctx context.Context, u *ferrydiscovery.Upstream, o PlaceOrder) error
}

// Tenure says whether this entry may give orders now, and under which fencing number.
type Tenure interface {
	Check() (ferryid.Fence, time.Time, error)
}

// Config is what a Placer needs; all must be set.
type Config struct {
	Engines Engines
	Tenure  Tenure
	Clock   clockwork.Clock
	Log     zerolog.Logger
}

// Placer brings the engines of one service to where the plan wants them, while its entry may give orders.
type Placer struct {
	cfg     Config
	core    *Core
	input   chan input
	results chan result
}

// input is the newest model and engines.
type input struct {
	model *ferryconfig.Model
	list  []*ferrydiscovery.Upstream
}

// result is what came of one order.
type result struct {
	send   Send
	answer Answer
}

// New returns a placer that does nothing until Run.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, core: NewCore(), input: make(chan input, 1), results: make(chan result, resultRing)}
}

// Set takes the model and the engines as they are now; it never blocks, and an input not yet looked at is replaced.
func (p *Placer) Set(m *ferryconfig.Model, list []*ferrydiscovery.Upstream) {
	in := input{model: m, list: list}
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

// Run gives orders until the context ends.
func (p *Placer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-p.input:
			p.core.Set(in.model, in.list, p.cfg.Clock.Now())
		case r := <-p.results:
			p.core.Answered(r.send, r.answer, p.cfg.Clock.Now())
			continue
		case <-p.wait():
		}
		p.step(ctx)
	}
}

// wait ticks only while this entry may give orders.
func (p *Placer) wait() <-chan time.Time {
	return p.cfg.Clock.After(stepEvery)
}

func (p *Placer) step(ctx context.Context) {
	if _, _, err := p.cfg.Tenure.Check(); err != nil {
		return
	}
	for _, s := range p.core.Next(p.cfg.Clock.Now()) {
		go func() {
			r := result{send: s, answer: p.order(ctx, s)}
			select {
			case p.results <- r:
			case <-ctx.Done():
			}
		}()
	}
}

// order gives one order, bound to the number of orders that the engine has begun, and says what came of it.
func (p *Placer) order(ctx context.Context, s Send) Answer {
	ctx, cancel := clockwork.WithTimeout(ctx, p.cfg.Clock, orderTimeout)
	defer cancel()
	log := p.cfg.Log.With().Str("Engine", s.Upstream.Name).Stringer("Layers", s.Layers).Logger()
	state, err := p.cfg.Engines.State(ctx, s.Upstream)
	switch {
	case err != nil:
		log.Info().Err(err).Msg("engine's state not read")
		return Refused
	case state.Layers == s.Layers:
		return Begun
	case state.Busy:
		log.Info().Stringer("Held", state.Layers).Msg("engine is busy with an order")
		return Refused
	}
	fence, _, err := p.cfg.Tenure.Check()
	if err != nil {
		log.Info().Err(err).Msg("order not given")
		return Refused
	}
	err = p.cfg.Engines.Place(ctx, s.Upstream, PlaceOrder{Layers: s.Layers, Fence: fence, Expected: state.Orders})
	var refused *RefusedError
	switch {
	case err == nil:
		log.Info().Uint64("Fence", uint64(fence)).Uint64("Expected", state.Orders).Stringer("Held", state.Layers).Msg("order begun")
		return Begun
	case errors.As(err, &refused):
		log.Info().Err(err).Msg("order refused")
		return Refused
	}
	log.Warn().Err(err).Uint64("Expected", state.Orders).Msg("order without an answer")
	return Unknown
}
