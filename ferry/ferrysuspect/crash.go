package ferrysuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

// sighting is one report of a crash. Several entries may report one crash, each with the parts of its requests.
type sighting struct {
	service ferryid.ServiceName
	engine  ferryid.UpstreamName
	at      ferryevent.Timestamp
	seen    time.Time
	// sent is when the request was sent to a lost engine, and zero for an engine that was known at once to have crashed.
	sent  ferryevent.Timestamp
	parts []PartID
}

// compare orders sightings by time; those that compare as equal are of one crash and moment.
func (g sighting) compare(o sighting) int {
	return cmp.Or(g.at.Compare(o.at), cmp.Compare(g.service, o.service), cmp.Compare(g.engine, o.engine), g.sent.Compare(o.sent))
}

// lost reports whether the engine was lost first.
func (g sighting) lost() bool { return g.sent != ferryevent.Timestamp{} }

// crash is the crash of one engine with the parts that it had not written on.
type crash struct {
	service ferryid.ServiceName
	engine  ferryid.UpstreamName
	at      ferryevent.Timestamp
	seen    time.Time
	lost    bool
	parts   []PartID
}

// addSighting adds a report of a crash, made at the given time and age ago. If there are too many, the oldest are dropped.
func (s *Suspects) addSighting(r Report, at ferryevent.Timestamp, age time.Duration) {
	g := sighting{service: r.Service, engine: r.Crashed, at: before(at, r.Age), seen: s.cfg.Clock.Now().Add(-age - r.Age)}
	if r.Age > 0 {
		g.sent = before(at, max(r.Sent, r.Age))
	}
	i, found := slices.BinarySearchFunc(s.sightings, g, sighting.compare)
	if !found {
		s.sightings = slices.Insert(s.sightings, i, g)
	}
	known := &s.sightings[i]
	if g.seen.Before(known.seen) {
		known.seen = g.seen
	}
	for _, p := range r.Parts {
		if j, found := slices.BinarySearch(known.parts, p); !found {
			known.parts = slices.Insert(known.parts, j, p)
		}
	}
	if len(known.parts) > maxCrashedParts {
		known.parts = s.likely(r.Service, known.parts)
		slices.Sort(known.parts)
	}
	if len(s.sightings) > maxSightings {
		s.sightings = slices.Delete(s.sightings, 0, 1)
	}
	s.crashes = nil
}

// recordAnswer records an answer on a part. If there are too many, the oldest are dropped.
func (s *Suspects) recordAnswer(k key, at ferryevent.Timestamp, age time.Duration) {
	if s.written[k].at.Compare(at) >= 0 {
		return
	}
	s.written[k] = answer{at: at, seen: s.cfg.Clock.Now().Add(-age)}
	if len(s.written) <= maxWritten {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(s.written), func(o, p key) int {
		return cmp.Or(s.written[o].at.Compare(s.written[p].at), cmp.Compare(o.service, p.service), cmp.Compare(o.part, p.part))
	})
	for _, k := range oldest[:maxWritten/writtenShare] {
		delete(s.written, k)
	}
}

// forgetOld drops what was observed longer than Retention ago.
func (s *Suspects) forgetOld() {
	oldest := s.cfg.Clock.Now().Add(-Retention)
	before := len(s.sightings)
	s.sightings = slices.DeleteFunc(s.sightings, func(g sighting) bool { return g.seen.Before(oldest) })
	if len(s.sightings) != before {
		s.crashes = nil
	}
	for k, a := range s.written {
		if a.seen.Before(oldest) {
			delete(s.written, k)
		}
	}
}

// deriveCrashes returns the crashes that the sightings are of, oldest first.
func (s *Suspects) deriveCrashes() []crash {
	crashes := []crash{}
	sources := [][][]PartID{}
	last := map[crashed]int{}
	for _, g := range s.sightings {
		c := crashed{g.service, g.engine}
		i, known := last[c]
		if !known || g.at.Time().Sub(crashes[i].at.Time()) >= crashes[i].span(g) {
			i = len(crashes)
			last[c] = i
			crashes = append(crashes, crash{service: g.service, engine: g.engine, at: g.at, seen: g.seen, lost: g.lost()})
			sources = append(sources, nil)
		}
		if g.sent.Compare(crashes[i].at) > 0 {
			continue // the engine had crashed before
		}
		sources[i] = append(sources[i], g.parts)
	}
	for i := range crashes {
		crashes[i].parts = s.merge(crashes[i].service, sources[i])
	}
	return crashes[max(0, len(crashes)-maxCrashes):]
}

// merge returns the parts of one crash from its sightings. If there are too many, each sighting gives as many, so that the
// parts of one request do not push out those of another.
func (s *Suspects) merge(service ferryid.ServiceName, sightings [][]PartID) []PartID {
	all := slices.Concat(sightings...)
	if len(all) <= maxCrashedParts {
		slices.Sort(all)
		return slices.Compact(all)
	}
	for i, parts := range sightings {
		sightings[i] = s.provenLast(service, parts)
	}
	out, known := []PartID{}, map[PartID]bool{}
	for i := 0; len(out) < maxCrashedParts && i < len(all); i++ {
		for _, parts := range sightings {
			if i < len(parts) && !known[parts[i]] && len(out) < maxCrashedParts {
				known[parts[i]] = true
				out = append(out, parts[i])
			}
		}
	}
	return out
}

// span returns the time from the first sighting of a crash within which another one of its engine is of the same crash. An
// engine that answers no more is lost whenever another request is sent to it.
func (c crash) span(g sighting) time.Duration {
	if c.lost || g.lost() {
		return LossRetention
	}
	return sameCrash
}
