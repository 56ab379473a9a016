package ferrytoml

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// maxKeyParts and maxKeyBytes bound dotted keys, whose paths would otherwise take quadratic memory.
	maxKeyParts = 16
	maxKeyBytes = 256
)

// layout says where the fields of a file stand.
type layout struct {
	lines  map[string]int
	fields map[int]string
	// starts are the first lines of the expressions in order, and values says which of them are key and value.
	starts []int
	values map[int]bool
	// order has the fields as they stand in the file.
	order []field
}

// field is one field of a file.
type field struct {
	path   string
	line   int
	number bool
}

// line finds the line of the field, or of the nearest parent that is in the file.
func (l layout) line(field string) int {
	for field != "" {
		if n, ok := l.lines[field]; ok {
			return n
		}
		if n, ok := l.lines[field+"[0]"]; ok {
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

func (l layout) has(field string) bool {
	_, ok := l.lines[field]
	return ok
}

// field names what stands on a line, with the indexes that the key alone lacks.
func (l layout) field(line int, key []string) string {
	f, ok := l.fields[line]
	if ok && (len(key) == 0 || strings.HasSuffix(f, key[len(key)-1])) {
		return f
	}
	name := strings.Join(key, ".")
	return name[:min(len(name), maxKeyBytes)]
}

// value returns the lines [from, to) of the key and value that cover a line.
func (l layout) value(line, last int) (from, to int, ok bool) {
	i, found := slices.BinarySearch(l.starts, line)
	if !found {
		i--
	}
	if i < 0 || !l.values[l.starts[i]] {
		return 0, 0, false
	}
	if i+1 < len(l.starts) {
		return l.starts[i], l.starts[i+1], true
	}
	return l.starts[i], last + 1, true
}

// scanner builds a layout in one pass.
type scanner struct {
	layout
	data   []byte
	prefix string
	counts map[string]int
	// offset and at are the last position whose line was counted.
	offset int
	at     int
	report func(Fault)
}

// scan finds where each field stands, and reports false after a key that is too long to go on.
func scan(data []byte, report func(Fault)) (layout, bool) {
	s := &scanner{
		layout: layout{lines: map[string]int{}, fields: map[int]string{}, values: map[int]bool{}},
		data:   data,
		counts: map[string]int{},
		at:     1,
		report: report,
	}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		if !s.expression(p.Expression()) {
			return s.layout, false
		}
	}
	return s.layout, true
}

func (s *scanner) expression(e *unstable.Node) bool {
	key, line, ok := s.key(e)
	if !ok {
		s.report(Fault{Line: line, Text: fmt.Sprintf("a key has at most %d parts and %d bytes", maxKeyParts, maxKeyBytes)})
		return false
	}
	if len(key) == 0 {
		return true
	}
	s.starts = append(s.starts, line)
	switch e.Kind {
	case unstable.Table:
		s.prefix = s.resolve(key)
		s.set(s.prefix, line, false)
	case unstable.ArrayTable:
		s.arrayTable(key, line)
	case unstable.KeyValue:
		s.values[line] = true
		return s.keyValue(s.join(s.prefix, strings.Join(key, ".")), line, e.Value(), 0)
	}
	return true
}

func (s *scanner) arrayTable(key []string, line int) {
	path := key[len(key)-1]
	if len(key) > 1 {
		path = s.join(s.resolve(key[:len(key)-1]), path)
	}
	s.prefix = fmt.Sprintf("%s[%d]", path, s.counts[path])
	s.counts[path]++
	s.set(s.prefix, line, false)
}

// keyValue records a key, and those in inline tables under it.
func (s *scanner) keyValue(path string, line int, value *unstable.Node, depth int) bool {
	s.set(path, line, value.Kind == unstable.Integer || value.Kind == unstable.Float)
	if depth > maxKeyParts {
		s.report(Fault{Line: line, Text: fmt.Sprintf("values are nested at most %d deep", maxKeyParts)})
		return false
	}
	switch value.Kind {
	case unstable.InlineTable:
		return s.inlineTable(path, value, depth)
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			n := it.Node()
			if n.Kind != unstable.InlineTable && n.Kind != unstable.Array {
				continue
			}
			if !s.keyValue(fmt.Sprintf("%s[%d]", path, i), s.first(n, line), n, depth+1) {
				return false
			}
		}
	}
	return true
}

func (s *scanner) inlineTable(path string, table *unstable.Node, depth int) bool {
	for it := table.Children(); it.Next(); {
		n := it.Node()
		key, line, ok := s.key(n)
		if !ok || len(key) == 0 {
			return ok
		}
		if !s.keyValue(s.join(path, strings.Join(key, ".")), line, n.Value(), depth+1) {
			return false
		}
	}
	return true
}

// first returns the line of an inline table's first key, and otherwise that of its parent.
func (s *scanner) first(n *unstable.Node, line int) int {
	if n.Kind != unstable.InlineTable {
		return line
	}
	for it := n.Children(); it.Next(); {
		if _, l, ok := s.key(it.Node()); ok {
			return l
		}
	}
	return line
}

func (s *scanner) set(path string, line int, number bool) {
	s.order = append(s.order, field{path, line, number})
	if _, ok := s.lines[path]; !ok {
		s.lines[path] = line
	}
	if _, ok := s.fields[line]; !ok {
		s.fields[line] = path
	}
}

func (s *scanner) join(prefix, path string) string {
	if prefix == "" {
		return path
	}
	return prefix + "." + path
}

// resolve writes a table's path with the index of the latest element of each array on the way.
func (s *scanner) resolve(key []string) string {
	path := ""
	for _, k := range key {
		path = s.join(path, k)
		if n := s.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// key returns the parts of a key and its line, and false if it is too long.
func (s *scanner) key(e *unstable.Node) ([]string, int, bool) {
	var key []string
	line, size := s.at, 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if len(key) == 0 {
			line = s.lineAt(int(n.Raw.Offset))
		}
		size += len(n.Data)
		if len(key) == maxKeyParts || size > maxKeyBytes {
			return nil, line, false
		}
		key = append(key, pathPart(n.Data))
	}
	return key, line, true
}

// pathPart writes a part of a key so that it can't be taken for a path; no field has a question mark in its name.
func pathPart(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r == '.' || r == '[' || r == ']' {
			return '?'
		}
		return r
	}, string(b))
}

// lineAt counts lines on from the last position.
func (s *scanner) lineAt(offset int) int {
	if offset > s.offset {
		s.at += bytes.Count(s.data[s.offset:offset], []byte("\n"))
		s.offset = offset
		return s.at
	}
	return s.at - bytes.Count(s.data[offset:s.offset], []byte("\n"))
}
