package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
)

// leaveLimit is the time after the first mark from which no
// entry that can learn of it gives the upstream new work.
const leaveLimit = 5 * time.Second

// waitLeaving waits until the entries report an engine as leaving, or no longer as leaving.
func (h *harness) waitLeaving(ctx context.Context, entries []*ferrydemo.Entry, e *ferrydemo.Engine, leaving bool, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, entry := range entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			got, err := h.reportsLeaving(ctx, entry, e)
			if err == nil && got != leaving {
				err = fmt.Errorf("%s reports engine %s as leaving: %t", entry.Name, e.Name, got)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("change of the leaving mark did not arrive within %s: %w", limit, err)
		}
	}
	return nil
}

// reportsLeaving reports whether an entry's status shows an engine as leaving.
func (h *harness) reportsLeaving(ctx context.Context, entry *ferrydemo.Entry, e *ferrydemo.Engine) (bool, error) {
	s, err := h.Status(ctx, entry)
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
	return false, fmt.Errorf("status of %s does not list engine %s", entry.Name, e.Name)
}

// setDrain drains or undrains an engine with ferryctl, at the first entry that answers.
func (h *harness) setDrain(ctx context.Context, e *ferrydemo.Engine, leaving bool) error {
	command := "drain"
	if !leaving {
		command = "undrain"
	}
	out, err := h.Ctl(ctx, command, ferrydemo.ModelService, e.Name, "--operator", "morning")
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}
