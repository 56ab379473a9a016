package ferryproof

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const caseTimeout = 90 * time.Second

// Case is one guarantee and the faults under which it is checked.
type Case struct {
	Name string
	// Guarantee describes the property that must hold.
	Guarantee string
	// Faults describes the injected faults.
	Faults string
	run    func(ctx context.Context, h *harness) error
	size   ferrydemo.Config
	// journals makes engines write their steps to files that remain readable after a kill.
	journals bool
	// prepare, if set, runs before any process is started.
	prepare func(h *harness) error
}

// Cases are all cases, in the order of the guarantees in the requirements.
var Cases = []Case{
	layers, kinds, completeAnswers, notRun, atMostOnce, claims, leaving, leavingCut, plannedStops, staleAnswers, configuration, partition, silence, orders, keys, together,
}

// Report is the result of one case.
type Report struct {
	Case  Case
	Took  time.Duration
	Notes []string
	Err   error
}

// harness is the fleet and the state of one case.
type harness struct {
	*ferrydemo.Fleet
	out   io.Writer
	rand  *rand.Rand
	dir   string
	notes []string
	// authorities and tlsRounds are used by the TLS case only.
	authorities authorities
	tlsRounds   int
}

func (h *harness) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	h.notes = append(h.notes, line)
	fmt.Fprintln(h.out, "   ", line)
}

// Run runs one case with a new fleet, with the programs of the given directory.
func (c Case) Run(ctx context.Context, out io.Writer, programs string, seed uint64) Report {
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	began := time.Now()
	h := &harness{out: out, rand: rand.New(rand.NewPCG(seed, 0))}
	err := c.runWithFleet(ctx, h, programs)
	return Report{Case: c, Took: time.Since(began), Notes: h.notes, Err: err}
}

func (c Case) runWithFleet(ctx context.Context, h *harness, programs string) (err error) {
	size := c.size
	size.Dir = programs
	h.Fleet, err = ferrydemo.New(size)
	if err != nil {
		return err
	}
	defer h.KillAll()
	h.dir, err = os.MkdirTemp("", "cactusferry-proof")
	if err != nil {
		return err
	}
	defer os.RemoveAll(h.dir)
	if c.journals {
		h.Journals = h.dir
	}
	if c.prepare != nil {
		if err := c.prepare(h); err != nil {
			return err
		}
	}
	if err := h.startFleet(ctx); err != nil {
		return err
	}
	return c.run(ctx, h)
}

// startFleet starts all processes, applies both documents and waits until they are in force.
func (h *harness) startFleet(ctx context.Context) error {
	if err := h.StartUpstreams(ctx); err != nil {
		return err
	}
	for _, e := range h.Entries {
		if err := h.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	if err := h.WaitMembers(ctx); err != nil {
		return err
	}
	if err := h.apply(ctx, ferrydemo.ModelService, h.ModelDocument(128), 0, "morning"); err != nil {
		return err
	}
	if err := h.apply(ctx, ferrydemo.PlainService, h.PlainDocument(), 0, "morning"); err != nil {
		return err
	}
	for _, s := range []string{ferrydemo.ModelService, ferrydemo.PlainService} {
		if err := h.WaitInForce(ctx, s, 1); err != nil {
			return err
		}
	}
	return nil
}

// apply applies a document with ferryctl.
func (h *harness) apply(ctx context.Context, service, text string, base int, operator string) error {
	file := filepath.Join(h.dir, fmt.Sprintf("%s-%s-%d.toml", service, operator, base))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := h.Ctl(ctx, "apply", file, "--base", fmt.Sprint(base), "--operator", operator)
	return merry.Prepend(err, strings.TrimSpace(out))
}

// platformFaults sets the platform stand-in's faults.
func (h *harness) platformFaults(ctx context.Context, faults map[string]any) error {
	return h.PutJSON(ctx, "http://"+h.PlatformAddress+"/admin/faults", faults)
}

// plainFaults sets the plain service's faults.
func (h *harness) plainFaults(ctx context.Context, faults map[string]any) error {
	return h.PutJSON(ctx, "http://"+h.PlainAddress+"/admin/faults", faults)
}
