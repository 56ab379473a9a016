package ferrytoml

import (
	"bytes"
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxAttempts bounds how often one file is decoded to find all values of a wrong type.
const maxAttempts = 32

var wrongTypeRE = regexp.MustCompile(`^cannot decode TOML (\S+) into .* of type (\S+)$`)

// decodeStrict decodes again and again, blanking each value of a wrong type, so that one call finds them all.
// It reports whether v holds all the rest, so that v can check itself.
func (c *Check) decodeStrict(lines [][]byte, v any) bool {
	target := reflect.ValueOf(v).Elem()
	defaults := reflect.New(target.Type()).Elem()
	defaults.Set(target)
	for range maxAttempts {
		target.Set(defaults)
		err := toml.Unmarshal(bytes.Join(lines, []byte("\n")), v)
		if err == nil {
			return true
		}
		if !c.wrong(err, lines) {
			return false
		}
	}
	return false
}

// wrong records a fault and blanks the value that has it; it reports false if the file can't be read on.
func (c *Check) wrong(err error, lines [][]byte) bool {
	var bad *toml.DecodeError
	if !errors.As(err, &bad) {
		c.add(Fault{Line: 1, Text: err.Error()})
		return false
	}
	row, _ := bad.Position()
	field := c.layout.field(row, bad.Key())
	c.add(Fault{Line: row, Field: field, Text: c.plain(bad.Error(), field)})
	return len(bad.Key()) > 0 && c.blank(row, lines)
}

// blank blanks the key and value that cover a line, and reports false if there are none.
func (c *Check) blank(row int, lines [][]byte) bool {
	from, to, ok := c.layout.value(row, len(lines))
	if !ok {
		return false
	}
	for i := from; i < to; i++ {
		lines[i-1] = nil
		c.blanked[i] = true
	}
	return true
}

// plain rewrites the library's messages without the names of our types.
func (c *Check) plain(text, field string) string {
	text = strings.TrimPrefix(text, "toml: ")
	m := wrongTypeRE.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	return "must be " + c.kindName(m[2], field) + ", is of TOML type " + m[1]
}

// kindName names the type of a field the way a reader of the file knows it.
func (c *Check) kindName(goType, field string) string {
	t, ok := c.types.typeAt(c.root, field)
	if strings.HasPrefix(goType, "[]") || !ok || t == nil {
		return "an array"
	}
	switch kind := element(t).Kind(); kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "a table"
	}
	return "a whole number"
}
