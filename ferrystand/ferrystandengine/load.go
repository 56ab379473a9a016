package ferrystandengine

import (
	"context"
	"net/http"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

// reports are the published load report and the next one, which is LoadLag newer.
type reports struct {
	published ferryengine.Load
	next      ferryengine.Load
}

func (e *Engine) publishLoad(ctx context.Context) {
	e.mu.Lock()
	e.reports = reports{published: e.load(), next: e.load()}
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
		e.reports = reports{published: e.reports.next, next: e.load()}
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
	l := e.reports.published
	if l.Name == "" {
		l = e.load()
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

// Running returns the number of running streams.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load().RunningStreams
}
