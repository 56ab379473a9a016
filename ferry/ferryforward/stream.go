package ferryforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypath"
)

const (
	// eventWait is how long a run of a single upstream may be silent before another is tried, where one may be: callers leave after 2 s.
	eventWait = 1300 * time.Millisecond
	// maxSends bounds the upstreams that one stream is sent to, those that died among them.
	maxSends = 5
	// maxRefusals bounds the upstreams without room that one stream is offered to: where two have none, others need what is left more.
	maxRefusals = 2
	// patience is how long a stream that has begun may wait for another run, and patiencePause the time between two tries: callers leave after 2 s.
	patience      = 1500 * time.Millisecond
	patiencePause = 100 * time.Millisecond
	// eventBytes is the first size of the buffer for events; longer ones make it grow up to maxEventBytes.
	eventBytes    = 2 << 10
	maxEventBytes = 1 << 20
)

// streaming is one stream to a caller, over all the runs that it takes.
type streaming struct {
	*Forwarder
	r    *request
	out  *ferryingress.Stream
	last position
	buf  []byte
	// refusals counts the upstreams that had no room, and stuck says that there was no way or no budget for the last attempt.
	refusals int
	stuck    bool
	// events counts what was passed on; first, latest and longest are when the first came, when the last one did, and the longest pause.
	events        int
	first, latest time.Time
	longest       time.Duration
}

// stream sends a request to one way after another until its stream is complete.
func (f *Forwarder) stream(ctx context.Context, r *request) {
	s := &streaming{Forwarder: f, r: r, last: newPosition(r.After)}
	var last *ferryoutcome.Problem
	for sends := 0; ; sends++ {
		p, over := s.attempt(ctx, sends)
		if over {
			return
		}
		if p != nil {
			last = p
		}
		if ctx.Err() != nil || !s.mayGoOn() || !s.goOn(ctx, sends) {
			s.giveUp(ctx, last)
			return
		}
		f.metrics.sentAgain(r.service.name, string(last.Kind))
	}
}

// attempt makes one run, if there is a way for it and budget. It returns the problem that came of it, and true once the caller has all it will get.
func (s *streaming) attempt(ctx context.Context, sends int) (*ferryoutcome.Problem, bool) {
	w, none := s.pickWay(s.r)
	if none != nil {
		s.stuck = true
		if sends > 0 {
			return nil, false
		}
		return none, false
	}
	if s.r.arrived > 0 && !s.mayRepeat(s.r) {
		cancelled(w)
		s.stuck = true
		return nil, false
	}
	s.stuck = false
	p := s.run(ctx, w)
	return p, p == nil
}

// goOn reports whether another attempt should be made. A stream that has begun waits a little for room and budget, as long as its
// caller does not notice more than a pause; one that has not is refused at once where nothing is free.
func (s *streaming) goOn(ctx context.Context, sends int) bool {
	if !s.stuck && sends+1 < maxSends && s.refusals <= maxRefusals {
		return true
	}
	if s.out == nil || s.cfg.Clock.Since(s.latest) > patience {
		return false
	}
	s.r.full = nil
	s.refusals = 0
	select {
	case <-ctx.Done():
		return false
	case <-s.cfg.Clock.After(patiencePause):
		return true
	}
}

// mayGoOn reports whether another run may begin or continue the stream.
func (s *streaming) mayGoOn() bool {
	if s.out == nil {
		return s.r.mayRunAgain()
	}
	return s.r.route.Repeat == ferryconfig.RepeatFromEvent && s.r.mayRunAgain()
}

// giveUp ends the stream without its end: by a problem while nothing was passed on, else by breaking the connection off.
func (s *streaming) giveUp(ctx context.Context, last *ferryoutcome.Problem) {
	if s.out == nil {
		s.Forwarder.giveUp(ctx, s.r, last, nil)
		return
	}
	msg := "stream broken off"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ferryingress.ErrCallerLeft):
		msg = "the caller left"
	case errors.Is(cause, context.Canceled):
		msg = "stream broken off: this process ends"
	}
	s.log.Warn().Str("Request", string(s.r.ID)).Int("Events", s.events).Int("Ran", s.r.ran).AnErr("Cause", last.Cause).Msg(msg)
}

// run sends the request over one way and passes its events on; it returns nil once the caller has all it will get.
func (s *streaming) run(ctx context.Context, w way) *ferryoutcome.Problem {
	r := s.r
	o := Outgoing{Instance: w.first().Name, Wait: r.left(s.cfg.Clock.Now()), Customer: r.customer, After: s.last.id}
	if c, ok := w.(chain); ok {
		o.Path = c.run.Path()
	}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := func() {}
	if c, ok := w.(chain); ok {
		dog := s.watch(c.run, cancel)
		defer dog.stop()
		progress = dog.progress
	} else if s.mayRestart() {
		timer := s.cfg.Clock.AfterFunc(eventWait, func() { cancel(errStalled) })
		defer timer.Stop()
		progress = func() { timer.Reset(eventWait) }
	}
	a, err := s.cfg.Client.Do(waiting, w.first().Address, r.outgoing(s.cfg.Dialect, o))
	if err != nil {
		return s.failed(ctx, w, err)
	}
	defer a.Close()
	v := s.cfg.Dialect.Judge(a.Status, a.Header)
	r.arrived++
	switch {
	case v.Refused():
		return s.refused(w, a.Status, v)
	case a.Status/100 != 2:
		return s.status(ctx, w, a)
	case !v.Signed || a.Header.Get("Content-Encoding") != "":
		return s.broken(ctx, w, errUnsigned)
	}
	err = s.relay(a, progress)
	switch {
	case err == nil:
		done(w)
		s.logDone(w)
		s.metrics.answered(r.service.name, a.Status, s.cfg.Clock.Since(r.call.At))
		return nil
	case errors.Is(err, errCaller):
		cancelled(w)
		s.log.Info().Str("Request", string(r.ID)).Int("Events", s.events).Err(err).Msg("the caller left")
		return nil
	}
	return s.broken(ctx, w, err)
}

var (
	// errStalled says that a run made no progress.
	errStalled = errors.New("the run made no progress")
	// errCaller says that the caller takes nothing any more.
	errCaller = errors.New("the caller's connection is gone")
)

// relay passes whole events on until the upstream's answer is complete.
func (s *streaming) relay(a *ferryexchange.Answer, progress func()) error {
	if s.buf == nil {
		s.buf = make([]byte, eventBytes)
	}
	n := 0
	for {
		if n == len(s.buf) {
			if n >= maxEventBytes {
				return errors.New("an event is too long")
			}
			s.buf = append(s.buf, make([]byte, n)...)
		}
		m, err := a.Read(s.buf[n:])
		n += m
		whole, rest := splitEvents(s.buf[:n])
		if len(whole) > 0 {
			progress()
			if err := s.pass(a, whole); err != nil {
				return err
			}
			n = copy(s.buf, rest)
		}
		switch {
		case errors.Is(err, io.EOF) && n > 0:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return s.end(a)
		case err != nil:
			return err
		}
	}
}

// pass writes events to the caller, but for those that it has already.
func (s *streaming) pass(a *ferryexchange.Answer, whole []byte) error {
	from, events := whole, whole
	for len(events) > 0 {
		event, rest := nextEvent(events)
		if s.last.advance(eventID(event)) {
			s.events++
			events = rest
			continue
		}
		from = rest
		events = rest
	}
	if len(from) == 0 {
		return nil
	}
	if err := s.open(a); err != nil {
		return err
	}
	if _, err := s.out.Write(from); err != nil {
		return errors.Join(errCaller, err)
	}
	s.passed(s.cfg.Clock.Now())
	return nil
}

// passed notes when events were passed on.
func (s *streaming) passed(now time.Time) {
	if s.first.IsZero() {
		s.first = now
		s.metrics.firstEvent(s.r.service.name, now.Sub(s.r.call.At))
	} else {
		s.longest = max(s.longest, now.Sub(s.latest))
	}
	s.latest = now
}

// logDone writes how the stream went; late ones stand out.
func (s *streaming) logDone(w way) {
	r := s.r
	ev := s.answers.Info()
	first := s.first.Sub(r.call.At)
	if (r.route.Objective > 0 && first > r.route.Objective) || (r.route.GapObjective > 0 && s.longest > r.route.GapObjective) {
		ev = s.log.Info().Bool("Late", true)
	}
	if c, ok := w.(chain); ok {
		ev.Int64("ReportAge", c.run.ReportAge().Milliseconds())
	}
	r.describe(ev).Str("Path", pathOf(w)).Int("Events", s.events).Dur("First", first).Dur("LongestPause", s.longest).
		Dur("Took", s.latest.Sub(r.call.At)).Int("Sends", r.arrived+r.unsent).Msg("streamed")
}

// open starts the answer to the caller with the first run's headers.
func (s *streaming) open(a *ferryexchange.Answer) error {
	if s.out != nil {
		return nil
	}
	h := ferryexchange.PassOn(a.Header)
	s.cfg.Dialect.Deliver(h)
	out, err := s.r.call.Stream(a.Status, h)
	if err != nil {
		return errors.Join(errCaller, err)
	}
	s.out = out
	return nil
}

func (s *streaming) end(a *ferryexchange.Answer) error {
	if err := s.open(a); err != nil {
		return err
	}
	if err := s.out.End(); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// status takes an answer that is no success.
func (s *streaming) status(ctx context.Context, w way, a *ferryexchange.Answer) *ferryoutcome.Problem {
	r := s.r
	r.ran++
	r.mayHaveRun = true
	body, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	if err != nil {
		r.ran--
		return s.broken(ctx, w, err)
	}
	name := failedAt(w)
	if s.out != nil || (a.Status >= http.StatusInternalServerError && s.mayGoOn() && r.service.budget.Left() > 0) {
		r.avoidName(name)
		return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Ran, "The upstream answered with status %d.", a.Status)
	}
	h := ferryexchange.PassOn(a.Header)
	s.cfg.Dialect.Deliver(h)
	s.metrics.answered(r.service.name, a.Status, s.cfg.Clock.Since(r.call.At))
	s.log.Info().Str("Request", string(r.ID)).Str("Upstream", name).Int("Status", a.Status).Msg("failed by the upstream")
	if err := r.call.Answer(a.Status, h, body); err != nil {
		s.log.Info().Str("Request", string(r.ID)).Err(err).Msg("answer not delivered")
	}
	return nil
}

// refused takes an upstream's word that the request was not run, because of itself or of another engine of the path.
func (s *streaming) refused(w way, status int, v Verdict) *ferryoutcome.Problem {
	name := ""
	if v.Elsewhere {
		name = unreachable(w, v.Culprit)
	} else {
		name = refusedBy(w, v.Culprit)
		s.inspectCulprit(w, v.Culprit)
	}
	s.r.full = append(s.r.full, ferryid.UpstreamName(name))
	s.refusals++
	s.r.service.congestion.refused(s.cfg.Clock.Now())
	s.log.Info().Str("Request", string(s.r.ID)).Str("Upstream", name).Int("Status", status).Str("Path", pathOf(w)).Msg("refused by the upstream")
	return s.noRoom(s.r, nil)
}

// inspectCulprit finds out whether the engine for which a request was refused is gone, so that other requests keep away from it.
func (s *streaming) inspectCulprit(w way, address string) {
	c, ok := w.(chain)
	if !ok || c.run.Path().At(address) <= 0 {
		return
	}
	hops := c.run.Path().Hops()
	hop := hops[c.run.Path().At(address)]
	go func() {
		if dead := s.prober.dead([]ferrypath.Hop{hops[0], hop}, []int{0, 1}); slices.Contains(dead, 1) {
			c.run.Chooser().Dead(hop.Upstream.Name)
		}
	}()
}

// failed judges a send without an answer.
func (s *streaming) failed(ctx context.Context, w way, err error) *ferryoutcome.Problem {
	var e *ferryexchange.Error
	if errors.As(err, &e) && e.Phase == ferryoutcome.PhaseNotConnected {
		s.logSend(s.r, w.first().Name, err, "not sent")
		s.r.unsent++
		if ctx.Err() != nil {
			cancelled(w)
			return s.timeUp(s.r, ferryoutcome.NotRun, err)
		}
		s.r.avoidName(unreachable(w, ""))
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream could be reached.").After(afterNobody).Because(err)
	}
	s.r.arrived++
	return s.broken(ctx, w, err)
}

// broken judges a run that ended early. One whose upstream ended does not count against the attempts.
func (s *streaming) broken(ctx context.Context, w way, err error) *ferryoutcome.Problem {
	s.r.mayHaveRun = true
	if ctx.Err() != nil {
		s.r.ran++
		cancelled(w)
		return s.timeUp(s.r, ferryoutcome.Unknown, err)
	}
	gone := errors.Is(err, errDead) || (!givenUp(err) && s.ended(w))
	if !gone || !s.r.repeatable() {
		s.r.ran++
	}
	s.log.Warn().Str("Request", string(s.r.ID)).Str("Path", pathOf(w)).Int("Events", s.events).Str("Last", s.last.id).
		Bool("Gone", gone).Err(err).Msg("run broken off")
	if gone {
		s.r.avoidName(unreachable(w, ""))
	} else {
		s.r.avoidName(failedAt(w))
	}
	return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "The upstream broke off.").Because(err)
}

// givenUp reports whether a run ended because this entry gave it up, whose first upstream worked until then.
func givenUp(err error) bool {
	return errors.Is(err, errStalled) || errors.Is(err, errElsewhere)
}

// ended reports whether the engine that held the connection answers no more, while another one of the path does. What is not certain counts
// as an attempt.
func (s *streaming) ended(w way) bool {
	c, ok := w.(chain)
	return ok && slices.Contains(s.prober.dead(c.run.Path().Hops(), []int{0}), 0)
}

// pathOf names the upstreams of a way, for the log.
func pathOf(w way) string {
	c, ok := w.(chain)
	if !ok {
		return w.first().Name
	}
	var b strings.Builder
	for i, h := range c.run.Path().Hops() {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(h.Upstream.Name)
		b.WriteString(h.Layers.String())
	}
	return b.String()
}
