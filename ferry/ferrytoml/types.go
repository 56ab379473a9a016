package ferrytoml

import (
	"encoding"
	"reflect"
	"strings"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkTypes records faults for unknown fields, and for bare numbers in fields of types that unmarshal text.
// The decoder would take such a number in the smallest unit of the type, such as nanoseconds. It returns the
// lines of the numbers.
func (c *Check) checkTypes() []int {
	var blank []int
	unknown := ""
	for _, f := range c.layout.order {
		if unknown != "" && (strings.HasPrefix(f.path, unknown+".") || strings.HasPrefix(f.path, unknown+"[")) {
			continue
		}
		ft, ok := c.types.typeAt(c.root, f.path)
		switch {
		case !ok:
			unknown = f.path
			c.add(Fault{Line: f.line, Field: f.path, Text: "unknown field"})
		case f.number && ft != nil && reflect.PointerTo(ft).Implements(textUnmarshaler):
			c.add(Fault{Line: f.line, Field: f.path, Text: "must be a string with a unit, is a bare number"})
			blank = append(blank, f.line)
		}
	}
	return blank
}

// typeAt returns the type of the field at a path, nil if any type is valid there, and false for an unknown
// field.
func (m fieldTypes) typeAt(t reflect.Type, path string) (reflect.Type, bool) {
	for part := range strings.SplitSeq(path, ".") {
		name, _, _ := strings.Cut(part, "[")
		t = elementType(t)
		switch t.Kind() {
		case reflect.Interface:
			return nil, true
		case reflect.Map:
			t = t.Elem()
			continue
		case reflect.Struct:
		default:
			// The decoder reports the wrong type.
			return nil, true
		}
		next, ok := m.of(t)[name]
		if !ok {
			return nil, false
		}
		t = next
	}
	return t, true
}

// elementType returns the type of the elements of slices and arrays and the target of pointers.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer || t.Kind() == reflect.Array {
		t = t.Elem()
	}
	return t
}

// fieldTypes caches the types of struct fields by their TOML names.
type fieldTypes map[reflect.Type]map[string]reflect.Type

func (m fieldTypes) of(t reflect.Type) map[string]reflect.Type {
	if fields, ok := m[t]; ok {
		return fields
	}
	fields := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" && f.Anonymous {
			continue
		}
		if name == "" {
			name = f.Name
		}
		if f.IsExported() {
			fields[name] = f.Type
		}
	}
	m[t] = fields
	return fields
}
