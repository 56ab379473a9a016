package ferryforward

import (
	"errors"
	"slices"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferrysuspect"
)

// errNotMoved ends a run over a dead engine that is not moved to another one, since it may crash that too.
var errNotMoved = errors.New("run ended: engines of its path stop answering before they write")

// lostNames is a set of names of engines.
type lostNames struct {
	mu    sync.Mutex
	names map[ferryid.UpstreamName]bool
}

func (l *lostNames) add(name ferryid.UpstreamName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names == nil {
		l.names = map[ferryid.UpstreamName]bool{}
	}
	l.names[name] = true
}

func (l *lostNames) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.names)
}

func (l *lostNames) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.names)
}

// maxLostEngines is the number of lost engines that are kept; the oldest is dropped.
const maxLostEngines = 64

// lostEngines are the engines that stopped answering before they wrote on some request, until the platform shows what
// became of their processes.
type lostEngines struct {
	mu   sync.Mutex
	list []lostEngine
}

type lostEngine struct {
	service  ferryid.ServiceName
	upstream *ferrydiscovery.Upstream
	at       time.Time
}

// add adds an engine unless it is known.
func (l *lostEngines) add(e lostEngine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.list, func(k lostEngine) bool { return k.upstream.SameProcess(e.upstream) }) {
		return
	}
	if len(l.list) == maxLostEngines {
		l.list = slices.Delete(l.list, 0, 1)
	}
	l.list = append(l.list, e)
}

// takeEnded removes the engines whose fate a view shows, and those that were lost too long ago, and returns the ones whose
// process has ended without having been about to leave.
func (l *lostEngines) takeEnded(v *ferrydiscovery.View, now time.Time) []lostEngine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ended []lostEngine
	l.list = slices.DeleteFunc(l.list, func(e lostEngine) bool {
		if now.Sub(e.at) > ferrysuspect.LossRetention {
			return true
		}
		row := v.Get(e.upstream.Name)
		switch {
		case row == nil || !row.SameProcess(e.upstream) || isReplaced(e, v):
			ended = append(ended, e)
			return true
		case row.State == ferryplatform.StateLeaving:
			return true
		}
		return false
	})
	return ended
}

// isReplaced reports whether another process has registered at the address of an engine since that registered.
func isReplaced(e lostEngine, v *ferrydiscovery.View) bool {
	return slices.ContainsFunc(v.Of(e.service), func(u *ferrydiscovery.Upstream) bool {
		return u.Address == e.upstream.Address && u.Started.After(e.upstream.Started)
	})
}

// recordLoss records that an upstream stopped answering before it wrote on the request, which it got age ago.
func (s *callerStream) recordLoss(u *ferrydiscovery.Upstream, age time.Duration) {
	if s.written.Load() {
		return
	}
	s.r.lost.add(ferryid.UpstreamName(u.Name))
	s.cfg.Suspects.Lost(s.r.ID, s.r.service.name, ferryid.UpstreamName(u.Name), s.r.Parts, age)
	s.lost.add(lostEngine{service: s.r.service.name, upstream: u, at: s.cfg.Clock.Now()})
	if v := s.cfg.Services.currentView(); v != nil {
		s.settleLosses(v)
	}
}

// mayCrashMore reports whether a request that an engine has not written on may crash another one if it is moved there.
func (s *callerStream) mayCrashMore() bool {
	return !s.written.Load() && (s.r.lost.count() >= maxLost || s.isBlocked() != nil)
}

// interruptTrial ends the trial of a blocked part by the request if no engine has written on it. It is not sent again then.
func (s *callerStream) interruptTrial() {
	if !s.written.Load() {
		s.cfg.Suspects.Interrupted(s.r.ID, s.r.service.name, s.r.Parts)
	}
}

// settleLosses counts the lost engines whose process a view shows to have ended.
func (f *Forwarder) settleLosses(v *ferrydiscovery.View) {
	for _, e := range f.lost.takeEnded(v, f.cfg.Clock.Now()) {
		f.cfg.Suspects.Ended(e.service, ferryid.UpstreamName(e.upstream.Name))
	}
}

// probeBroken looks for the engine that is dead in the path of a run that ended early, other than the first.
func (s *callerStream) probeBroken(dest destination) {
	c, ok := dest.(enginePath)
	if !ok || s.written.Load() || len(s.r.Parts) == 0 {
		return
	}
	hops := c.run.Path().Hops()
	if len(hops) < 2 {
		return
	}
	s.guard.Go("engine probe", string(s.r.ID), func() {
		indices := make([]int, len(hops)-1)
		for i := range indices {
			indices[i] = i + 1
		}
		s.markDead(c.run, hops, s.prober.deadHops(hops, indices, s.cfg.Clock.Now().Add(-breakSlack)))
	})
}

// markDead marks the engines of a run that are dead as down and records the loss of one of them. Where several are dead at
// once, the part of one prompt is not the cause of more than one.
func (s *callerStream) markDead(run *ferrypath.Run, hops []ferrypath.Hop, dead []int) []ferryid.UpstreamName {
	var out []ferryid.UpstreamName
	for _, i := range dead {
		name := hops[i].Upstream.Name
		run.Chooser().MarkDown(name)
		out = append(out, ferryid.UpstreamName(name))
	}
	if len(dead) > 0 {
		s.recordLoss(hops[dead[0]].Upstream, run.PathAge())
	}
	return out
}
