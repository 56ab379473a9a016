package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const (
	processTokens = 12
	processLayers = 8
	processPrompt = "explain the yield drop"
)

// processes is four engine processes: two for each half of the
// layers, the first of each pair with the higher planned rate.
type processes struct {
	commands []*exec.Cmd
	cfg      ferrypipeline.PlannerConfig
	runner   *ferrypipeline.Runner
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ferrystand")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

func startProcesses(t *testing.T, binary string) *processes {
	t.Helper()
	p := &processes{cfg: ferrypipeline.PlannerConfig{Layers: processLayers}}
	var loads []ferrypipeline.Load
	client := ferryengine.New(ferryengine.ClientConfig{})
	for i := range 4 {
		half, replica := i%2, i/2
		layers := ferryid.LayerRange{From: ferryid.Layer(4 * half), To: ferryid.Layer(4*half + 4)}
		name := fmt.Sprintf("e%d-%d", half, replica)
		address := p.start(t, binary, name, layers)
		load, err := client.Load(context.Background(), address)
		assert.NilError(t, err)
		p.cfg.Candidates = append(p.cfg.Candidates, ferrypipeline.Candidate{
			Name: ferryid.UpstreamName(name), Address: address, Incarnation: load.Incarnation, Domain: "ruse-a", Layers: layers,
		})
		loads = append(loads, ferrypipeline.Load{Rate: ferryid.TokensPerSecond(400 - 200*replica)})
	}
	clock := clockwork.NewRealClock()
	pool, err := ferrypipeline.NewPool(p.cfg, loads, clock)
	assert.NilError(t, err)
	p.runner = &ferrypipeline.Runner{Engines: client, Picker: pool, Clock: clock}
	return p
}

func (p *processes) start(t *testing.T, binary, name string, layers ferryid.LayerRange) string {
	t.Helper()
	cmd := exec.Command(binary, "engine", "--name="+name, "--domain=ruse-a", "--service=herd-llm",
		fmt.Sprintf("--layers=%d:%d", layers.From, layers.To), "--tokens-per-second=200")
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	p.commands = append(p.commands, cmd)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "ready ")
	assert.Assert(t, ok, line)
	return address
}

func (p *processes) records(t *testing.T) []ferrypipeline.Applied {
	t.Helper()
	var all []ferrypipeline.Applied
	for _, c := range p.cfg.Candidates {
		resp, err := http.Get("http://" + c.Address + "/admin/records?stream=s")
		assert.NilError(t, err)
		var rs []ferrypipeline.Applied
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&rs))
		assert.NilError(t, resp.Body.Close())
		all = append(all, rs...)
	}
	return all
}

// Engine processes get SIGKILL, SIGSTOP followed by SIGCONT, or SIGTERM
// mid-stream; the text must be complete and correct each time.
func TestProcesses(t *testing.T) {
	binary := buildBinary(t)
	want := ferryenginetest.Reference(5, processPrompt, processTokens, processLayers)
	for _, tt := range []struct {
		name   string
		signal syscall.Signal
		epochs int
		// checkRecords is set if all engines survive, so that their records can be compared with the answer.
		checkRecords bool
	}{
		{"killed", syscall.SIGKILL, 2, false},
		{"stopped and continued", syscall.SIGSTOP, 2, true},
		{"terminated", syscall.SIGTERM, 1, false},
	} {
		for victim := range 2 {
			p := startProcesses(t, binary)
			var got []ferrypipeline.Token
			res, err := p.runner.Run(context.Background(), ferrypipeline.Job{
				Service: "herd-llm", Stream: "s", Prompt: processPrompt, MaxTokens: processTokens, Seed: 5,
			}, func(tok ferrypipeline.Token) error {
				got = append(got, tok)
				switch {
				case tok.Position == 3:
					return p.commands[victim].Process.Signal(tt.signal)
				case tok.Position == 8 && tt.signal == syscall.SIGSTOP:
					// The engine resumes with work of its old epoch in progress.
					return p.commands[victim].Process.Signal(syscall.SIGCONT)
				}
				return nil
			})
			assert.NilError(t, err, "%s: stage %d", tt.name, victim)
			p.runner.Wait()
			assert.Assert(t, res.Epochs >= tt.epochs, "%s: stage %d", tt.name, victim)
			for i, tok := range got {
				assert.Equal(t, tok.Text, want[i], "%s: stage %d", tt.name, victim)
			}
			assert.Equal(t, len(got), processTokens)
			if tt.signal == syscall.SIGTERM {
				assert.NilError(t, p.commands[victim].Wait(), "expected exit status 0 after SIGTERM")
			}
			if tt.checkRecords {
				c := ferrypipeline.Checker{Layers: processLayers}
				assert.NilError(t, c.Check(p.records(t), got))
			}
		}
	}
}
