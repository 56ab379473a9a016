package ferrytoml

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// maxKeyParts and maxKeyBytes bound dotted keys; the memory for their paths is quadratic in the number of
	// parts.
	maxKeyParts = 16
	maxKeyBytes = 256
)

// layout maps the fields of a file to lines and back.
type layout struct {
	lines  map[string]int
	fields map[int]string
	// exprLines holds the first lines of all expressions in order, valueLines those of key-value pairs.
	exprLines  []int
	valueLines map[int]bool
	// order lists the fields in file order.
	order []field
}

// field is one field of a file.
type field struct {
	path   string
	line   int
	number bool
}

// line returns the line of the field or of its nearest parent in the file, and 1 if there is none.
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

// field returns the path of the field on a line, which unlike the key includes array indexes.
func (l layout) field(line int, key []string) string {
	f, ok := l.fields[line]
	if ok && (len(key) == 0 || strings.HasSuffix(f, key[len(key)-1])) {
		return f
	}
	name := strings.Join(key, ".")
	return name[:min(len(name), maxKeyBytes)]
}

// value returns the lines [from, to) of the key-value pair that covers a line.
func (l layout) value(line, last int) (from, to int, ok bool) {
	i, found := slices.BinarySearch(l.exprLines, line)
	if !found {
		i--
	}
	if i < 0 || !l.valueLines[l.exprLines[i]] {
		return 0, 0, false
	}
	if i+1 < len(l.exprLines) {
		return l.exprLines[i], l.exprLines[i+1], true
	}
	return l.exprLines[i], last + 1, true
}

// scanner builds a layout in one pass.
type scanner struct {
	layout
	data   []byte
	prefix string
	counts map[string]int
	// lastOffset is the last byte offset whose line was computed, lastLine that line.
	lastOffset int
	lastLine   int
	report     func(Fault)
}

// scan returns the layout of a file; it returns false if it stopped at a key or value that exceeds a limit.
func scan(data []byte, report func(Fault)) (layout, bool) {
	s := &scanner{
		layout:   layout{lines: map[string]int{}, fields: map[int]string{}, valueLines: map[int]bool{}},
		data:     data,
		counts:   map[string]int{},
		lastLine: 1,
		report:   report,
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
	s.exprLines = append(s.exprLines, line)
	switch e.Kind {
	case unstable.Table:
		s.prefix = s.resolve(key)
		s.set(s.prefix, line, false)
	case unstable.ArrayTable:
		s.arrayTable(key, line)
	case unstable.KeyValue:
		s.valueLines[line] = true
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

// keyValue records a key and the keys of inline tables in its value.
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
			if !s.keyValue(fmt.Sprintf("%s[%d]", path, i), s.firstKeyLine(n, line), n, depth+1) {
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

// firstKeyLine returns the line of an inline table's first key, or the given line if there is none.
func (s *scanner) firstKeyLine(n *unstable.Node, line int) int {
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

// resolve returns the path of a table, with the index of the latest element of each array in it.
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

// key returns the parts of a key and its line, and false if the key is too long.
func (s *scanner) key(e *unstable.Node) ([]string, int, bool) {
	var key []string
	line, size := s.lastLine, 0
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

// pathPart returns a part of a key with the separators of paths replaced by question marks, so that a quoted
// key is not taken for a path. No field has a question mark in its name.
func pathPart(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r == '.' || r == '[' || r == ']' {
			return '?'
		}
		return r
	}, string(b))
}

// lineAt returns the line of an offset, counted from the last computed one.
func (s *scanner) lineAt(offset int) int {
	if offset > s.lastOffset {
		s.lastLine += bytes.Count(s.data[s.lastOffset:offset], []byte("\n"))
		s.lastOffset = offset
		return s.lastLine
	}
	return s.lastLine - bytes.Count(s.data[offset:s.lastOffset], []byte("\n"))
}
