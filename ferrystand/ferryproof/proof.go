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

// Case is one promise and the failures it is proved under.
type Case struct {
	Name string
	// Promise is what must hold.
	Promise string
	// Faults is what is brought about.
	Faults string
	run    func(ctx context.Context, w *world) error
	size   ferrydemo.Config
	// journals says that engines write their steps to files, which outlive them.
	journals bool
	// prepare, if set, runs before anything is started.
	prepare func(w *world) error
}

// Cases are all cases, in the order of the brief's promises.
var Cases = []Case{
	layers, kinds, wholeAnswers, notRun, atMostOnce, claims, leaving, leavingCut, plannedStops, staleAnswers, configuration, partition, silence, orders, keys, together,
}

// Report says how one case went.
type Report struct {
	Case  Case
	Took  time.Duration
	Notes []string
	Err   error
}

// world is what one case works with.
type world struct {
	*ferrydemo.Fleet
	out   io.Writer
	rand  *rand.Rand
	dir   string
	notes []string
	// authorities and served belong to the case with TLS.
	authorities authorities
	served      int
}

func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.notes = append(w.notes, line)
	fmt.Fprintln(w.out, "   ", line)
}

// Run runs one case with a fleet of its own.
func (c Case) Run(ctx context.Context, out io.Writer, programs string, seed uint64) Report {
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	began := time.Now()
	w := &world{out: out, rand: rand.New(rand.NewPCG(seed, 0))}
	err := c.with(ctx, w, programs)
	return Report{Case: c, Took: time.Since(began), Notes: w.notes, Err: err}
}

func (c Case) with(ctx context.Context, w *world, programs string) (err error) {
	size := c.size
	size.Dir = programs
	w.Fleet, err = ferrydemo.New(size)
	if err != nil {
		return err
	}
	defer w.KillAll()
	w.dir, err = os.MkdirTemp("", "cactusferry-proof")
	if err != nil {
		return err
	}
	defer os.RemoveAll(w.dir)
	if c.journals {
		w.Journals = w.dir
	}
	if c.prepare != nil {
		if err := c.prepare(w); err != nil {
			return err
		}
	}
	if err := w.begin(ctx); err != nil {
		return err
	}
	return c.run(ctx, w)
}

// begin starts everything and accepts both documents.
func (w *world) begin(ctx context.Context) error {
	if err := w.StartUpstreams(ctx); err != nil {
		return err
	}
	for _, e := range w.Entries {
		if err := w.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	if err := w.WaitMembers(ctx); err != nil {
		return err
	}
	if err := w.apply(ctx, ferrydemo.ModelService, w.ModelDocument(128), 0, "morning"); err != nil {
		return err
	}
	if err := w.apply(ctx, ferrydemo.PlainService, w.PlainDocument(), 0, "morning"); err != nil {
		return err
	}
	for _, s := range []string{ferrydemo.ModelService, ferrydemo.PlainService} {
		if err := w.WaitInForce(ctx, s, 1); err != nil {
			return err
		}
	}
	return nil
}

// apply sends a document with ferryctl.
func (w *world) apply(ctx context.Context, service, text string, base int, operator string) error {
	file := filepath.Join(w.dir, fmt.Sprintf("%s-%s-%d.toml", service, operator, base))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := w.Ctl(ctx, "apply", file, "--base", fmt.Sprint(base), "--operator", operator)
	return merry.Prepend(err, strings.TrimSpace(out))
}

// platformFaults sets the platform's switches.
func (w *world) platformFaults(ctx context.Context, faults map[string]any) error {
	return w.PutJSON(ctx, "http://"+w.Platform+"/admin/faults", faults)
}

// plainFaults sets the plain service's switches.
func (w *world) plainFaults(ctx context.Context, faults map[string]any) error {
	return w.PutJSON(ctx, "http://"+w.Plain+"/admin/faults", faults)
}
