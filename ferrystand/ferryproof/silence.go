package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
)

const (
	// silenceReplaced is how soon links gone silent are replaced: 4 s until they are noticed, and the time to dial.
	silenceReplaced = 8 * time.Second
	silenceRounds   = 3
	// silentClosedLimit is how soon both ends have closed a silent connection.
	silentClosedLimit = 10 * time.Second
)

var silence = Case{
	Name:    "silence",
	Promise: "links gone silent for good are replaced, and accepted configuration still reaches every entry",
	Faults:  "every open link between seven entries silent for good, three times, while new connections work",
	size:    ferrydemo.Config{Engines: 2, Entries: 7, PeerProxies: true},
	run: func(ctx context.Context, w *world) error {
		for n := range silenceRounds {
			links := 0
			for _, e := range w.Entries {
				links += e.Proxy.Silence()
			}
			if links < len(w.Entries)-1 {
				return fmt.Errorf("only %d connections were open, so nothing was proved", links)
			}
			if err := w.apply(ctx, ferrydemo.ModelService, w.ModelDocument(100+n), n+1, "morning"); err != nil {
				return err
			}
			took, err := w.inForceAt(ctx, w.Entries, n+2, inForceLimit)
			if err != nil {
				return err
			}
			mark := time.Now()
			if err := w.drainSeen(ctx, w.Engines[n%2], n < 2); err != nil {
				return err
			}
			w.note("%d links silent: a document in force everywhere after %s, an operator's mark after %s", links, took.Round(time.Millisecond), time.Since(mark).Round(time.Millisecond))
			whole, err := w.whole(ctx, silenceReplaced)
			if err != nil {
				return err
			}
			w.note("membership whole %s later", whole.Round(time.Millisecond))
			if err := w.silentClosed(ctx); err != nil {
				return err
			}
		}
		return nil
	},
}

// silentClosed waits until no end holds a silent connection open any more.
func (w *world) silentClosed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, silentClosedLimit)
	defer cancel()
	began := time.Now()
	err := ferryprocess.Poll(ctx, func(context.Context) error {
		n := 0
		for _, e := range w.Entries {
			n += e.Proxy.Silenced()
		}
		if n > 0 {
			return fmt.Errorf("%d silent connections are still held open after %s", n, silentClosedLimit)
		}
		return nil
	})
	w.note("every silent connection closed by both ends %s later", time.Since(began).Round(time.Millisecond))
	return err
}

// drainSeen marks an engine at one entry, or takes the mark back, and waits until the others have heard it, which only links can bring.
func (w *world) drainSeen(ctx context.Context, e *ferrydemo.Engine, leaving bool) error {
	if err := w.operatorMark(ctx, e, leaving); err != nil {
		return err
	}
	return w.marked(ctx, w.Entries, e, leaving, silenceReplaced)
}
