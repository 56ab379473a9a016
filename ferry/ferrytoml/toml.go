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
	// maxFaults bounds the faults reported for one file.
	maxFaults = 100
	// maxBytes is the maximum size of a file.
	maxBytes = 1 << 20
)

// Fault is a fault of a file, with the line and field where it is.
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

// FaultsError lists the faults of one file.
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

// Checker is implemented by types that validate themselves after decoding.
type Checker interface {
	Check(c *Check)
}

// Check collects the faults of one file.
type Check struct {
	root   reflect.Type
	types  fieldTypes
	layout layout
	faults []Fault
	// blankedLines holds the lines that could not be decoded; further faults of their fields are not recorded.
	blankedLines map[int]bool
}

// Fault records a fault of a field, given by its path such as "Upstreams[1].Address".
func (c *Check) Fault(field, format string, args ...any) {
	line := c.layout.line(field)
	if c.blankedLines[line] && c.layout.has(field) {
		return
	}
	c.add(Fault{Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

func (c *Check) add(f Fault) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, f)
	}
}

// Decode decodes TOML into v and validates v. An error is a *FaultsError with up to 100 faults; a file has at
// most 1 MiB.
func Decode(name string, data []byte, v Checker) error {
	c := newCheck(v)
	if c.decode(data, v) {
		v.Check(c)
	}
	return c.err(name)
}

// Read decodes TOML into v without validating v. An error is a *FaultsError.
func Read(name string, data []byte, v any) error {
	c := newCheck(v)
	c.decode(data, v)
	return c.err(name)
}

// Validate validates a value that was read from the data before and may have been changed since. Faults have
// the lines of the data.
func Validate(name string, data []byte, v Checker) error {
	c := newCheck(v)
	c.layout, _ = scan(data, func(Fault) {})
	v.Check(c)
	return c.err(name)
}

// Join merges two *FaultsError; for a line with faults in both, those of the first are kept.
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
	return &Check{root: reflect.TypeOf(v).Elem(), types: fieldTypes{}, blankedLines: map[int]bool{}}
}

func (c *Check) err(name string) error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &FaultsError{Name: name, Faults: c.faults}
}

// decode decodes data into v; it returns true if v is complete enough to be validated.
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
	// Decoding takes quadratic time with many unknown fields, and its faults would not be reported any more.
	return len(c.faults) < maxFaults && c.decodeStrict(lines, v)
}
