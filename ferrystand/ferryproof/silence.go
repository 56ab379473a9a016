package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
)

const (
	// silentLinkLimit bounds the time until silent links are replaced:
	// 4 s until they are detected, plus the time to dial.
	silentLinkLimit = 8 * time.Second
	silenceRounds   = 3
	// silentClosedLimit bounds the time until both ends have closed a silent connection.
	silentClosedLimit = 10 * time.Second
)

var silence = Case{
	Name:      "silence",
	Guarantee: "permanently silent links are replaced, and accepted configuration still reaches every entry",
	Faults:    "every open link between seven entries permanently silent, three times, while new connections work",
	size:      ferrydemo.Config{Engines: 2, Entries: 7, PeerProxies: true},
	run: func(ctx context.Context, h *harness) error {
		for n := range silenceRounds {
			links := 0
			for _, e := range h.Entries {
				links += e.Proxy.Silence()
			}
			if links < len(h.Entries)-1 {
				return fmt.Errorf("inconclusive: only %d connections were open", links)
			}
			if err := h.apply(ctx, ferrydemo.ModelService, h.ModelDocument(100+n), n+1, "morning"); err != nil {
				return err
			}
			took, err := h.waitGeneration(ctx, h.Entries, n+2, inForceLimit)
			if err != nil {
				return err
			}
			mark := time.Now()
			if err := h.drainAndWait(ctx, h.Engines[n%2], n < 2); err != nil {
				return err
			}
			h.note("%d links silent: a document in force everywhere after %s, an operator's drain after %s", links, took.Round(time.Millisecond), time.Since(mark).Round(time.Millisecond))
			membership, err := h.waitMembership(ctx, silentLinkLimit)
			if err != nil {
				return err
			}
			h.note("membership complete %s later", membership.Round(time.Millisecond))
			if err := h.waitSilentClosed(ctx); err != nil {
				return err
			}
		}
		return nil
	},
}

// waitSilentClosed waits until both ends have closed every silent connection.
func (h *harness) waitSilentClosed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, silentClosedLimit)
	defer cancel()
	began := time.Now()
	err := ferryprocess.Poll(ctx, func(context.Context) error {
		n := 0
		for _, e := range h.Entries {
			n += e.Proxy.Silenced()
		}
		if n > 0 {
			return fmt.Errorf("%d silent connections still open after %s", n, silentClosedLimit)
		}
		return nil
	})
	h.note("all silent connections closed by both ends %s later", time.Since(began).Round(time.Millisecond))
	return err
}

// drainAndWait drains or undrains an engine at one entry and waits
// until the others have learned of it, which only links can carry.
func (h *harness) drainAndWait(ctx context.Context, e *ferrydemo.Engine, leaving bool) error {
	if err := h.setDrain(ctx, e, leaving); err != nil {
		return err
	}
	return h.waitLeaving(ctx, h.Entries, e, leaving, silentLinkLimit)
}
