package ferrysuspect

import (
	"fmt"
	"math"

	"cactusferry.dev/ferry/ferryid"
)

// conclude derives the suspicions from the observations, of which the last came from the given entry, or from this one
// if that is empty. The caller holds s.mu.
func (s *Suspects) conclude(origin ferryid.EntryName) {
	s.forgetOld()
	if s.crashes == nil {
		s.crashes = s.deriveCrashes()
	}
	old := s.suspicions
	s.suspicions = s.countCrashes()
	s.countUnexplained()
	for k, u := range s.suspicions {
		was := old[k]
		if was != nil && was.unexplained == u.unexplained {
			u.trial, u.trialUntil = was.trial, was.trialUntil
		}
		if u.blocked() && (was == nil || was.unexplained < u.unexplained) {
			s.cfg.Scope.Counter("prompt_parts_blocked").Inc(1)
			s.cfg.Log.Warn().Str("Service", string(k.service)).Stringer("Part", k.part).Int("Crashes", u.unexplained).Str("Origin", string(origin)).
				Dur("For", u.until(u.rivals).Sub(s.cfg.Clock.Now())).Int("Rivals", len(u.rivals)-1).Msg("prompt part blocked")
		}
	}
	for k, was := range old {
		if u := s.suspicions[k]; was.blocked() && (u == nil || !u.blocked()) {
			s.cfg.Log.Info().Str("Service", string(k.service)).Stringer("Part", k.part).Int("Crashes", was.unexplained).Str("Origin", string(origin)).Msg("prompt part released")
		}
	}
	s.any.Store(len(s.suspicions) > 0)
}

// countCrashes returns the suspicions with their numbers of crashes since the last answer, fewer for proven parts.
func (s *Suspects) countCrashes() map[key]*suspicion {
	out := map[key]*suspicion{}
	for _, c := range s.crashes {
		for _, p := range c.parts {
			k := key{c.service, p}
			if s.written[k].at.Compare(c.at) > 0 {
				continue
			}
			if out[k] == nil {
				out[k] = &suspicion{}
				if s.isProven(k) {
					out[k].crashes, out[k].proven = -provenCrashes, true
				}
			}
			out[k].crashes++
		}
	}
	return out
}

// isProven reports whether this entry saw an answer on a part lately.
func (s *Suspects) isProven(k key) bool {
	_, now := s.proven[k]
	_, before := s.provenBefore[k]
	return now || before
}

// countUnexplained counts the crashes of each part without those that also involve a part of more crashes, which is
// the likelier cause.
func (s *Suspects) countUnexplained() {
	against := map[key][]byte{}
	for i, c := range s.crashes {
		most := math.MinInt
		for _, p := range c.parts {
			if u := s.suspected(c, p); u != nil {
				most = max(most, u.crashes)
			}
		}
		for _, p := range c.parts {
			if u := s.suspected(c, p); u != nil && u.crashes == most {
				u.unexplained++
				if c.seen.After(u.last) {
					u.last = c.seen
				}
				k := key{c.service, p}
				against[k] = append(against[k], byte(i))
			}
		}
	}
	s.findRivals(against)
}

// findRivals finds the blocked parts that the same crashes speak against, given the numbers of those of each part.
func (s *Suspects) findRivals(against map[key][]byte) {
	type group struct {
		service ferryid.ServiceName
		crashes string
	}
	groups := map[group][]PartID{}
	for k, crashes := range against {
		if s.suspicions[k].blocked() {
			g := group{k.service, string(crashes)}
			groups[g] = append(groups[g], k.part)
		}
	}
	for g, parts := range groups {
		for _, p := range parts {
			s.suspicions[key{g.service, p}].rivals = parts
		}
	}
}

// suspected returns the suspicion that a crash adds to, or nil if the part was written on since.
func (s *Suspects) suspected(c crash, p PartID) *suspicion {
	k := key{c.service, p}
	if s.written[k].at.Compare(c.at) > 0 {
		return nil
	}
	return s.suspicions[k]
}

func stringers(parts []PartID) []fmt.Stringer {
	out := make([]fmt.Stringer, len(parts))
	for i, p := range parts {
		out[i] = p
	}
	return out
}
