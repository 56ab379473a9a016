package ferrycommand

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"
)

type failing struct{}

func (failing) Execute([]string) error { return errors.New("connection refused") }

type passing struct{}

func (passing) Execute([]string) error { return nil }

func TestRun(t *testing.T) {
	add := func(p *flags.Parser) error {
		if _, err := p.AddCommand("fail", "fails", "", &failing{}); err != nil {
			return err
		}
		_, err := p.AddCommand("pass", "passes", "", &passing{})
		return err
	}
	broken := func(*flags.Parser) error { return errors.New("duplicate command") }
	tests := []struct {
		name      string
		adders    []Adder
		args      []string
		code      int
		out, errs string
	}{
		{"done", []Adder{add}, []string{"pass"}, ExitDone, "", ""},
		{"failed", []Adder{add}, []string{"fail"}, ExitFailed, "", "tool: connection refused"},
		{"help", []Adder{add}, []string{"--help"}, ExitDone, "Available commands", ""},
		{"unknown", []Adder{add}, []string{"other"}, ExitFailed, "", "tool: Unknown command"},
		{"broken", []Adder{broken}, nil, ExitBroken, "", "tool: duplicate command"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, Run("tool", "a tool", tt.adders, tt.args, &out, &errs), tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.out), out.String())
			assert.Assert(t, strings.HasPrefix(errs.String(), tt.errs), errs.String())
			assert.Equal(t, tt.errs == "", errs.Len() == 0)
		})
	}
}
