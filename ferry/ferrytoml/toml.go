package ferrytoml

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFaults bounds how many faults one decoding reports.
const maxFaults = 100

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
	lines  map[string]int
	faults []Fault
}

// Fault records a fault of the field, such as "Upstreams[1].Address".
func (c *Check) Fault(field, format string, args ...any) {
	if len(c.faults) >= maxFaults {
		return
	}
	c.faults = append(c.faults, Fault{Line: c.line(field), Field: field, Text: fmt.Sprintf(format, args...)})
}

// line finds the line of the field, or of the nearest parent that is in the file.
func (c *Check) line(field string) int {
	for field != "" {
		if n, ok := c.lines[field]; ok {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			break
		}
		field = field[:i]
	}
	return 1
}

// Decode reads TOML into v and returns a *FaultsError with every fault found.
func Decode(name string, data []byte, v Checker) error {
	c := &Check{lines: fieldLines(data)}
	decodeStrict(data, v, c)
	if len(c.faults) == 0 {
		v.Check(c)
	}
	return c.err(name)
}

// Read reads TOML into v without checking it and returns a *FaultsError with every fault found.
func Read(name string, data []byte, v any) error {
	c := &Check{lines: fieldLines(data)}
	decodeStrict(data, v, c)
	return c.err(name)
}

// Validate checks a value that was decoded from the data before and may have been changed since.
func Validate(name string, data []byte, v Checker) error {
	c := &Check{lines: fieldLines(data)}
	v.Check(c)
	return c.err(name)
}

func (c *Check) err(name string) error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &FaultsError{Name: name, Faults: c.faults}
}

// decodeStrict decodes again and again, blanking the line of each type fault, so that one call finds them all.
func decodeStrict(data []byte, v any, c *Check) {
	lines := bytes.Split(bytes.Clone(data), []byte("\n"))
	for range maxFaults {
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n")))).DisallowUnknownFields().Decode(v)
		if err == nil {
			return
		}
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			for _, e := range strict.Errors {
				row, _ := e.Position()
				c.faults = append(c.faults, Fault{Line: row, Field: strings.Join(e.Key(), "."), Text: "unknown field"})
			}
			return
		}
		var bad *toml.DecodeError
		if !errors.As(err, &bad) {
			c.faults = append(c.faults, Fault{Line: 1, Text: err.Error()})
			return
		}
		row, _ := bad.Position()
		c.faults = append(c.faults, Fault{Line: row, Field: strings.Join(bad.Key(), "."), Text: strings.TrimPrefix(bad.Error(), "toml: ")})
		if row < 1 || row > len(lines) || !bytes.ContainsRune(lines[row-1], '=') {
			return
		}
		lines[row-1] = nil
	}
}

// fieldLines maps each field's path to its first line.
func fieldLines(data []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		key, line := keyOf(&p, data, e)
		switch e.Kind {
		case unstable.Table:
			prefix = resolve(key, counts)
			setLine(lines, prefix, line)
		case unstable.ArrayTable:
			parent := ""
			if len(key) > 1 {
				parent = resolve(key[:len(key)-1], counts) + "."
			}
			path := parent + key[len(key)-1]
			prefix = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			setLine(lines, prefix, line)
		case unstable.KeyValue:
			path := strings.Join(key, ".")
			if prefix != "" {
				path = prefix + "." + path
			}
			setLine(lines, path, line)
		}
	}
	return lines
}

func setLine(lines map[string]int, path string, line int) {
	if _, ok := lines[path]; !ok {
		lines[path] = line
	}
}

// resolve writes a table's path with the index of the latest element of each array on the way.
func resolve(key []string, counts map[string]int) string {
	path := ""
	for _, k := range key {
		if path != "" {
			path += "."
		}
		path += k
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func keyOf(p *unstable.Parser, data []byte, e *unstable.Node) ([]string, int) {
	var key []string
	line := 1
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if len(key) == 0 && n.Raw.Length > 0 {
			line = 1 + bytes.Count(data[:n.Raw.Offset], []byte("\n"))
		}
		key = append(key, string(n.Data))
	}
	_ = p
	return key, line
}
