package ferryforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypath"
)

const (
	// maxSends is the maximum number of attempts of one stream, including those whose upstream died.
	maxSends = 5
	// maxRefusals is the number of capacity refusals above which a stream is refused or waits: where two
	// upstreams are full, other requests need the remaining capacity more.
	maxRefusals = 2
	// resumeShare is the part of the caller's patience for which a started stream waits for another run, and
	// resumeInterval the interval between attempts.
	resumeShare    = 0.75
	resumeInterval = 100 * time.Millisecond
	// initialEventBytes is the initial size of the event buffer, which grows up to maxEventBytes.
	initialEventBytes = 2 << 10
	maxEventBytes     = 256 << 10
)

// callerStream is one stream to a caller, across all of its runs.
type callerStream struct {
	*Forwarder
	r   *request
	out *ferryingress.Stream
	succession
	// writing is the start of the present run's answer; written is set once the start of some run's was survived.
	writing writing
	written atomic.Bool
	// blocked is set if a part of the prompt is blocked.
	blocked bool
	// refusals counts capacity refusals. noCapacity is set if the last attempt found no destination or no
	// retry budget.
	refusals   int
	noCapacity bool
	// firstAt and lastAt are the times of the first and the last forwarded event, and longestGap is the longest time
	// between two.
	firstAt, lastAt time.Time
	longestGap      time.Duration
}

// stream runs a request at one destination after another until its stream is complete.
func (f *Forwarder) stream(ctx context.Context, r *request) {
	if p := f.shed(r); p != nil {
		f.answerProblem(r, p)
		return
	}
	s := &callerStream{Forwarder: f, r: r, succession: succession{position: newPosition(r.After)}}
	defer s.discardReplacement()
	var last *ferryoutcome.Problem
	for sends := 0; ; sends++ {
		p, over := s.attempt(ctx, sends)
		if over {
			return
		}
		if p != nil {
			last = p
		}
		if s.hasNext() {
			continue
		}
		if ctx.Err() != nil || !s.canContinue() || !s.shouldRetry(ctx, sends) {
			s.abort(ctx, last)
			return
		}
		f.metrics.retried(r.service.name, string(last.Kind))
	}
}

// attempt makes one run if there is a destination and retry budget for it. It returns the resulting problem,
// and true once nothing more is to be sent to the caller.
func (s *callerStream) attempt(ctx context.Context, sends int) (*ferryoutcome.Problem, bool) {
	if next := s.takeNext(); next != nil {
		p := s.forwardRun(ctx, next)
		return p, p == nil
	}
	if p := s.isBlocked(); p != nil {
		s.blocked = true
		return p, false
	}
	dest, none := s.pickDestination(s.r)
	if none != nil {
		s.cfg.Suspects.Withdraw(s.r.ID, s.r.service.name, s.r.Parts)
		s.noCapacity = true
		if sends > 0 {
			return nil, false
		}
		return none, false
	}
	if s.r.arrived > 0 && !s.takeRetry(s.r) {
		finishCancelled(dest)
		s.cfg.Suspects.Withdraw(s.r.ID, s.r.service.name, s.r.Parts)
		s.noCapacity = true
		s.r.refusal.reason = retryBudgetExhausted
		return nil, false
	}
	s.noCapacity = false
	s.r.refusal = refusal{}
	p := s.run(ctx, dest)
	return p, p == nil
}

// shouldRetry reports whether to make another attempt. A stream that has started waits for capacity and retry
// budget for a while after its last event; one that has not is refused at once.
func (s *callerStream) shouldRetry(ctx context.Context, sends int) bool {
	if s.blocked {
		return false
	}
	if !s.noCapacity && sends+1 < maxSends && s.refusals <= maxRefusals {
		return true
	}
	if s.out == nil || s.cfg.Clock.Since(s.lastAt) > shareOf(s.patience(), resumeShare) {
		return false
	}
	s.r.full = nil
	s.refusals = 0
	select {
	case <-ctx.Done():
		return false
	case <-s.cfg.Clock.After(resumeInterval):
		return true
	}
}

// canContinue reports whether the route permits another run to start or resume the stream.
func (s *callerStream) canContinue() bool {
	if s.out == nil {
		return s.r.mayRunAgain()
	}
	return s.resumable(s.r.route.Repeat) && s.r.mayRunAgain()
}

// abort ends an incomplete stream: with a problem answer if nothing was forwarded, else by leaving the answer
// unterminated, which closes the connection.
func (s *callerStream) abort(ctx context.Context, last *ferryoutcome.Problem) {
	if s.out == nil {
		s.Forwarder.answerFailure(ctx, s.r, last, nil)
		return
	}
	msg := "stream aborted: no further run possible"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ferryingress.ErrCallerDisconnected):
		msg = "stream aborted: caller disconnected"
	case errors.Is(cause, context.Canceled):
		msg = "stream aborted: process is shutting down"
	}
	s.log.Warn().Str("Request", string(s.r.ID)).Int("Events", s.events).Int("Ran", s.r.ran).AnErr("Cause", last.Cause).Msg(msg)
}

// run sends the request to one destination and forwards its events; it returns nil once nothing more is to be
// sent to the caller.
func (s *callerStream) run(ctx context.Context, dest destination) *ferryoutcome.Problem {
	runCtx, cancel := context.WithCancelCause(ctx)
	wd := s.watch(ctx, dest, cancel)
	a, err := s.send(runCtx, dest, s.position.id)
	if err != nil {
		wd.stop()
		defer cancel(nil)
		return s.handleSendError(ctx, dest, s.settle(err))
	}
	return s.forward(ctx, &upstreamRun{dest: dest, answer: a, cancel: cancel}, wd)
}

// send sends the request to a destination, to continue after the given event.
func (s *callerStream) send(ctx context.Context, dest destination, after string) (*ferryexchange.Answer, error) {
	o := OutgoingInfo{Instance: dest.first().Name, Timeout: s.r.remaining(s.cfg.Clock.Now()), Customer: s.r.customer, After: after}
	if c, ok := dest.(enginePath); ok {
		o.Path = c.run.Path()
		o.Priority = s.r.enginePriority()
	}
	a, err := s.cfg.Client.Do(ctx, dest.first().Address, s.r.outgoing(s.cfg.Dialect, o))
	if err == nil {
		v := s.cfg.Dialect.DecodeAnswer(a.Status, a.Header)
		s.cfg.Observer.Observe(dest.first(), upstreamAt(dest, v.FailedEngine), v)
	}
	return a, err
}

// forwardRun forwards a run that was started as a replacement.
func (s *callerStream) forwardRun(ctx context.Context, u *upstreamRun) *ferryoutcome.Problem {
	return s.forward(ctx, u, s.watch(ctx, u.dest, u.cancel))
}

// forward forwards the events of a run that its upstream has answered.
func (s *callerStream) forward(ctx context.Context, u *upstreamRun, wd *watchdog) *ferryoutcome.Problem {
	defer u.cancel(nil)
	defer u.answer.Close()
	a, v := u.answer, s.cfg.Dialect.DecodeAnswer(u.answer.Status, u.answer.Header)
	accepted := v.acceptsRun(a)
	var err error
	s.writing = writing{}
	if accepted {
		err = s.forwardAnswer(a, func() { wd.recordProgress(); s.recordWriting(false) })
	}
	wd.stop()
	if accepted && err == nil {
		s.discardReplacement()
	} else {
		err = s.settle(err)
	}
	s.r.arrived++
	switch {
	case v.CertainlyNotRun():
		return s.handleRefusal(u.dest, a.Status, v)
	case a.Status/100 != 2:
		return s.handleErrorStatus(ctx, u.dest, a)
	case !accepted:
		return s.handleBrokenRun(ctx, u.dest, errNoStream)
	case err == nil:
		s.recordWriting(true)
		finishDone(u.dest)
		s.logCompleted(u.dest)
		s.metrics.answered(s.r.service.name, a.Status, s.cfg.Clock.Since(s.r.call.At))
		return nil
	case errors.Is(err, errCallerWrite):
		finishCancelled(u.dest)
		s.log.Info().Str("Request", string(s.r.ID)).Int("Events", s.events).Err(err).Msg("stream ended: caller disconnected")
		return nil
	}
	return s.handleBrokenRun(ctx, u.dest, err)
}

// acceptsRun reports whether the answer is a stream of the upstream.
func (v AnswerInfo) acceptsRun(a *ferryexchange.Answer) bool {
	return !v.CertainlyNotRun() && a.Status == http.StatusOK && v.Signed && a.Header.Get("Content-Encoding") == "" && isEventStream(a.Header.Get("Content-Type"))
}

// isEventStream reports whether a content type, if there is one, is that of a series of events.
func isEventStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

var (
	// errStalled ends a run that exceeded its idle timeout or could not be rerouted.
	errStalled = errors.New("run ended: no progress")
	// errCallerWrite is returned if the answer cannot be written to the caller, who has probably disconnected.
	errCallerWrite = errors.New("answer to the caller could not be written")
	// errNoStream ends a run whose success is not a stream of its upstream.
	errNoStream = errors.New("upstream answer not accepted: no stream of events with the upstream's signature and without a content encoding")
)

// forwardAnswer forwards complete events until the upstream's answer ends.
func (s *callerStream) forwardAnswer(a *ferryexchange.Answer, progress func()) error {
	buf := make([]byte, initialEventBytes)
	n, before := 0, s.events
	for {
		if n == len(buf) {
			grown, ok := a.Grow(buf, maxEventBytes)
			if !ok {
				s.breakOff(buf)
				return eventTooLong(n)
			}
			buf = grown[:cap(grown)]
		}
		m, err := a.Read(buf[n:])
		whole, rest := splitEvents(buf[:n+m], n)
		n += m
		if len(whole) > 0 {
			if err := s.forwardEvents(a, whole, progress); err != nil {
				return err
			}
			n = copy(buf, rest)
		}
		switch {
		case errors.Is(err, io.EOF) && (n > 0 || !s.mayEnd(a, s.events > before)):
			s.breakOff(buf[:n])
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return s.endAnswer(a)
		case err != nil:
			s.breakOff(buf[:n])
			return err
		}
	}
}

// eventTooLong returns the error of an event of which more than n bytes came.
func eventTooLong(n int) error {
	if n < maxEventBytes {
		return &ferrymemory.ExhaustedError{Part: "event"}
	}
	return &ferryexchange.LimitError{Part: "event", Limit: fmt.Sprintf("%d bytes", maxEventBytes)}
}

// mayEnd reports whether the stream may be complete at the end of a run, which has brought events or not. A stream
// without any event is not, nor is one of which an earlier run had begun more. An answer without a length that brings
// no event may have been broken off.
func (s *callerStream) mayEnd(a *ferryexchange.Answer, brought bool) bool {
	return brought || !s.begun && !a.Unframed && (s.events > 0 || s.r.After != "")
}

// forwardEvents writes events to the caller, without those already forwarded, which are no progress.
func (s *callerStream) forwardEvents(a *ferryexchange.Answer, whole []byte, progress func()) error {
	from, n, invalid := s.advance(whole)
	if n > 0 {
		progress()
	}
	if len(from) == 0 {
		return invalid
	}
	if err := s.openAnswer(a); err != nil {
		return err
	}
	if _, err := s.out.Write(from); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	s.recordForwarded(s.cfg.Clock.Now())
	return invalid
}

// recordForwarded records the time at which events were forwarded.
func (s *callerStream) recordForwarded(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
		s.metrics.firstEvent(s.r.service.name, now.Sub(s.r.call.At))
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// logCompleted logs a completed stream, with a mark if it missed an objective of its route.
func (s *callerStream) logCompleted(dest destination) {
	r := s.r
	r.service.moves.recordDuration(s.lastAt.Sub(s.firstAt))
	if r.After == "" {
		r.service.times.record(s.lastAt.Sub(r.call.At), r.hintedTokens())
	}
	ev := s.successLog.Info()
	first := s.firstAt.Sub(r.call.At)
	if (r.route.Objective > 0 && first > r.route.Objective) || (r.route.GapObjective > 0 && s.longestGap > r.route.GapObjective) {
		ev = s.log.Info().Bool("Late", true)
	}
	if c, ok := dest.(enginePath); ok {
		ev.Bool("Forecast", c.run.Forecast()).Int64("ReportAge", c.run.ReportAge().Milliseconds())
	}
	s.addLogFields(ev, r).Str("Path", formatDestination(dest)).Int("Events", s.events).Dur("First", first).Dur("LongestPause", s.longestGap).
		Dur("Took", s.lastAt.Sub(r.call.At)).Int("Sends", r.arrived+r.unsent).Msg("stream completed")
}

// openAnswer starts the answer to the caller with the headers of the first run.
func (s *callerStream) openAnswer(a *ferryexchange.Answer) error {
	if s.out != nil {
		return nil
	}
	h := ferryexchange.EndToEndHeaders(a.Header)
	s.cfg.Dialect.StripInternal(h)
	out, err := s.r.call.Stream(a.Status, h)
	if err != nil {
		return errors.Join(errCallerWrite, err)
	}
	s.out = out
	return nil
}

func (s *callerStream) endAnswer(a *ferryexchange.Answer) error {
	if err := s.openAnswer(a); err != nil {
		return err
	}
	if err := s.out.End(); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}

// handleErrorStatus handles an answer with a non-success status.
func (s *callerStream) handleErrorStatus(ctx context.Context, dest destination, a *ferryexchange.Answer) *ferryoutcome.Problem {
	r := s.r
	r.ran++
	r.mayHaveRun = true
	body, whole, err := a.Buffer(maxBufferedBytes + 1)
	switch {
	case err == nil && len(body) > maxBufferedBytes:
		err = &ferryexchange.LimitError{Part: "body of an error answer", Limit: fmt.Sprintf("%d bytes", maxBufferedBytes)}
	case err == nil && !whole:
		err = &ferrymemory.ExhaustedError{Part: "body of an error answer"}
	}
	if err != nil {
		// handleBrokenRun decides whether the run counts.
		r.ran--
		return s.handleBrokenRun(ctx, dest, err)
	}
	name := finishFailed(dest)
	if s.out != nil || (a.Status >= http.StatusInternalServerError && s.canContinue() && r.service.budget.Remaining() > 0) {
		r.avoidUpstream(name)
		return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Ran, "The upstream answered with status %d.", a.Status)
	}
	h := ferryexchange.EndToEndHeaders(a.Header)
	s.cfg.Dialect.StripInternal(h)
	s.metrics.answered(r.service.name, a.Status, s.cfg.Clock.Since(r.call.At))
	s.log.Info().Str("Request", string(r.ID)).Str("Upstream", name).Int("Status", a.Status).Msg("upstream error status passed on to the caller")
	if err := r.call.Answer(a.Status, h, body); err != nil {
		s.log.Info().Str("Request", string(r.ID)).Err(err).Msg("could not write the answer to the caller")
	}
	return nil
}

// handleRefusal handles an answer that the request was not run, because of the upstream itself or another
// engine of the path.
func (s *callerStream) handleRefusal(dest destination, status int, v AnswerInfo) *ferryoutcome.Problem {
	name := ""
	if v.Elsewhere {
		name = finishUnreachable(dest, v.FailedEngine)
	} else {
		name = finishRefused(dest, v.FailedEngine)
		s.probeRefusingEngine(dest, v.FailedEngine)
	}
	s.r.full = append(s.r.full, ferryid.UpstreamName(name))
	s.refusals++
	s.r.service.congestion.recordRefusal(s.cfg.Clock.Now())
	ev := s.log.Info().Str("Request", string(s.r.ID)).Str("Upstream", name).Int("Status", status).Str("Path", formatDestination(dest))
	if c, ok := dest.(enginePath); ok {
		ev.Bool("Forecast", c.run.Forecast()).Int64("ReportAge", c.run.ReportAge().Milliseconds())
	}
	ev.Msg("upstream refused the stream without running it")
	return s.overloadProblem(s.r, engineRefused, nil)
}

// probeRefusingEngine probes the engine that caused a refusal and marks it as down if it does not answer, so
// that other requests avoid it.
func (s *callerStream) probeRefusingEngine(dest destination, address string) {
	c, ok := dest.(enginePath)
	if !ok || c.run.Path().At(address) <= 0 {
		return
	}
	hops := c.run.Path().Hops()
	hop := hops[c.run.Path().At(address)]
	s.guard.Go("engine probe", hop.Upstream.Address, func() {
		if dead := s.prober.deadHops([]ferrypath.Hop{hops[0], hop}, []int{0, 1}, time.Time{}); slices.Contains(dead, 1) {
			c.run.Chooser().MarkDown(hop.Upstream.Name)
		}
	})
}

// handleSendError returns the problem of a send that got no answer.
func (s *callerStream) handleSendError(ctx context.Context, dest destination, err error) *ferryoutcome.Problem {
	var e *ferryexchange.Error
	if errors.As(err, &e) && e.Phase == ferryoutcome.PhaseNotConnected {
		s.logSendError(s.r, dest.first().Name, err, "stream request not sent: no connection to the upstream")
		s.r.unsent++
		if ctx.Err() != nil {
			finishCancelled(dest)
			return s.timeoutProblem(s.r, ferryoutcome.NotRun, err)
		}
		s.r.avoidUpstream(finishUnreachable(dest, ""))
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream could be reached.").WithRetryAfter(retryAfterNoUpstream).WithCause(err)
	}
	s.r.arrived++
	return s.handleBrokenRun(ctx, dest, err)
}

// handleBrokenRun returns the problem of a run that ended early. For repeatable requests, a run whose first
// engine died does not count towards the route's attempts.
func (s *callerStream) handleBrokenRun(ctx context.Context, dest destination, err error) *ferryoutcome.Problem {
	s.r.mayHaveRun = true
	if ctx.Err() != nil {
		s.r.ran++
		finishCancelled(dest)
		return s.timeoutProblem(s.r, ferryoutcome.Unknown, err)
	}
	gone := errors.Is(err, errFirstEngineDead) || (!endedByEntry(err) && s.firstEngineGone(dest))
	if !gone || !s.r.repeatable() {
		s.r.ran++
	}
	if !s.written.Load() && !errors.Is(err, errFirstEngineDead) && (gone || (!endedByEntry(err) && s.onlyUpstreamGone(dest))) {
		s.crashedBeforeWriting(s.r, dest.first().Name)
	}
	if !gone && !endedByEntry(err) {
		s.interruptTrial()
		s.probeBroken(dest)
	}
	events, last := s.progress()
	s.log.Warn().Str("Request", string(s.r.ID)).Str("Path", formatDestination(dest)).Int("Events", events).Str("Last", last).
		Bool("Gone", gone).Err(err).Msg("run ended before its stream was complete")
	switch {
	case gone:
		s.r.avoidUpstream(finishUnreachable(dest, ""))
	case errors.Is(err, errNotMoved):
		finishCancelled(dest)
	default:
		s.r.avoidUpstream(finishFailed(dest))
	}
	return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "The upstream broke off.").WithCause(err)
}

// endedByEntry reports whether this entry ended the run itself, while its first upstream was alive.
func endedByEntry(err error) bool {
	return errors.Is(err, errStalled) || errors.Is(err, errRestartElsewhere) || errors.Is(err, errReplaced) || errors.Is(err, errNotMoved)
}

// breakSlack is how long before the end of a run its engine may have been probed. The runs of an engine that dies end
// together and share a probe.
const breakSlack = 2 * time.Millisecond

// firstEngineGone reports whether the engine that held the connection is unreachable while another one of the
// path answers. In doubt it returns false, so that the run counts as an attempt.
func (s *callerStream) firstEngineGone(dest destination) bool {
	c, ok := dest.(enginePath)
	return ok && slices.Contains(s.prober.deadHops(c.run.Path().Hops(), []int{0}, s.cfg.Clock.Now().Add(-breakSlack)), 0)
}

// onlyUpstreamGone reports whether the only upstream of a run is unreachable while another one of the service answers.
func (s *callerStream) onlyUpstreamGone(dest destination) bool {
	if c, ok := dest.(enginePath); ok && len(c.run.Path().Hops()) > 1 {
		return false
	}
	return s.prober.deadBeside(dest.first().Address, s.others(dest.first()), s.cfg.Clock.Now().Add(-breakSlack))
}

// others returns the addresses of the other upstreams of the service.
func (s *callerStream) others(u *ferrydiscovery.Upstream) []string {
	var out []string
	for _, o := range s.cfg.Services.upstreams(s.r.service.name) {
		if o.Name != u.Name {
			out = append(out, o.Address)
		}
	}
	return out
}

// formatDestination formats the upstreams of a destination for the log.
func formatDestination(dest destination) string {
	c, ok := dest.(enginePath)
	if !ok {
		return dest.first().Name
	}
	return formatPath(c.run.Path())
}

func formatPath(p *ferrypath.Path) string {
	var b strings.Builder
	if p == nil {
		return ""
	}
	for i, h := range p.Hops() {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(h.Upstream.Name)
		b.WriteString(h.Layers.String())
	}
	return b.String()
}
