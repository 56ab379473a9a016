package ferryforward

import (
	"errors"
	"slices"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrysuspect"
)

const (
	// maxCrashes is the number of engines that may crash before they write on a request until it is not sent again, and
	// maxLost the number of those that may crash or stop answering.
	maxCrashes = 2
	maxLost    = 3
	// writingProof is how long after the first event of a run its engine has survived the start of the answer.
	writingProof = 100 * time.Millisecond
	// isolationTime is how long a suspect run and runs moved off a crashed engine are kept apart.
	isolationTime = time.Second
)

// blockedProblem returns the problem of a request whose prompt holds a blocked part, or nil.
func (f *Forwarder) blockedProblem(r *request) *ferryoutcome.Problem {
	err := f.cfg.Suspects.Admit(r.ID, r.service.name, r.Parts)
	var blocked *ferrysuspect.BlockedError
	if !errors.As(err, &blocked) {
		return nil
	}
	f.metrics.blocked(r.service.name)
	f.log.Info().Str("Request", string(r.ID)).Stringer("Part", blocked.Part).Int("Crashes", blocked.Crashes).Dur("RetryAfter", blocked.RetryAfter).
		Int("Sends", r.arrived+r.unsent).Msg("request refused: its prompt part is blocked")
	return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "Engines crashed on a part of this prompt; it is not sent to others for now.").
		WithRetryAfter(blocked.RetryAfter).WithCause(err)
}

// isBlocked returns the problem of a stream whose prompt holds a blocked part, or nil. A stream that an engine has
// written on goes on: that shows its parts to be sound.
func (s *callerStream) isBlocked() *ferryoutcome.Problem {
	if s.written.Load() {
		return nil
	}
	return s.blockedProblem(s.r)
}

// crashedBeforeWriting records that an engine crashed before it wrote on the request.
func (f *Forwarder) crashedBeforeWriting(r *request, engine string) {
	r.crashes++
	r.lost.add(ferryid.UpstreamName(engine))
	f.cfg.Suspects.Crashed(r.ID, r.service.name, ferryid.UpstreamName(engine), r.Parts)
}

// isSuspect reports whether the request may crash its next engine.
func (f *Forwarder) isSuspect(r *request) bool {
	return r.crashes > 0 || f.cfg.Suspects.Suspected(r.service.name, r.Parts)
}

// writing watches for the proof that the engine of a run survived the start of its answer.
type writing struct {
	firstAt time.Time
	proved  bool
}

// recordWriting records events of the present run; done is set at the end of its stream.
func (s *callerStream) recordWriting(done bool) {
	w := &s.writing
	now := s.cfg.Clock.Now()
	if w.firstAt.IsZero() {
		w.firstAt = now
	}
	if w.proved || (!done && now.Sub(w.firstAt) < writingProof) {
		return
	}
	w.proved = true
	s.r.lost.clear()
	s.written.Store(true)
	s.cfg.Suspects.Written(s.r.service.name, s.r.Parts)
}

// isolation keeps runs that may crash their engine apart from runs moved off a crashed one.
type isolation struct {
	mu sync.Mutex
	// suspects and moved map first engines to the time until which they count as having such runs.
	suspects, moved map[ferryid.UpstreamName]time.Time
}

// avoided returns the engines at which a run should not begin.
func (i *isolation) avoided(suspect bool, now time.Time) []ferryid.UpstreamName {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := unexpired(i.suspects, now)
	if suspect {
		out = append(out, unexpired(i.moved, now)...)
	}
	return out
}

func unexpired(m map[ferryid.UpstreamName]time.Time, now time.Time) []ferryid.UpstreamName {
	var out []ferryid.UpstreamName
	for name, until := range m {
		if !now.Before(until) {
			delete(m, name)
			continue
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// record records where a suspect or moved run begins.
func (i *isolation) record(suspect bool, engine string, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	m := &i.moved
	if suspect {
		m = &i.suspects
	}
	if *m == nil {
		*m = map[ferryid.UpstreamName]time.Time{}
	}
	(*m)[ferryid.UpstreamName(engine)] = now.Add(isolationTime)
}
