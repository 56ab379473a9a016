package ferryedge

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrysteer"
)

const (
	// leastTargets is how many entries a caller is told of where there are so many, so that the loss of one leaves it another.
	leastTargets = 2
	// answerLifetime is how long callers keep an answer: a lost entry is out of use so much later.
	answerLifetime = 2 * time.Second
	// maxTargets is the most entries that one answer names.
	maxTargets = 64
)

// Entries says which entries a caller in a failure domain should use: those of its own, others only where these are too few.
func (e *Edge) Entries(domain ferryid.DomainName) ferrysteer.Answer {
	a := ferrysteer.Answer{Lifetime: answerLifetime}
	if most := e.cfg.Promise.AnswerLifetime; most > 0 {
		a.Lifetime = min(a.Lifetime, most)
	}
	var near, far []ferrysteer.Target
	sighted := e.anySighted(true)
	for _, m := range e.peer.Members().List {
		if !e.usable(m) || (sighted && e.isBlind(m.Name)) {
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
	if len(near) < leastTargets {
		a.Targets = append(near, far...)
	}
	a.Targets = a.Targets[:min(len(a.Targets), maxTargets)]
	return a
}

// usable reports whether callers may be sent to a member; this entry knows its own state best.
func (e *Edge) usable(m ferrypeer.MemberInfo) bool {
	if m.Name == e.cfg.Name {
		return e.Ready()
	}
	return m.Usable()
}

// anySighted reports whether some usable entry reaches the platform; the others would have to refuse requests with keys.
func (e *Edge) anySighted(selfToo bool) bool {
	for _, m := range e.peer.Members().List {
		if e.usable(m) && !e.isBlind(m.Name) && (selfToo || m.Name != e.cfg.Name) {
			return true
		}
	}
	return false
}
