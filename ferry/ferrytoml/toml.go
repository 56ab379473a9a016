package ferrytoml

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

const (
	// maxFaults bounds how many faults one decoding reports.
	maxFaults = 100
	// maxBytes bounds the size of a file.
	maxBytes = 1 << 20
)

// Fault is one thing wrong with a file.
type Fault struct {
	Line  int    `json:"Line"`
	Field string `json:"Field"`
	Text  string `json:"Text"`
}

func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// FaultsError lists everything that is wrong with one file.
type FaultsError struct {
	Name   string
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.Name+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by types that check themselves after decoding.
type Checker interface {
	Check(c *Check)
}

// Check collects the faults that a type finds in itself.
type Check struct {
	root   reflect.Type
	types  fieldTypes
	layout layout
	faults []Fault
	// blanked are the lines that could not be decoded, where a type's own check would only repeat that.
	blanked map[int]bool
}

// Fault records a fault of the field, such as "Upstreams[1].Address".
func (c *Check) Fault(field, format string, args ...any) {
	line := c.layout.line(field)
	if c.blanked[line] && c.layout.has(field) {
		return
	}
	c.add(Fault{Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

func (c *Check) add(f Fault) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, f)
	}
}

// Decode reads TOML into v and returns a *FaultsError with every fault found, at most 100; a file has at most 1 MiB.
func Decode(name string, data []byte, v Checker) error {
	c := newCheck(v)
	if c.decode(data, v) {
		v.Check(c)
	}
	return c.err(name)
}

// Read reads TOML into v without its own check and returns a *FaultsError with every fault found.
func Read(name string, data []byte, v any) error {
	c := newCheck(v)
	c.decode(data, v)
	return c.err(name)
}

// Validate checks a value that was read from the data before and may have been changed since; faults lie at the data's lines.
func Validate(name string, data []byte, v Checker) error {
	c := newCheck(v)
	c.layout, _ = scan(data, func(Fault) {})
	v.Check(c)
	return c.err(name)
}

// Join returns one *FaultsError with the faults of both errors, of a line the first one's only.
func Join(first, second error) error {
	var a, b *FaultsError
	if !errors.As(first, &a) || !errors.As(second, &b) {
		return errors.Join(first, second)
	}
	out := &FaultsError{Name: a.Name, Faults: slices.Clone(a.Faults)}
	for _, f := range b.Faults {
		if !slices.ContainsFunc(a.Faults, func(g Fault) bool { return g.Line == f.Line }) {
			out.Faults = append(out.Faults, f)
		}
	}
	slices.SortStableFunc(out.Faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return out
}

func newCheck(v any) *Check {
	return &Check{root: reflect.TypeOf(v).Elem(), types: fieldTypes{}, blanked: map[int]bool{}}
}

func (c *Check) err(name string) error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &FaultsError{Name: name, Faults: c.faults}
}

// decode reports whether a check of the value itself makes sense.
func (c *Check) decode(data []byte, v any) bool {
	if len(data) > maxBytes {
		c.add(Fault{Line: 1, Text: fmt.Sprintf("has %d bytes, more than %d", len(data), maxBytes)})
		return false
	}
	var ok bool
	c.layout, ok = scan(data, c.add)
	if !ok {
		return false
	}
	lines := bytes.Split(bytes.Clone(data), []byte("\n"))
	for _, line := range c.checkTypes() {
		c.blank(line, lines)
	}
	// With that many unknown fields the decoder takes quadratic time for what would not be shown.
	return len(c.faults) < maxFaults && c.decodeStrict(lines, v)
}
