package ferrystream_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystream"
)

func positionOf(i int) ferryid.Position      { return ferryid.Position(i) }
func customer(s string) ferryid.CustomerName { return ferryid.CustomerName(s) }
func service(s string) ferryid.ServiceName   { return ferryid.ServiceName(s) }

func TestCompose(t *testing.T) {
	for _, tt := range []struct {
		name   string
		format ferrystream.Format
	}{
		{"completions", ferrystream.FormatCompletions},
		{"chat", ferrystream.FormatChat},
	} {
		c := ferrystream.NewComposer(ferrystream.ComposerConfig{
			Format: tt.format, ID: "s1", Model: "herd-llm", Created: time.Unix(1700000000, 0),
		})
		b := c.Start(nil)
		for i, text := range []string{" plain", " \"quoted\"\n", " мляко", "\x80"} {
			b = c.Token(b, ferrystream.Token{Position: positionOf(i), Text: text})
		}
		b = c.Heartbeat(b)
		b = c.Done(b, "length")
		b = c.Failed(b, ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Ran, "gone"))
		for line := range strings.Lines(string(b)) {
			data, ok := strings.CutPrefix(line, "data: {")
			assert.Assert(t, !ok || json.Valid([]byte("{"+data)), line)
		}
		whole := c.CompleteAnswer(nil, "a \"b\"", "stop", 3, 4)
		assert.Assert(t, json.Valid(whole))
		golden.Assert(t, string(b)+string(whole), tt.name+".golden")
	}
}

func TestComposeDoesNotAllocate(t *testing.T) {
	c, buf := benchComposer(t)
	tok := ferrystream.Token{Epoch: 1, Text: " word"}
	n := testing.AllocsPerRun(100, func() { buf = c.Token(buf[:0], tok) })
	assert.Assert(t, n == 0, "%v allocations a token", n)
}

func benchComposer(tb testing.TB) (*ferrystream.Composer, []byte) {
	s := newSealer(tb, clockwork.NewRealClock(), keyA)
	st, err := s.Stream(resume)
	assert.NilError(tb, err)
	return ferrystream.NewComposer(ferrystream.ComposerConfig{ID: "s1", Model: "herd-llm", Sealer: st}), make([]byte, 0, 4096)
}

func BenchmarkAssembleCompose(b *testing.B) {
	c, buf := benchComposer(b)
	a := ferrystream.NewAssembler(0)
	out := make([]ferrystream.Token, 0, 4)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		out, _ = a.Add(ferrystream.Token{Position: positionOf(i), Epoch: 1, Text: " word"}, out[:0])
		for _, t := range out {
			buf = c.Token(buf[:0], t)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
