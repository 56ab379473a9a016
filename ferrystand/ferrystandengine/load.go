package ferrystandengine

import (
	"context"
	"net/http"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

// reports are the load report that callers see and the next one, one lag younger.
type reports struct {
	shown ferryengine.Load
	next  ferryengine.Load
}

func (e *Engine) report(ctx context.Context) {
	e.mu.Lock()
	e.reports = reports{shown: e.load(), next: e.load()}
	e.mu.Unlock()
	t := e.clock.NewTicker(e.cfg.LoadLag)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		e.mu.Lock()
		e.reports = reports{shown: e.reports.next, next: e.load()}
		e.mu.Unlock()
	}
}

func (e *Engine) load() ferryengine.Load {
	l := ferryengine.Load{
		Name: e.cfg.Name, Incarnation: e.incarnation, Layers: e.layers, State: ferryengine.StateLive,
		TokensPerSecond: e.cfg.TokensPerSecond, At: e.clock.Now(),
		Model: e.order.Model, Version: e.order.Version, Adapter: e.order.Adapter,
	}
	if e.leaving || e.faults.Leaving {
		l.State = ferryengine.StateLeaving
	}
	for _, st := range e.streams.byID {
		if st.left > 0 {
			l.RunningStreams++
			l.OutstandingTokens += ferryid.Tokens(st.left)
		}
	}
	return l
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.reports.shown
	if l.Name == "" {
		l = e.load()
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

// Running is the number of streams that run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load().RunningStreams
}
