package ferryproof

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	loadTime    = 6 * time.Second
	loadCallers = 8
	loadTokens  = 120
)

var layers = Case{
	Name:      "layers",
	Guarantee: "every layer runs once for each token, in order",
	Faults:    "one engine killed, one frozen and resumed, one restarted empty, under load",
	size:      ferrydemo.Config{Engines: 8, Entries: 3},
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithTimeout(ctx, loadTime)
		defer end()
		var t tally
		wg := h.startStreams(load, ctx, loadCallers, loadTokens, &t)
		h.Engines[0].Process.Kill()
		time.Sleep(loadTime / 6)
		if err := h.Engines[3].Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(loadTime / 2)
		if err := h.Engines[3].Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		if err := h.StartEngine(ctx, h.Engines[0]); err != nil {
			return err
		}
		wg.Wait()
		h.note("%s", &t)
		if err := t.err(); err != nil {
			return err
		}
		if t.complete == 0 {
			return fmt.Errorf("inconclusive: no answer was complete")
		}
		return h.checkRecords(ctx)
	},
}

// checkRecords checks the records of all engines: within one
// epoch of a stream no layer is applied twice at a position.
func (h *harness) checkRecords(ctx context.Context) error {
	type record struct {
		Stream   string
		Epoch    int
		Position int
		Layer    int
	}
	type at struct {
		stream string
		epoch  int
		layer  int
	}
	total := 0
	seen := map[at]map[int]string{}
	for _, e := range h.Engines {
		var records []record
		if err := h.GetJSON(ctx, "http://"+e.Address+"/admin/records", &records); err != nil {
			return err
		}
		for _, r := range records {
			k := at{r.Stream, r.Epoch, r.Layer}
			if seen[k] == nil {
				seen[k] = map[int]string{}
			}
			if other, ok := seen[k][r.Position]; ok {
				return fmt.Errorf("layer %d of stream %s ran twice at position %d in epoch %d: at %s and %s", r.Layer, r.Stream, r.Position, r.Epoch, other, e.Name)
			}
			seen[k][r.Position] = e.Name
			total++
		}
	}
	h.note("%d layer applications recorded, none twice in an epoch", total)
	return nil
}
