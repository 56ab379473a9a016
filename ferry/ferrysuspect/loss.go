package ferrysuspect

import (
	"cmp"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// LossRetention is how long a lost engine is kept until its process is known to have ended. The platform removes an
	// upstream after three missed heartbeats.
	LossRetention = 10 * time.Second
	// lossTimeout is how long a part whose trial lost an engine is not tried again if the process of the engine is not
	// known to have ended before.
	lossTimeout = 5 * time.Second
	// maxLosses is the number of lost engines that are kept; the oldest is dropped.
	maxLosses = 64
	// maxLostRuns is the number of runs that are kept of each; those that were sent last are dropped, since the engine has
	// probably crashed before.
	maxLostRuns = 8
)

// loss is an engine that stopped answering before it had written on some requests. It may only be cut off, so it is no crash
// until its process is known to have ended.
type loss struct {
	crashed
	at   ferryevent.Timestamp
	seen time.Time
	// runs are sorted by the time at which they were sent, which is before seen.
	runs []lostRun
}

// lostRun is the run of a request that lost its engine.
type lostRun struct {
	sent time.Time
	// parts are those on which no answer was seen since.
	parts []PartID
}

// Lost records that an engine stopped answering before it wrote on the parts of a request, which was sent to it age ago.
func (s *Suspects) Lost(id ferryid.RequestID, service ferryid.ServiceName, engine ferryid.UpstreamName, parts []PartID, age time.Duration) {
	if len(parts) == 0 {
		return
	}
	s.Interrupted(id, service, parts)
	s.mu.Lock()
	defer s.mu.Unlock()
	parts = s.likely(service, parts)
	now := s.cfg.Clock.Now()
	l, sent := s.addLoss(crashed{service, engine}, now), now.Add(-age)
	if sent.After(l.seen) {
		return
	}
	i, _ := slices.BinarySearchFunc(l.runs, sent, func(r lostRun, t time.Time) int { return r.sent.Compare(t) })
	l.runs = slices.Insert(l.runs, i, lostRun{sent, parts})
	l.runs = l.runs[:min(len(l.runs), maxLostRuns)]
}

// addLoss returns the record of a lost engine, and adds it if there is none.
func (s *Suspects) addLoss(c crashed, now time.Time) *loss {
	s.losses = slices.DeleteFunc(s.losses, func(l *loss) bool { return now.Sub(l.seen) > LossRetention })
	if i := s.indexLoss(c); i >= 0 {
		return s.losses[i]
	}
	if len(s.losses) == maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	l := &loss{crashed: c, at: s.cfg.Now(), seen: now}
	s.losses = append(s.losses, l)
	return l
}

func (s *Suspects) indexLoss(c crashed) int {
	return slices.IndexFunc(s.losses, func(l *loss) bool { return l.crashed == c })
}

// clearLosses records an answer on parts that engines were lost on.
func (s *Suspects) clearLosses(service ferryid.ServiceName, parts []PartID) {
	if len(s.losses) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(parts))
	for _, l := range s.losses {
		if l.service != service {
			continue
		}
		for i := range l.runs {
			r := &l.runs[i]
			r.parts = slices.DeleteFunc(r.parts, func(p PartID) bool {
				_, found := slices.BinarySearch(sorted, p)
				return found
			})
		}
	}
}

// Ended records that the process of an engine has ended. If requests lost the engine before, it crashed on one of their
// parts on which no answer was seen since.
func (s *Suspects) Ended(service ferryid.ServiceName, engine ferryid.UpstreamName) {
	s.mu.Lock()
	reports := s.takeLoss(crashed{service, engine})
	if len(reports) == 0 {
		s.mu.Unlock()
		return
	}
	now := s.cfg.Now()
	for _, r := range reports {
		s.addSighting(r, now, 0)
	}
	s.conclude("")
	var allowed []Report
	for _, r := range reports {
		allowed = append(allowed, s.takeReports(r)...)
	}
	s.mu.Unlock()
	s.cfg.Scope.Counter("prompt_part_crashes").Inc(1)
	for _, r := range reports {
		s.cfg.Log.Warn().Str("Service", string(service)).Str("Engine", string(engine)).Stringers("Parts", stringers(r.Parts[:min(len(r.Parts), maxLoggedParts)])).
			Int("AllParts", len(r.Parts)).Dur("Lost", r.Age).Dur("Sent", r.Sent).Msg("prompt part suspected: a lost engine has ended")
	}
	for _, r := range allowed {
		s.cfg.Publish(r)
	}
}

// takeLoss removes the record of a lost engine and returns the reports of its crash. If the service answered nothing since,
// many engines may be lost with the parts that most prompts share, and no answer could clear these: then answers from before
// the loss speak for a part.
func (s *Suspects) takeLoss(c crashed) []Report {
	i := s.indexLoss(c)
	if i < 0 {
		return nil
	}
	l, now := s.losses[i], s.cfg.Clock.Now()
	s.losses = slices.Delete(s.losses, i, i+1)
	if now.Sub(l.seen) > LossRetention {
		return nil
	}
	outage := s.answered[c.service].Compare(l.at) <= 0
	var out []Report
	for _, r := range l.runs {
		if outage {
			r.parts = slices.DeleteFunc(r.parts, func(p PartID) bool { return s.isProven(key{c.service, p}) })
		}
		if len(r.parts) > 0 {
			out = append(out, Report{Service: c.service, Crashed: c.engine, Parts: r.parts, Age: cmp.Or(now.Sub(l.seen), 1), Sent: min(now.Sub(r.sent), maxSent)})
		}
	}
	return out
}

// contradict records the answers that this entry saw after the loss of an engine that another one reports, and returns
// the report of them: there was no reason to report them before.
func (s *Suspects) contradict(r Report, at ferryevent.Timestamp) Report {
	out := Report{Service: r.Service}
	if r.Age == 0 {
		return out
	}
	lost, now := before(at, r.Age), s.cfg.Now()
	for _, p := range r.Parts {
		if len(out.Parts) == maxAnswered {
			break
		}
		k := key{r.Service, p}
		last, known := s.proven[k]
		if !known {
			last = s.provenBefore[k]
		}
		if last.Compare(lost) <= 0 || s.written[k].at.Compare(lost) > 0 {
			continue
		}
		age := now.Time().Sub(last.Time())
		s.recordAnswer(k, last, age)
		out.Parts, out.Age = append(out.Parts, p), max(out.Age, age)
	}
	return out
}

// before returns the timestamp of a time before another one.
func before(at ferryevent.Timestamp, age time.Duration) ferryevent.Timestamp {
	at.Micros -= age.Microseconds()
	return at
}
