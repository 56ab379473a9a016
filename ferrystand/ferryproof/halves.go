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
func (w *world) halves() (a, b []*ferrydemo.Entry) {
	n := len(w.Entries) / 2
	return w.Entries[:n], w.Entries[n:]
}

// between sets what is done with the links between two sets of entries.
func (w *world) between(as, bs []*ferrydemo.Entry, f ferryproxy.Fault) {
	for _, a := range as {
		for _, b := range bs {
			a.Proxy.Set(b.Name, f)
			b.Proxy.Set(a.Name, f)
		}
	}
}

// join lets all links pass again.
func (w *world) join() {
	for _, e := range w.Entries {
		if e.Proxy != nil {
			e.Proxy.SetAll(ferryproxy.Pass{})
		}
	}
}

// inForceAt waits until a generation is in force at some entries and returns how long that took.
func (w *world) inForceAt(ctx context.Context, entries []*ferrydemo.Entry, generation int, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, e := range entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			g, err := w.generation(ctx, e)
			if err == nil && g < generation {
				err = fmt.Errorf("%s has generation %d", e.Name, g)
			}
			return err
		})
		if err != nil {
			return time.Since(began), fmt.Errorf("generation %d is not in force after %s: %w", generation, limit, err)
		}
	}
	return time.Since(began), nil
}

// generation is the generation of the model's document in force at an entry.
func (w *world) generation(ctx context.Context, e *ferrydemo.Entry) (int, error) {
	s, err := w.Status(ctx, e)
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

// whole waits until every entry knows every other one as alive and has links, and returns how long that took.
func (w *world) whole(ctx context.Context, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, e := range w.Entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error { return w.knowsAll(ctx, e) })
		if err != nil {
			return time.Since(began), fmt.Errorf("the membership is not whole after %s: %w", limit, err)
		}
	}
	return time.Since(began), nil
}

// split waits until an entry counts at most half of the entries as alive.
func (w *world) split(ctx context.Context, e *ferrydemo.Entry, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
		alive, err := w.alive(ctx, e)
		if err == nil && alive > (len(w.Entries)+1)/2 {
			err = fmt.Errorf("%s counts %d entries as alive", e.Name, alive)
		}
		return err
	})
	return time.Since(began), err
}

// alive counts the entries that an entry holds as alive.
func (w *world) alive(ctx context.Context, e *ferrydemo.Entry) (int, error) {
	s, err := w.Status(ctx, e)
	n := 0
	for _, m := range s.Entries {
		if m.Status == "Alive" {
			n++
		}
	}
	return n, err
}

func (w *world) knowsAll(ctx context.Context, e *ferrydemo.Entry) error {
	s, err := w.Status(ctx, e)
	if err != nil {
		return err
	}
	alive, err := w.alive(ctx, e)
	if err != nil {
		return err
	}
	if alive < len(w.Entries) || len(s.Peers) == 0 {
		return fmt.Errorf("%s knows %d of %d entries as alive and has %d links", e.Name, alive, len(w.Entries), len(s.Peers))
	}
	return nil
}
