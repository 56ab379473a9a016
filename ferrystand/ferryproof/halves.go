package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
	"cactusferry.dev/ferrystand/ferryproxy"
)

// halves returns the first and the second half of the entries.
func (h *harness) halves() (a, b []*ferrydemo.Entry) {
	n := len(h.Entries) / 2
	return h.Entries[:n], h.Entries[n:]
}

// setLinks sets the fault on all links between two sets of entries.
func (h *harness) setLinks(as, bs []*ferrydemo.Entry, f ferryproxy.Fault) {
	for _, a := range as {
		for _, b := range bs {
			a.Proxy.Set(b.Name, f)
			b.Proxy.Set(a.Name, f)
		}
	}
}

// restoreLinks removes the faults from all links.
func (h *harness) restoreLinks() {
	for _, e := range h.Entries {
		if e.Proxy != nil {
			e.Proxy.SetAll(ferryproxy.Pass{})
		}
	}
}

// waitGeneration waits until a generation, or a later one, is
// in force at the given entries, and returns the time taken.
func (h *harness) waitGeneration(ctx context.Context, entries []*ferrydemo.Entry, generation int, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, e := range entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			g, err := h.generation(ctx, e)
			if err == nil && g < generation {
				err = fmt.Errorf("%s is at generation %d", e.Name, g)
			}
			return err
		})
		if err != nil {
			return time.Since(began), fmt.Errorf("wait for generation %d: not in force after %s: %w", generation, limit, err)
		}
	}
	return time.Since(began), nil
}

// generation returns the generation of the model service's
// document in force at an entry, or 0 if there is none.
func (h *harness) generation(ctx context.Context, e *ferrydemo.Entry) (int, error) {
	s, err := h.Status(ctx, e)
	if err != nil {
		return 0, err
	}
	for _, d := range s.Documents {
		if d.Service == ferrydemo.ModelService {
			return d.Generation, nil
		}
	}
	return 0, nil
}

// waitMembership waits until every entry sees all entries as alive
// and has links, and returns the time taken.
func (h *harness) waitMembership(ctx context.Context, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, e := range h.Entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error { return h.checkMembership(ctx, e) })
		if err != nil {
			return time.Since(began), fmt.Errorf("membership incomplete after %s: %w", limit, err)
		}
	}
	return time.Since(began), nil
}

// waitSplit waits until an entry sees at most half of the entries,
// rounded up, as alive, and returns the time taken.
func (h *harness) waitSplit(ctx context.Context, e *ferrydemo.Entry, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
		alive, err := h.countAlive(ctx, e)
		if err == nil && alive > (len(h.Entries)+1)/2 {
			err = fmt.Errorf("%s still sees %d entries as alive", e.Name, alive)
		}
		return err
	})
	return time.Since(began), err
}

// countAlive returns the number of entries that an entry sees as alive.
func (h *harness) countAlive(ctx context.Context, e *ferrydemo.Entry) (int, error) {
	s, err := h.Status(ctx, e)
	n := 0
	for _, m := range s.Entries {
		if m.Status == "Alive" {
			n++
		}
	}
	return n, err
}

func (h *harness) checkMembership(ctx context.Context, e *ferrydemo.Entry) error {
	s, err := h.Status(ctx, e)
	if err != nil {
		return err
	}
	alive, err := h.countAlive(ctx, e)
	if err != nil {
		return err
	}
	if alive < len(h.Entries) || len(s.Peers) == 0 {
		return fmt.Errorf("%s sees %d of %d entries as alive and has %d links", e.Name, alive, len(h.Entries), len(s.Peers))
	}
	return nil
}
