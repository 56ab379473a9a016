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

// AskKind is the overlay's request kind of relay reads. It was 6 while versions had no epoch: entries of that time must not
// compare theirs with those of later ones.
const AskKind ferrypeer.AskKind = 8

const (
	// askGrace is the time allowed for an answer to a list or a proof beyond the wait of its request. Links within a
	// failure domain take less than a millisecond.
	askGrace = 400 * time.Millisecond
	// excludeFor is how long a reader that did not answer is not asked. The membership protocol takes about as
	// long to detect its failure.
	excludeFor = time.Second
	// directRetryTimeout bounds such a direct call. A reachable platform answers within milliseconds.
	directRetryTimeout = 400 * time.Millisecond
	// listCalls is how many times as long as another call a list may take, which is read in pages.
	listCalls = 2
	// directGrace is the time allowed for a direct watch beyond its wait.
	directGrace = 700 * time.Millisecond
	// startWait is how long a reader that has not read yet may take to answer an entry that starts. All entries of a
	// fleet start together, and each that does not wait calls the platform itself.
	startWait = 600 * time.Millisecond
	// proofMaxAge is the age up to which a reader passes on its own proof.
	proofMaxAge = 2500 * time.Millisecond
)

// Reader identifies the entry to read from.
type Reader struct {
	Name        ferryid.EntryName
	Incarnation ferryid.Incarnation
}

// Source is the part of the platform's interface that a Relay uses.
type Source interface {
	Get(ctx context.Context, kind, name string) (ferryplatform.Object, error)
	List(ctx context.Context, kind string) (ferryplatform.Changes, error)
	Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error)
	// Renew makes later calls use new connections.
	Renew()
	// Epoch returns the latest epoch that the platform has stated; false means that it has stated none.
	Epoch() (ferryplatform.Epoch, bool)
}

// Config configures a Relay. All fields but Log, Scope, Within and InForce are required.
type Config struct {
	Platform Source
	// Clock must include the time for which the instance is suspended.
	Clock clockwork.Clock
	Log   zerolog.Logger
	Scope tally.Scope
	// Reader returns the entry to read from; false means that this entry reads from the platform directly.
	Reader func() (Reader, bool)
	// Within returns the time within which changes to a kind must be known here; zero means the default of 2 s.
	Within func(kind string) time.Duration
	// InForce returns an object that this entry has in force, also if the platform holds another one; nil means none.
	InForce func(kind, name string) (ferryplatform.Object, bool)
	// Ask sends a request over the overlay.
	Ask func(ctx context.Context, name ferryid.EntryName, inc ferryid.Incarnation, kind ferrypeer.AskKind, body []byte) ([]byte, error)
}

// Relay reads objects from another entry or, if that fails, from the platform, and answers
// such reads of other entries.
type Relay struct {
	cfg    Config
	counts counts

	mu      sync.Mutex
	mirrors map[string]*mirror
	proofs  map[string]proof
	// views holds, by kind, the time at which what this entry knows was last certainly current, and lastGets when a
	// direct read of a single object last proved that.
	views, lastGets map[string]time.Time
	// failingSince is the time since which direct calls have failed, zero if they succeed; lastDirect is
	// the time of the last one.
	failingSince, lastDirect time.Time
	// epoch is the epoch of the platform as last recorded; epochKnown is set once it has stated one.
	epoch         ferryplatform.Epoch
	epochKnown    bool
	excluded      Reader
	excludedUntil time.Time
	source        string
	// behind maps the kinds whose reader has not proved them current in time to that reader.
	behind map[string]ferryid.EntryName
	// relayed holds the operations and kinds for which another entry has answered.
	relayed map[relayedKey]bool
	// directWatches holds the functions that end the waiting direct watches.
	directWatches map[*directWatch]context.CancelCauseFunc
}

// relayedKey identifies what another entry has answered.
type relayedKey struct {
	op   operation
	kind string
}

// directWatch identifies a waiting direct watch.
type directWatch struct{ kind string }

// counts are the numbers of reads by their source.
type counts struct {
	relayed, direct, refused, behind, hedged, restored tally.Counter
}

// proof is an object as read from the platform and the start of that read. An object
// without a name does not exist.
type proof struct {
	object ferryplatform.Object
	at     time.Time
}

// LostError is returned if the reader has lost the platform and a direct call has failed lately as well.
type LostError struct {
	// Reader is the entry that was asked.
	Reader ferryid.EntryName
	// Age is the age of the reader's proof, zero if it reported the loss itself.
	Age time.Duration
}

func (e *LostError) Error() string {
	if e.Age > 0 {
		return fmt.Sprintf("reader %s last proved its objects current %s ago, and this entry has lost the platform", e.Reader, e.Age)
	}
	return fmt.Sprintf("reader %s has lost the platform, and so has this entry", e.Reader)
}

// New returns a relay.
func New(cfg Config) *Relay {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Within == nil {
		cfg.Within = func(string) time.Duration { return 0 }
	}
	count := func(from string) tally.Counter {
		return cfg.Scope.Tagged(map[string]string{"from": from}).Counter("platform_readings")
	}
	return &Relay{
		cfg: cfg, counts: counts{relayed: count("entry"), direct: count("platform"), refused: count("none"), behind: cfg.Scope.Counter("platform_readers_behind"), hedged: cfg.Scope.Counter("platform_calls_repeated"), restored: cfg.Scope.Counter("platform_restores")},
		mirrors: map[string]*mirror{}, proofs: map[string]proof{}, views: map[string]time.Time{}, lastGets: map[string]time.Time{}, behind: map[string]ferryid.EntryName{}, relayed: map[relayedKey]bool{}, directWatches: map[*directWatch]context.CancelCauseFunc{},
	}
}

// PlatformReachable reports whether the last direct call to the platform was answered; also true before the
// first.
func (r *Relay) PlatformReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failingSince.IsZero()
}

// ReadsDirectly reports whether this entry reads from the platform directly.
func (r *Relay) ReadsDirectly() bool {
	_, relayed := r.reader()
	return !relayed
}

// reader returns the entry to read from, unless it did not answer lately.
func (r *Relay) reader() (Reader, bool) {
	to, ok := r.cfg.Reader()
	if !ok {
		return Reader{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if to == r.excluded && r.cfg.Clock.Now().Before(r.excludedUntil) {
		return Reader{}, false
	}
	return to, true
}

// List returns all objects of a kind.
func (r *Relay) List(ctx context.Context, kind string) (ferryplatform.Changes, error) {
	m := r.mirror(kind)
	wait := r.readerWait(opList, kind)
	a, err := r.ask(ctx, question{Op: opList, Kind: kind, Wait: wait}, wait+askGrace)
	if err == nil {
		m.reset()
		r.recordView(kind, a.provedAt)
		return a.changes(kind), nil
	}
	if lost := r.lostUntilRetry(kind, err); lost != nil {
		return ferryplatform.Changes{}, lost
	}
	if !r.PlatformReachable() {
		// The next call finds the way that works again.
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, r.cfg.Clock, r.budget(kind).stale)
		defer cancel()
	}
	v, err := hedge(ctx, r, listCalls*r.budget(kind).call, func(ctx context.Context, _ bool) (view, error) {
		at := r.cfg.Clock.Now()
		c, err := r.cfg.Platform.List(ctx, kind)
		return view{c, at}, err
	})
	r.recordDirect(ctx, err)
	if err != nil {
		m.markStale()
		return v.changes, err
	}
	m.replace(v.changes, v.at)
	r.recordView(kind, v.at)
	return v.changes, nil
}

// Watch waits until objects of a kind change after a version, or until the wait is over.
//
// A watch through another entry returns with that entry's next proof at the latest. If that does not come in time, the
// platform is called directly.
func (r *Relay) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	m := r.mirror(kind)
	began := r.cfg.Clock.Now()
	b := r.budget(kind)
	patience := min(wait, b.patience(r.viewAge(kind)))
	a, err := r.ask(ctx, question{Op: opWatch, Kind: kind, After: after, Wait: patience}, patience+b.hop)
	if err == nil {
		m.reset()
		if a.Status == statusHistoryGone {
			return ferryplatform.Changes{}, &ferryplatform.HistoryGoneError{Kind: kind, After: after}
		}
		r.recordView(kind, a.provedAt)
		return a.changes(kind), nil
	}
	if lost := r.lostUntilRetry(kind, err); lost != nil {
		return ferryplatform.Changes{}, lost
	}
	return r.watchDirectly(ctx, kind, after, max(wait-r.cfg.Clock.Since(began), 0))
}

// watchDirectly watches the platform. It returns without changes as soon as another entry can be read from: the
// connection of a long watch may be silent while the reader's is not.
func (r *Relay) watchDirectly(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	m := r.mirror(kind)
	_, relayed := r.cfg.Reader()
	if !relayed && !m.canApply(after) {
		// Other entries will read from this one, which holds only a part of the list.
		return ferryplatform.Changes{}, &ferryplatform.HistoryGoneError{Kind: kind, After: after}
	}
	if relayed || !r.provedByGet(kind) {
		wait = min(wait, max(0, r.budget(kind).proof-r.viewAge(kind)))
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.cfg.Clock, wait+directGrace)
	defer cancel()
	ctx, end := r.untilRelayed(ctx, kind)
	defer end()
	v, err := hedge(ctx, r, wait+r.budget(kind).call, func(ctx context.Context, again bool) (view, error) {
		if again {
			return r.watchPlatform(ctx, kind, after, 0)
		}
		return r.watchPlatform(ctx, kind, after, wait)
	})
	if err != nil && errors.Is(context.Cause(ctx), errReaderAnswers) {
		return ferryplatform.Changes{Version: after}, nil
	}
	r.recordDirect(ctx, err)
	if err != nil {
		m.markStale()
		return v.changes, err
	}
	m.apply(after, v.changes, v.at)
	r.recordView(kind, v.at)
	return v.changes, nil
}

// view is what the platform answered to a list or watch, and when that was certainly current.
type view struct {
	changes ferryplatform.Changes
	at      time.Time
}

func (r *Relay) watchPlatform(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (view, error) {
	at := r.cfg.Clock.Now()
	c, err := r.cfg.Platform.Watch(ctx, kind, after, wait)
	if len(c.Objects) == 0 && r.cfg.Clock.Since(at) >= wait {
		// The platform answers without changes only once the wait is over.
		at = at.Add(wait)
	}
	return view{c, at}, err
}

// errReaderAnswers ends direct watches when reads go through another entry again.
var errReaderAnswers = errors.New("reads go through another entry")

// untilRelayed returns a context that ends with errReaderAnswers when reads go through another entry again.
func (r *Relay) untilRelayed(ctx context.Context, kind string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &directWatch{kind: kind}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directWatches[w] = cancel
	return ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.directWatches, w)
		cancel(nil)
	}
}

// Prove returns an object, the only relevant one of its kind, and a time on Config.Clock at which it was
// certainly current.
func (r *Relay) Prove(ctx context.Context, kind, name string) (ferryplatform.Object, time.Time, error) {
	if r.retryDue(kind) {
		directCtx, cancel := clockwork.WithTimeout(ctx, r.cfg.Clock, directRetryTimeout)
		o, at, err := r.prove(directCtx, kind, name)
		cancel()
		if err == nil || isAnswer(err) {
			return o, at, err
		}
	}
	wait := r.readerWait(opProve, kind)
	a, err := r.ask(ctx, question{Op: opProve, Kind: kind, Name: name, Wait: wait}, wait+askGrace)
	switch {
	case err == nil && len(a.Objects) == 1:
		return a.changes(kind).Objects[0], a.provedAt, nil
	case err == nil:
		return ferryplatform.Object{}, a.provedAt, &ferryplatform.NotFoundError{Kind: kind, Name: name}
	}
	if lost := r.lostUntilRetry(kind, err); lost != nil {
		return ferryplatform.Object{}, time.Time{}, lost
	}
	return r.prove(ctx, kind, name)
}

// prove reads an object from the platform directly and keeps the proof for other entries.
func (r *Relay) prove(ctx context.Context, kind, name string) (ferryplatform.Object, time.Time, error) {
	p, err := hedge(ctx, r, r.budget(kind).call, func(ctx context.Context, _ bool) (proof, error) {
		at := r.cfg.Clock.Now()
		o, err := r.cfg.Platform.Get(ctx, kind, name)
		return proof{o, at}, err
	})
	r.recordDirect(ctx, err)
	if err != nil && !isAnswer(err) {
		return p.object, p.at, err
	}
	if err == nil {
		r.mirror(kind).applyObject(p.object, p.at)
		r.recordView(kind, p.at)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proofs[kind+"/"+name] = p
	r.lastGets[kind] = p.at
	return p.object, p.at, err
}

// ask sends a question to the reader. The error is errNoReader if there is none or it does
// not answer, or a *LostError, also if the reader's objects may be too old.
func (r *Relay) ask(ctx context.Context, q question, timeout time.Duration) (answer, error) {
	to, ok := r.reader()
	if !ok {
		r.logSource("platform")
		return answer{}, errNoReader
	}
	asked := r.cfg.Clock.Now()
	a, err := r.send(ctx, to, q, timeout)
	now := r.cfg.Clock.Now()
	a.provedAt = asked.Add(-a.Age)
	if a.provedAt.After(now) {
		a.provedAt = now
	}
	age := now.Sub(a.provedAt)
	switch {
	case err != nil && ctx.Err() != nil:
		return a, context.Cause(ctx)
	case err != nil:
		r.exclude(to, err)
		return a, errNoReader
	case a.Status == statusPlatformLost:
		return a, &LostError{Reader: to.Name}
	case a.Status == statusNotRead:
		return a, errNoReader
	case a.Status == statusOK && age >= r.budget(q.Kind).stale && (q.Op != opProve || !r.hasView(q.Kind)):
		// An old proof is of use only to an entry that knows the kind: an object that old would be put in force here.
		r.counts.behind.Inc(1)
		r.logBehind(to.Name, q.Kind, age)
		return a, &LostError{Reader: to.Name, Age: age}
	}
	r.recordAnswer(to.Name, q.Kind)
	r.logSource(string(to.Name))
	r.recordRelayed(to.Name, relayedKey{q.Op, q.Kind})
	r.counts.relayed.Inc(1)
	return a, nil
}

// readerWait returns how long the reader may wait for its own first read before it answers. It reads each kind and each
// proof on its own, so that one may be known before the other.
func (r *Relay) readerWait(op operation, kind string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relayed[relayedKey{op, kind}] {
		return 0
	}
	return startWait
}

// errNoReader is returned if no other entry can be read from.
var errNoReader = errors.New("no relay reader available")

func (r *Relay) send(ctx context.Context, to Reader, q question, timeout time.Duration) (answer, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.cfg.Clock, timeout)
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

// exclude stops reads from a reader that did not answer, for excludeFor.
func (r *Relay) exclude(to Reader, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excluded, r.excludedUntil = to, r.cfg.Clock.Now().Add(excludeFor)
	r.cfg.Log.Info().Err(err).Str("Reader", string(to.Name)).Msg("relay reader did not answer; not asking it for a while")
}

// logSource logs a change of the source that objects are read from.
func (r *Relay) logSource(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.source != source {
		r.source = source
		r.cfg.Log.Info().Str("Through", source).Msg("source of platform reads changed")
	}
}

// recordRelayed records that the reader answers, and ends the waiting direct watches.
func (r *Relay) recordRelayed(reader ferryid.EntryName, what relayedKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayed[what] = true
	for w, cancel := range r.directWatches {
		r.cfg.Log.Info().Str("Kind", w.kind).Str("Reader", string(reader)).Msg("direct watch ended: the reader answers")
		cancel(errReaderAnswers)
		delete(r.directWatches, w)
	}
}

// lostUntilRetry returns the error if the reader has lost the platform and the last direct call failed
// too recently to be retried.
func (r *Relay) lostUntilRetry(kind string, err error) error {
	var lost *LostError
	if !errors.As(err, &lost) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() || r.cfg.Clock.Since(r.lastDirect) >= r.budget(kind).retry {
		return nil
	}
	r.counts.refused.Inc(1)
	return lost
}

// retryDue reports whether a direct call is due after a failed one, although a reader may answer.
func (r *Relay) retryDue(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failingSince.IsZero() && r.cfg.Clock.Since(r.lastDirect) >= r.budget(kind).retry
}

// recordDirect records the outcome of a direct call.
func (r *Relay) recordDirect(ctx context.Context, err error) {
	r.counts.direct.Inc(1)
	r.recordEpoch()
	if err != nil && !isAnswer(err) && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	if err != nil && !isAnswer(err) {
		r.cfg.Platform.Renew()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDirect = r.cfg.Clock.Now()
	wasReachable := r.failingSince.IsZero()
	switch {
	case err == nil || isAnswer(err):
		r.failingSince = time.Time{}
	case wasReachable:
		r.failingSince = r.lastDirect
	}
	if reachable := r.failingSince.IsZero(); reachable != wasReachable {
		r.cfg.Log.Info().Bool("Reached", reachable).AnErr("Cause", err).Msg("reachability of the platform by direct calls changed")
	}
}

// isAnswer reports whether an error is an answer of the platform rather than a failure.
func isAnswer(err error) bool {
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
