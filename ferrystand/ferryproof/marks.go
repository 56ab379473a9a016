package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
)

// leaveLimit is how soon after the first mark no entry that can hear of it gives an upstream new work.
const leaveLimit = 5 * time.Second

// marked waits until the entries hold an engine as leaving, or no longer as that.
func (w *world) marked(ctx context.Context, entries []*ferrydemo.Entry, e *ferrydemo.Engine, leaving bool, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, entry := range entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			got, err := w.holdsLeaving(ctx, entry, e)
			if err == nil && got != leaving {
				err = fmt.Errorf("at %s engine %s is leaving: %t", entry.Name, e.Name, got)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("a mark was not heard in %s: %w", limit, err)
		}
	}
	return nil
}

// holdsLeaving reports whether an entry holds an engine as leaving.
func (w *world) holdsLeaving(ctx context.Context, entry *ferrydemo.Entry, e *ferrydemo.Engine) (bool, error) {
	s, err := w.Status(ctx, entry)
	if err != nil {
		return false, err
	}
	for _, sv := range s.Services {
		for _, u := range sv.Upstreams {
			if u.Name == e.Name {
				return u.State == "Leaving", nil
			}
		}
	}
	return false, fmt.Errorf("%s does not know %s", entry.Name, e.Name)
}

// operatorMark marks an engine as leaving, or takes the mark back, at the first entry that answers.
func (w *world) operatorMark(ctx context.Context, e *ferrydemo.Engine, leaving bool) error {
	command := "drain"
	if !leaving {
		command = "undrain"
	}
	out, err := w.Ctl(ctx, command, ferrydemo.ModelService, e.Name, "--operator", "morning")
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}
