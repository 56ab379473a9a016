package ferryrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
)

// AskKind is the overlay's kind of question that a Relay asks and answers.
const AskKind ferrypeer.AskKind = 6

const (
	// relayWait is how long a reader may hold one watch: a configuration must be in force 3 s after it was accepted, also past a reader that fell silent.
	relayWait = time.Second
	// askGrace is how much later than its wait a question is answered; links within a failure domain take less than a millisecond.
	askGrace = 400 * time.Millisecond
	// shunFor is how long a reader that did not answer is not asked again; the membership takes about as long to notice a death.
	shunFor = time.Second
	// retestEvery is how often an entry tries the platform by itself after it failed, while a reader says or shows how the platform is.
	retestEvery = 5 * time.Second
	// retestTimeout bounds such a try; the platform answers in milliseconds when it does.
	retestTimeout = 400 * time.Millisecond
	// proofKept is for how long a reader passes its own proof on.
	proofKept = 2500 * time.Millisecond
)

// Reader names the entry to read from.
type Reader struct {
	Name        ferryid.EntryName
	Incarnation ferryid.Incarnation
}

// Source is what of the platform a Relay reads.
type Source interface {
	Get(ctx context.Context, kind, name string) (ferryplatform.Object, error)
	List(ctx context.Context, kind string) (ferryplatform.Changes, error)
	Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error)
}

// Config is what a Relay is made from; all but Log and Scope must be set.
type Config struct {
	Platform Source
	// Clock also counts the time for which the instance is suspended.
	Clock clockwork.Clock
	Log   zerolog.Logger
	Scope tally.Scope
	// Reader returns whom to read from; false means that this entry reads the platform by itself.
	Reader func() (Reader, bool)
	// Ask is the overlay's.
	Ask func(ctx context.Context, name ferryid.EntryName, inc ferryid.Incarnation, kind ferrypeer.AskKind, body []byte) ([]byte, error)
}

// Relay reads objects from another entry or, failing that, from the platform, and answers other entries that do so.
type Relay struct {
	cfg    Config
	counts counts

	mu      sync.Mutex
	mirrors map[string]*mirror
	proofs  map[string]proof
	// failed is since when the platform has not answered this entry, and tried when it was last tried.
	failed, tried time.Time
	shunned       Reader
	shunUntil     time.Time
	through       string
}

// counts are the readings by where they came from.
type counts struct {
	relayed, direct, refused tally.Counter
}

// proof is an object as the platform gave it, and when the call for it began; an object without a name is not there.
type proof struct {
	object ferryplatform.Object
	at     time.Time
}

// LostError says that neither the reader nor, lately, this entry reached the platform.
type LostError struct {
	// Reader is the entry that was asked.
	Reader ferryid.EntryName
}

func (e *LostError) Error() string {
	return fmt.Sprintf("reader %s has lost the platform, and so has this entry", e.Reader)
}

// New returns a relay.
func New(cfg Config) *Relay {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	count := func(from string) tally.Counter {
		return cfg.Scope.Tagged(map[string]string{"from": from}).Counter("platform_readings")
	}
	return &Relay{
		cfg: cfg, counts: counts{relayed: count("entry"), direct: count("platform"), refused: count("none")},
		mirrors: map[string]*mirror{}, proofs: map[string]proof{},
	}
}

// Reached reports whether the platform answered this entry's own last call, or has not been asked.
func (r *Relay) Reached() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed.IsZero()
}

// Reads reports whether this entry reads the platform by itself.
func (r *Relay) Reads() bool {
	_, relayed := r.reader()
	return !relayed
}

// reader returns whom to ask, unless it did not answer a moment ago.
func (r *Relay) reader() (Reader, bool) {
	to, ok := r.cfg.Reader()
	if !ok {
		return Reader{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if to == r.shunned && r.cfg.Clock.Now().Before(r.shunUntil) {
		return Reader{}, false
	}
	return to, true
}

// List returns all objects of a kind.
func (r *Relay) List(ctx context.Context, kind string) (ferryplatform.Changes, error) {
	m := r.mirror(kind)
	a, err := r.ask(ctx, question{Op: opList, Kind: kind})
	if err == nil {
		m.left()
		return a.changes(kind), nil
	}
	if lost := r.rest(err); lost != nil {
		return ferryplatform.Changes{}, lost
	}
	c, err := r.cfg.Platform.List(ctx, kind)
	r.note(ctx, err)
	if err != nil {
		m.lost()
		return c, err
	}
	m.listed(c)
	return c, nil
}

// Watch waits until objects of a kind change after a version, or until the wait is over; an answer of another entry comes after a shorter wait.
func (r *Relay) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	m := r.mirror(kind)
	began := r.cfg.Clock.Now()
	a, err := r.ask(ctx, question{Op: opWatch, Kind: kind, After: after, Wait: min(wait, relayWait)})
	if err == nil {
		m.left()
		if a.Verdict == verdictGone {
			return ferryplatform.Changes{}, &ferryplatform.HistoryGoneError{Kind: kind, After: after}
		}
		return a.changes(kind), nil
	}
	if lost := r.rest(err); lost != nil {
		return ferryplatform.Changes{}, lost
	}
	if _, relayed := r.cfg.Reader(); !relayed && !m.follows(after) {
		// Others are about to read from this entry, which has only a part of the list.
		return ferryplatform.Changes{}, &ferryplatform.HistoryGoneError{Kind: kind, After: after}
	}
	c, err := r.cfg.Platform.Watch(ctx, kind, after, max(wait-r.cfg.Clock.Since(began), 0))
	r.note(ctx, err)
	if err != nil {
		m.lost()
		return c, err
	}
	m.changed(after, c)
	return c, nil
}

// Prove returns the only object of its kind that matters, and a time on the clock at which it was certainly the platform's newest.
func (r *Relay) Prove(ctx context.Context, kind, name string) (ferryplatform.Object, time.Time, error) {
	if r.retest() {
		trying, cancel := clockwork.WithTimeout(ctx, r.cfg.Clock, retestTimeout)
		o, at, err := r.prove(trying, kind, name)
		cancel()
		if err == nil || known(err) {
			return o, at, err
		}
	}
	asked := r.cfg.Clock.Now()
	a, err := r.ask(ctx, question{Op: opProve, Kind: kind, Name: name})
	switch {
	case err == nil && len(a.Objects) == 1:
		return a.changes(kind).Objects[0], asked.Add(-a.Age), nil
	case err == nil:
		return ferryplatform.Object{}, asked.Add(-a.Age), &ferryplatform.NotFoundError{Kind: kind, Name: name}
	}
	if lost := r.rest(err); lost != nil {
		return ferryplatform.Object{}, time.Time{}, lost
	}
	return r.prove(ctx, kind, name)
}

// prove reads an object from the platform and keeps it for those who ask.
func (r *Relay) prove(ctx context.Context, kind, name string) (ferryplatform.Object, time.Time, error) {
	at := r.cfg.Clock.Now()
	o, err := r.cfg.Platform.Get(ctx, kind, name)
	r.note(ctx, err)
	if err != nil && !known(err) {
		return o, at, err
	}
	if err == nil {
		r.mirror(kind).found(o)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proofs[kind+"/"+name] = proof{object: o, at: at}
	return o, at, err
}

// ask asks the reader; the error is errNoReader if there is none or it does not answer, or a *LostError.
func (r *Relay) ask(ctx context.Context, q question) (answer, error) {
	to, ok := r.reader()
	if !ok {
		r.route("platform")
		return answer{}, errNoReader
	}
	a, err := r.put(ctx, to, q)
	switch {
	case err != nil:
		r.shun(to, err)
		return a, errNoReader
	case a.Verdict == verdictLost:
		return a, &LostError{Reader: to.Name}
	case a.Verdict == verdictNotRead:
		return a, errNoReader
	}
	r.route(string(to.Name))
	r.counts.relayed.Inc(1)
	return a, nil
}

// errNoReader says that no other entry answers.
var errNoReader = errors.New("no reader answers")

func (r *Relay) put(ctx context.Context, to Reader, q question) (answer, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.cfg.Clock, q.Wait+askGrace)
	defer cancel()
	body, err := cbor.Marshal(q)
	if err != nil {
		return answer{}, err
	}
	reply, err := r.cfg.Ask(ctx, to.Name, to.Incarnation, AskKind, body)
	if err != nil {
		return answer{}, err
	}
	return decodeAnswer(reply)
}

// shun leaves a reader that did not answer alone for a while.
func (r *Relay) shun(to Reader, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shunned, r.shunUntil = to, r.cfg.Clock.Now().Add(shunFor)
	r.cfg.Log.Info().Err(err).Str("Reader", string(to.Name)).Msg("reader does not answer")
}

// route logs a change of where objects are read from.
func (r *Relay) route(through string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.through != through {
		r.through = through
		r.cfg.Log.Info().Str("Through", through).Msg("platform is read")
	}
}

// rest returns an error where the reader has lost the platform and this entry's own last try is too recent to be repeated.
func (r *Relay) rest(err error) error {
	var lost *LostError
	if !errors.As(err, &lost) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed.IsZero() || r.cfg.Clock.Since(r.tried) >= retestEvery {
		return nil
	}
	r.counts.refused.Inc(1)
	return lost
}

// retest reports whether this entry, which failed to reach the platform, should try again although a reader answers.
func (r *Relay) retest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failed.IsZero() && r.cfg.Clock.Since(r.tried) >= retestEvery
}

// note takes the outcome of a call of this entry's own.
func (r *Relay) note(ctx context.Context, err error) {
	r.counts.direct.Inc(1)
	if err != nil && !known(err) && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried = r.cfg.Clock.Now()
	was := r.failed.IsZero()
	switch {
	case err == nil || known(err):
		r.failed = time.Time{}
	case was:
		r.failed = r.tried
	}
	if now := r.failed.IsZero(); now != was {
		r.cfg.Log.Info().Bool("Reached", now).AnErr("Cause", err).Msg("own calls to the platform")
	}
}

// known reports whether an error is an answer of the platform.
func known(err error) bool {
	var missing *ferryplatform.NotFoundError
	var gone *ferryplatform.HistoryGoneError
	return errors.As(err, &missing) || errors.As(err, &gone)
}

func (r *Relay) mirror(kind string) *mirror {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.mirrors[kind]
	if m == nil {
		m = newMirror(kind, r.cfg.Clock)
		r.mirrors[kind] = m
	}
	return m
}
