package ferryedge

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrysteer"
)

const (
	// minTargets is the number of entries that an answer names if possible, so that
	// callers have an alternative.
	minTargets = 2
	// answerLifetime is how long callers keep an answer. A lost entry stays in use at most that long.
	answerLifetime = 2 * time.Second
	// maxTargets is the maximum number of entries in an answer.
	maxTargets = 64
)

// Entries returns the entries for callers in a failure domain: those of the domain, and
// others if these are too few.
func (e *Edge) Entries(domain ferryid.DomainName) ferrysteer.Answer {
	a := ferrysteer.Answer{Lifetime: answerLifetime}
	if most := e.cfg.Objectives.AnswerLifetime; most > 0 {
		a.Lifetime = min(a.Lifetime, most)
	}
	var near, far []ferrysteer.Target
	anyCurrent := e.anyConfigCurrent(true)
	for _, m := range e.peer.Members().List {
		if !e.usable(m) || (anyCurrent && e.isConfigStale(m.Name)) {
			continue
		}
		t := ferrysteer.Target{Name: m.Name, Address: m.CallerAddress, FailureDomain: m.FailureDomain}
		if m.FailureDomain == domain {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	a.Targets = near
	if len(near) < minTargets {
		a.Targets = append(near, far...)
	}
	a.Targets = window(a.Targets, maxTargets, int(e.answers.Add(1))*maxTargets)
	return a
}

// window returns at most the given number of targets from an offset on, around the end of the list. Successive answers
// begin where the last one ended, so that all entries of a large failure domain are named.
func window(targets []ferrysteer.Target, most, offset int) []ferrysteer.Target {
	if len(targets) <= most {
		return targets
	}
	out := make([]ferrysteer.Target, 0, most)
	for i := range most {
		out = append(out, targets[(offset+i)%len(targets)])
	}
	return out
}

// usable reports whether callers may be sent to a member. This entry's own state is taken directly.
func (e *Edge) usable(m ferrypeer.MemberInfo) bool {
	if m.Name == e.cfg.Name {
		return e.Ready()
	}
	return m.Usable()
}

// anyConfigCurrent reports whether some usable entry has a current configuration. Entries without one must
// refuse requests with keys.
func (e *Edge) anyConfigCurrent(includeSelf bool) bool {
	for _, m := range e.peer.Members().List {
		if e.usable(m) && !e.isConfigStale(m.Name) && (includeSelf || m.Name != e.cfg.Name) {
			return true
		}
	}
	return false
}
