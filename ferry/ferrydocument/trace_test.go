package ferrydocument

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

// tracePlayer replays a trace on the model; entries and operators are numbered from 1.
type tracePlayer struct {
	t   *testing.T
	m   *model
	out strings.Builder
}

// TestTraces replays each trace and compares the outcomes and the time line with the golden file.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".trace")
		t.Run(name, func(t *testing.T) {
			b, err := os.ReadFile(file)
			assert.NilError(t, err)
			p := &tracePlayer{t: t, m: newModel()}
			for i, line := range strings.Split(string(b), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				assert.NilError(t, p.play(words[0], words[1:]), "%s:%d: %s", file, i+1, line)
			}
			p.finish()
			golden.Assert(t, p.out.String(), "traces/"+name+".golden")
		})
	}
}

// play executes one line of a trace.
func (p *tracePlayer) play(word string, args []string) error {
	switch word {
	case "apply":
		return p.apply(args)
	case "step":
		op := p.m.operators[p.number(args, 0)-1]
		if op.core == nil {
			return errors.New("operator has no apply in progress")
		}
		op.action = op.core.next(p.m.perform(p.t.Context(), op.action))
		p.end(op, args[0])
	case "expire":
		op := p.m.operators[p.number(args, 0)-1]
		op.action = op.core.next(applyExpired{errApplyTimeout})
		p.end(op, args[0])
	case "watch":
		p.m.watchOnce(p.t.Context(), p.m.entries[p.number(args, 0)-1], nil)
	case "gossip":
		p.m.sendUpdates(p.m.entries[p.number(args, 0)-1], p.m.entries[p.number(args, 1)-1])
	case "join":
		p.m.entries[p.number(args, 0)-1] = p.m.newEntry()
	case "faults":
		return p.faults(args)
	case "advance":
		d, err := time.ParseDuration(args[0])
		p.m.clock.Advance(d)
		return err
	case "snapshot":
		p.m.store.Snapshot()
	case "restore":
		p.m.store.Restore()
	default:
		return fmt.Errorf("unknown command %q", word)
	}
	return nil
}

func (p *tracePlayer) number(args []string, i int) int {
	n, err := strconv.Atoi(args[i])
	assert.NilError(p.t, err)
	return n
}

// apply starts an apply; its arguments are OPERATOR ENTRY BASE TEAM [SUPERSEDES], the last one the number of
// the entry whose version is superseded.
func (p *tracePlayer) apply(args []string) error {
	op := p.m.operators[p.number(args, 0)-1]
	op.entry = p.m.entries[p.number(args, 1)-1]
	req := ApplyRequest{
		Service:        modelService,
		Source:         fmt.Sprintf("Service = %q\nTeam = %q\nKind = \"Plain\"\n", modelService, args[3]),
		BaseGeneration: ferryid.Generation(p.number(args, 2)),
		Operator:       "operator-" + args[0],
		ApplyID:        "apply-" + args[3],
	}
	if len(args) > 4 {
		f, _ := p.m.entries[p.number(args, 4)-1].holder.Get(modelService)
		req.Supersedes = []string{f.Hash}
	}
	p.m.begin(op, req)
	return nil
}

func (p *tracePlayer) end(op *modelOperator, name string) {
	end, ok := op.action.(endApply)
	if !ok {
		return
	}
	var unresolved *UnresolvedError
	switch {
	case end.err == nil:
		fmt.Fprintf(&p.out, "operator %s: accepted as generation %d\n", name, end.accepted.Generation)
	case errors.As(end.err, &unresolved):
		fmt.Fprintf(&p.out, "operator %s: not known; %s\n", name, unresolved.Command)
	default:
		fmt.Fprintf(&p.out, "operator %s: %v\n", name, end.err)
	}
	p.m.finish(op)
}

func (p *tracePlayer) faults(args []string) error {
	var f ferryplatformtest.Faults
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		switch name {
		case "Outage":
			f.Outage = n > 0
		case "LoseAnswers":
			f.LoseAnswers = n
		case "LateEffectMS":
			f.LateEffectMS = n
		case "WatchLagMS":
			f.WatchLagMS = n
		default:
			return fmt.Errorf("unknown fault %q", name)
		}
	}
	p.m.store.SetFaults(f)
	return nil
}

// finish prints the versions in force at each entry and in the store, and the merged time line.
func (p *tracePlayer) finish() {
	var logs []ferryevent.Events
	for _, e := range p.m.entries {
		team := "nothing"
		if f, ok := e.holder.Get(modelService); ok {
			team = fmt.Sprintf("generation %d, %s", f.Accepted.Generation, f.Document.Team)
		}
		fmt.Fprintf(&p.out, "%s: %s\n", e.name, team)
		logs = append(logs, e.events.Events())
	}
	if a := p.m.stored(); a.Generation > ferryid.Generation(ferryplatform.NoVersion) {
		fmt.Fprintf(&p.out, "store: generation %d, %s\n", a.Generation, a.ApplyID)
	}
	for _, e := range ferryevent.Merge(logs...) {
		fmt.Fprintln(&p.out, e)
	}
}
