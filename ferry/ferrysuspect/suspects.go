package ferrysuspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// minCrashes is the number of crashes from which a part is blocked. One crash may have any cause.
	minCrashes = 2
	// firstBlock is how long a part is blocked after minCrashes; crashed engines are mostly back by then. Each further crash
	// multiplies that by blockGrowth, up to maxBlock.
	firstBlock  = 5 * time.Second
	blockGrowth = 4
	maxBlock    = 5 * time.Minute
	// Retention is how long observations are kept.
	Retention = 2 * maxBlock
	// rivalBlock is how long a part is blocked for requests that can tell it from another one of the same crashes.
	rivalBlock = time.Second
	// trialTimeout is how long one request may try a part again before another one may.
	trialTimeout = 3 * time.Second
	// reportDelay is how long a first crash is kept back, since most parts of its prompt are soon written on.
	reportDelay = 200 * time.Millisecond
	// sameCrash is the time within which reports about one engine are about one crash.
	sameCrash = 2 * time.Second
	// provenTime is how long at least an answer on a part speaks for it, so that it is blocked only from provenCrashes more
	// crashes on than a part that nothing speaks for.
	provenTime    = time.Minute
	provenCrashes = 2
	maxProven     = 1 << 14
	maxCrashes    = 128
	// maxCrashedParts is the number of parts that are kept of one crash, over all reports.
	maxCrashedParts = 512
	// maxUnreported is the number of parts of one crash that are kept back.
	maxUnreported = 8 * maxCrashedParts
	maxSightings  = 1024
	maxWritten    = 1 << 14
	// writtenShare is the part of maxWritten that is dropped at once.
	writtenShare = 16
	// maxAnswered is the number of parts of one answer that are reported.
	maxAnswered = 32
	// maxReportsPerSecond bounds the crashes that this entry reports.
	maxReportsPerSecond = 8
)

// Config configures Suspects; Now, Publish and TrialDelay may be nil.
type Config struct {
	// Clock also advances while the instance is suspended.
	Clock clockwork.Clock
	// Now returns the timestamp of an observation made here.
	Now func() ferryevent.Timestamp
	// Publish sends a report to the other entries.
	Publish func(Report)
	// TrialDelay returns for how long this entry leaves it to others to try a part whose block has ended.
	TrialDelay func(ferryid.ServiceName, PartID) time.Duration
	Log        zerolog.Logger
	Scope      tally.Scope
}

// key identifies a part among the parts of all services.
type key struct {
	service ferryid.ServiceName
	part    PartID
}

// crashed identifies an engine that crashed.
type crashed struct {
	service ferryid.ServiceName
	engine  ferryid.UpstreamName
}

// answer is the last answer on a part.
type answer struct {
	at   ferryevent.Timestamp
	seen time.Time
}

// suspicion is what the crashes since the last answer on a part amount to.
type suspicion struct {
	// crashes counts all of them, but provenCrashes for a proven part; unexplained counts those for which no other part is the likelier cause.
	crashes, unexplained int
	// last is when the last unexplained one was seen.
	last time.Time
	// proven is set if an answer speaks for the part.
	proven bool
	// rivals are the parts, with this one, that the same crashes speak against.
	rivals []PartID
	// trial is the request that tries the part again; no other one may before the given time.
	trial      ferryid.RequestID
	trialUntil time.Time
}

func (s *suspicion) blocked() bool { return s.unexplained >= s.threshold() }

// threshold is the number of crashes from which the part is blocked.
func (s *suspicion) threshold() int {
	if s.proven {
		return minCrashes + provenCrashes
	}
	return minCrashes
}

// until returns the end of the block for a request with the given parts, which are sorted.
func (s *suspicion) until(sorted []PartID) time.Time {
	if slices.ContainsFunc(s.rivals, func(p PartID) bool {
		_, found := slices.BinarySearch(sorted, p)
		return !found
	}) {
		return s.last.Add(rivalBlock)
	}
	d := firstBlock
	for n := s.threshold(); n < s.unexplained && d < maxBlock; n++ {
		d *= blockGrowth
	}
	return s.last.Add(min(d, maxBlock))
}

// Suspects keeps the suspicions about the prompt parts of all services; it is safe for concurrent use.
type Suspects struct {
	cfg Config
	// any is set while some part is suspect.
	any atomic.Bool

	mu sync.Mutex
	// sightings and written are all that is known, whatever the order in which it arrived. crashes follows from sightings
	// and is nil if it has to be derived again.
	sightings  []sighting
	crashes    []crash
	written    map[key]answer
	suspicions map[key]*suspicion
	// losses are lost engines of which it is not known whether they crashed, oldest first.
	losses []*loss
	// proven and provenBefore hold the times of the last answers that this entry saw, in two generations.
	proven, provenBefore map[key]ferryevent.Timestamp
	provenFrom           time.Time
	// answered holds the times of the last answers of the services that this entry saw.
	answered map[ferryid.ServiceName]ferryevent.Timestamp
	// unreported maps the crashes that are kept back to their parts.
	unreported map[crashed][]PartID
	// reports counts the crashes reported since reportsFrom.
	reports     int
	reportsFrom time.Time
}

// New returns Suspects without any suspicion.
func New(cfg Config) *Suspects {
	if cfg.Publish == nil {
		cfg.Publish = func(Report) {}
	}
	if cfg.Now == nil {
		cfg.Now = func() ferryevent.Timestamp { return ferryevent.Timestamp{Micros: cfg.Clock.Now().UnixMicro()} }
	}
	if cfg.TrialDelay == nil {
		cfg.TrialDelay = func(ferryid.ServiceName, PartID) time.Duration { return 0 }
	}
	return &Suspects{cfg: cfg, written: map[key]answer{}, suspicions: map[key]*suspicion{}, unreported: map[crashed][]PartID{}, proven: map[key]ferryevent.Timestamp{}, answered: map[ferryid.ServiceName]ferryevent.Timestamp{}}
}

// Admit returns a *BlockedError if a request must not be sent because of a part of its prompt. Once the block of a part
// has ended, it admits one request to try the part again.
func (s *Suspects) Admit(id ferryid.RequestID, service ferryid.ServiceName, parts []PartID) error {
	if !s.any.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	var trials []*suspicion
	var sorted []PartID
	for _, p := range parts {
		u := s.suspicions[key{service, p}]
		if u == nil || !u.blocked() || (id != "" && u.trial == id) {
			continue
		}
		if sorted == nil {
			sorted = slices.Sorted(slices.Values(parts))
		}
		if wait := s.wait(u, key{service, p}, sorted, now); wait > 0 {
			return &BlockedError{Part: p, Crashes: u.unexplained, RetryAfter: wait}
		}
		trials = append(trials, u)
	}
	for _, u := range trials {
		u.trial, u.trialUntil = id, now.Add(trialTimeout)
		s.cfg.Log.Info().Str("Request", string(id)).Int("Crashes", u.unexplained).Msg("prompt part tried again")
	}
	return nil
}

// Withdraw ends the trial of a request that was not sent after all.
func (s *Suspects) Withdraw(id ferryid.RequestID, service ferryid.ServiceName, parts []PartID) {
	s.endTrial(id, service, parts, time.Time{})
}

// Interrupted ends the trial of a request whose run broke off before an engine had written on it. Which engine crashed on it,
// if one did, may be known only later, so the part is not tried again meanwhile.
func (s *Suspects) Interrupted(id ferryid.RequestID, service ferryid.ServiceName, parts []PartID) {
	s.endTrial(id, service, parts, s.cfg.Clock.Now().Add(lossTimeout))
}

// endTrial ends the trial of a request, and has its parts not tried again until the given time.
func (s *Suspects) endTrial(id ferryid.RequestID, service ferryid.ServiceName, parts []PartID, until time.Time) {
	if !s.any.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		if u := s.suspicions[key{service, p}]; u != nil && id != "" && u.trial == id {
			u.trial, u.trialUntil = "", until
		}
	}
}

// wait returns in how long a request with the given parts, which are sorted, may try a blocked one, rounded up to milliseconds.
func (s *Suspects) wait(u *suspicion, k key, sorted []PartID, now time.Time) time.Duration {
	wait := u.until(sorted).Sub(now)
	if wait <= 0 {
		wait = max(0, wait+s.cfg.TrialDelay(k.service, k.part))
	}
	if !u.trialUntil.IsZero() {
		wait = max(wait, u.trialUntil.Sub(now))
	}
	return (wait + time.Millisecond - 1).Truncate(time.Millisecond)
}

// Suspected reports whether some part is suspect.
func (s *Suspects) Suspected(service ferryid.ServiceName, parts []PartID) bool {
	if !s.any.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(parts, func(p PartID) bool { return s.suspicions[key{service, p}] != nil })
}

// Crashed records that an engine crashed before it wrote on the parts of a request.
func (s *Suspects) Crashed(id ferryid.RequestID, service ferryid.ServiceName, engine ferryid.UpstreamName, parts []PartID) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	r := Report{Service: service, Crashed: engine, Parts: s.likely(service, parts)}
	s.addSighting(r, s.cfg.Now(), 0)
	s.conclude("")
	urgent := slices.ContainsFunc(r.Parts, func(p PartID) bool {
		u := s.suspicions[key{service, p}]
		return u != nil && u.blocked()
	})
	var reports []Report
	if urgent {
		reports = s.takeReports(r)
	}
	if len(reports) == 0 {
		s.reportLater(r)
	}
	s.mu.Unlock()
	s.cfg.Scope.Counter("prompt_part_crashes").Inc(1)
	s.cfg.Log.Warn().Str("Request", string(id)).Str("Service", string(service)).Str("Engine", string(engine)).Stringers("Parts", stringers(r.Parts[:min(len(r.Parts), maxLoggedParts)])).Int("AllParts", len(parts)).Msg("prompt part suspected")
	for _, r := range reports {
		s.cfg.Publish(r)
	}
}

// likely returns the parts of a prompt that may have crashed an engine. If there are too many, those that this entry saw
// answers on are dropped first.
func (s *Suspects) likely(service ferryid.ServiceName, parts []PartID) []PartID {
	if len(parts) <= maxCrashedParts {
		return slices.Clone(parts)
	}
	return s.provenLast(service, parts)[:maxCrashedParts]
}

// provenLast returns parts with those at the end that this entry saw answers on.
func (s *Suspects) provenLast(service ferryid.ServiceName, parts []PartID) []PartID {
	var unproven, proven []PartID
	for _, p := range parts {
		if s.isProven(key{service, p}) {
			proven = append(proven, p)
		} else {
			unproven = append(unproven, p)
		}
	}
	return append(unproven, proven...)
}

// takeReports returns a report as several ones of at most maxParts each, as far as this entry may send them.
func (s *Suspects) takeReports(r Report) []Report {
	var out []Report
	for chunk := range slices.Chunk(r.Parts, maxParts) {
		if s.takeReport() {
			part := r
			part.Parts = chunk
			out = append(out, part)
		}
	}
	return out
}

// takeReport reports whether this entry may report one more crash in this second.
func (s *Suspects) takeReport() bool {
	if now := s.cfg.Clock.Now(); now.Sub(s.reportsFrom) >= time.Second {
		s.reports, s.reportsFrom = 0, now
	}
	s.reports++
	return s.reports <= maxReportsPerSecond
}

// reportLater keeps a crash back, together with the other reports of it.
func (s *Suspects) reportLater(r Report) {
	c := crashed{r.Service, r.Crashed}
	if _, kept := s.unreported[c]; !kept {
		s.cfg.Clock.AfterFunc(reportDelay, func() { s.reportRemaining(c) })
	}
	if have := s.unreported[c]; len(have) < maxUnreported {
		s.unreported[c] = append(have, r.Parts...)
	}
}

// reportRemaining publishes a crash with those of its parts that are still suspect.
func (s *Suspects) reportRemaining(c crashed) {
	s.mu.Lock()
	var reports []Report
	parts := slices.DeleteFunc(s.unreported[c], func(p PartID) bool { return s.suspicions[key{c.service, p}] == nil })
	slices.Sort(parts)
	if parts = slices.Compact(parts); len(parts) > 0 {
		reports = s.takeReports(Report{Service: c.service, Crashed: c.engine, Parts: parts})
		if len(reports) < (len(parts)+maxParts-1)/maxParts {
			s.cfg.Log.Warn().Str("Service", string(c.service)).Str("Engine", string(c.engine)).Int("Parts", len(parts)).Msg("crash not reported to other entries: too many reports")
		}
	}
	delete(s.unreported, c)
	s.mu.Unlock()
	for _, r := range reports {
		s.cfg.Publish(r)
	}
}

// Written records that an engine wrote an answer on the parts of a request.
func (s *Suspects) Written(service ferryid.ServiceName, parts []PartID) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	at := s.cfg.Now()
	s.prove(service, parts, at)
	s.clearLosses(service, parts)
	r := Report{Service: service}
	for _, p := range parts {
		if k := (key{service, p}); s.suspicions[k] != nil {
			s.recordAnswer(k, at, 0)
			r.Parts = append(r.Parts, p)
		}
	}
	r.Parts = s.mostSuspect(service, r.Parts)
	if len(r.Parts) > 0 {
		s.conclude("")
	}
	s.mu.Unlock()
	if len(r.Parts) > 0 {
		s.cfg.Publish(r)
	}
}

// mostSuspect returns at most maxAnswered of some parts, those with the most crashes. Each takes a message, and other
// entries see answers on the parts that many prompts share themselves.
func (s *Suspects) mostSuspect(service ferryid.ServiceName, parts []PartID) []PartID {
	if len(parts) <= maxAnswered {
		return parts
	}
	crashes := func(p PartID) int { return s.suspicions[key{service, p}].crashes }
	slices.SortStableFunc(parts, func(p, q PartID) int { return cmp.Compare(crashes(q), crashes(p)) })
	return parts[:maxAnswered]
}

// prove remembers the parts of an answer.
func (s *Suspects) prove(service ferryid.ServiceName, parts []PartID, at ferryevent.Timestamp) {
	now := s.cfg.Clock.Now()
	age := now.Sub(s.provenFrom)
	if age >= 2*provenTime {
		s.proven = nil
	}
	if age >= provenTime || len(s.proven) >= maxProven/2 {
		s.proven, s.provenBefore, s.provenFrom = map[key]ferryevent.Timestamp{}, s.proven, now
	}
	s.answered[service] = at
	for _, p := range parts {
		s.proven[key{service, p}] = at
	}
}

// Receive records an observation of another entry, reported at the given time and age ago.
func (s *Suspects) Receive(r Report, at ferryevent.Timestamp, age time.Duration, origin ferryid.EntryName) {
	s.mu.Lock()
	var answered Report
	if r.Crashed != "" {
		s.addSighting(r, at, age)
		answered = s.contradict(r, at)
	} else {
		for _, p := range r.Parts {
			s.recordAnswer(key{r.Service, p}, before(at, r.Age), age+r.Age)
		}
	}
	s.conclude(origin)
	s.mu.Unlock()
	if len(answered.Parts) > 0 {
		s.cfg.Publish(answered)
	}
}
