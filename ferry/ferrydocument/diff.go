package ferrydocument

import (
	"fmt"
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"cactusferry.dev/ferry/ferryservice"
)

// diffContext is the number of unchanged lines around a change.
const diffContext = 2

// maxDiffLines bounds the texts to compare, as the comparison takes quadratic time.
const maxDiffLines = 5000

// diffOf shows the changes of both sides of a lost race, three-way if the edited version is available and
// otherwise as a diff between the two.
func diffOf(req ApplyRequest, winner ferryservice.Accepted) string {
	theirs := fmt.Sprintf("theirs: generation %d by %s", winner.Generation, winner.Operator)
	if req.Base == nil || req.Base.Generation != req.BaseGeneration {
		return fmt.Sprintf("generation %d, which you edited, is no longer held; this is theirs against yours\n", req.BaseGeneration) +
			Diff(theirs, winner.Source, "yours", req.Source)
	}
	base := fmt.Sprintf("base: generation %d", req.BaseGeneration)
	return Diff(base, req.Base.Source, theirs, winner.Source) +
		Diff(base, req.Base.Source, "yours", req.Source) +
		overlap(req.Base.Source, winner.Source, req.Source)
}

// Diff returns a unified diff of two texts, empty if they are equal.
func Diff(fromName, from, toName, to string) string {
	a, b := splitLines(from), splitLines(to)
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		return fmt.Sprintf("--- %s\n+++ %s\ntoo long to compare here: %d and %d lines\n", fromName, toName, len(a), len(b))
	}
	s, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: a, B: b, FromFile: fromName, ToFile: toName, Context: diffContext})
	if err != nil {
		return err.Error()
	}
	return s
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return difflib.SplitLines(strings.TrimSuffix(s, "\n"))
}

// span is a half-open range of lines of the base, counted from 0.
type span struct{ from, to int }

// overlap lists the lines of the base that both sides changed.
func overlap(base, theirs, yours string) string {
	if max(strings.Count(base, "\n"), strings.Count(theirs, "\n"), strings.Count(yours, "\n")) > maxDiffLines {
		return ""
	}
	var b strings.Builder
	yourSpans := changed(base, yours)
	for _, t := range changed(base, theirs) {
		for _, y := range yourSpans {
			if s, ok := t.intersect(y); ok {
				fmt.Fprintf(&b, "both changed %s of the base\n", s)
			}
		}
	}
	if b.Len() == 0 {
		return "no line of the base was changed by both\n"
	}
	return b.String()
}

func changed(base, to string) []span {
	var out []span
	for _, op := range difflib.NewMatcher(splitLines(base), splitLines(to)).GetOpCodes() {
		if op.Tag != 'e' {
			out = append(out, span{op.I1, op.I2})
		}
	}
	return out
}

// intersect returns the intersection of two spans; two insertions at the same place intersect too.
func (s span) intersect(t span) (span, bool) {
	r := span{max(s.from, t.from), min(s.to, t.to)}
	if r.from < r.to {
		return r, true
	}
	return r, r.from == r.to && (s.from == s.to || t.from == t.to)
}

func (s span) String() string {
	switch s.to - s.from {
	case 0:
		return fmt.Sprintf("the place after line %d", s.from)
	case 1:
		return fmt.Sprintf("line %d", s.to)
	}
	return fmt.Sprintf("lines %d to %d", s.from+1, s.to)
}
