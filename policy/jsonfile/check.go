package jsonfile

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	bytesType       = reflect.TypeFor[[]byte]() // encoding/json encodes this type as a base64 string.
)

// checker checks a document against a Go type.
type checker struct {
	document *Document
	problems Problems
	fields   map[reflect.Type]map[string]reflect.Type // Cached results of the function fieldsOf, by struct type.
}

func (c *checker) report(value *hujson.Value, message, hint string) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, c.document.problem(value.StartOffset, message, hint))
	}
}

// check checks the value against the type; name is the field that holds the value.
func (c *checker) check(value *hujson.Value, t reflect.Type, name string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Interface || reflect.PointerTo(t).Implements(unmarshalerType) {
		c.checkDuplicates(value)
		return
	}
	if isNull(value) && (t.Kind() == reflect.Slice || t.Kind() == reflect.Map) {
		return // encoding/json writes a nil slice or map as null.
	}
	if t == bytesType {
		c.checkScalar(value, reflect.TypeFor[string](), name)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(value, t, name)
	case reflect.Slice:
		c.checkSlice(value, t, name)
	case reflect.Map:
		c.checkMap(value, t, name)
	default:
		c.checkScalar(value, t, name)
	}
}

func isNull(value *hujson.Value) bool {
	literal, ok := value.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
}

func (c *checker) checkStruct(value *hujson.Value, t reflect.Type, name string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.reportKind(value, name, "an object")
		return
	}
	fields := c.fieldsOf(t)
	seen := make(map[string]bool, len(object.Members))
	for index := range object.Members {
		member := &object.Members[index]
		key := memberName(member)
		if seen[key] {
			c.report(&member.Name, fmt.Sprintf("field %q appears twice", key), "keep one of them")
			continue
		}
		seen[key] = true
		field, ok := fields[key]
		if !ok {
			c.report(&member.Name, fmt.Sprintf("field %q is unknown", key), suggestField(key, fields))
			continue
		}
		c.check(&member.Value, field, key)
	}
}

func (c *checker) checkSlice(value *hujson.Value, t reflect.Type, name string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		c.reportKind(value, name, "a list")
		return
	}
	for index := range array.Elements {
		c.check(&array.Elements[index], t.Elem(), name)
	}
}

func (c *checker) checkMap(value *hujson.Value, t reflect.Type, name string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.reportKind(value, name, "an object")
		return
	}
	c.checkDuplicates(value)
	for index := range object.Members {
		c.check(&object.Members[index].Value, t.Elem(), memberName(&object.Members[index]))
	}
}

// checkDuplicates reports the names that appear twice if the value is an object.
func (c *checker) checkDuplicates(value *hujson.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return
	}
	seen := map[string]bool{}
	for index := range object.Members {
		key := memberName(&object.Members[index])
		if seen[key] {
			c.report(&object.Members[index].Name, fmt.Sprintf("name %q appears twice", key), "keep one of them")
		}
		seen[key] = true
	}
}

func (c *checker) checkScalar(value *hujson.Value, t reflect.Type, name string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		c.reportKind(value, name, typeDescription(t, name))
		return
	}
	kind := literal.Kind()
	valid := false
	switch t.Kind() {
	case reflect.String:
		valid = kind == '"'
	case reflect.Bool:
		valid = kind == 't' || kind == 'f'
	case reflect.Float32, reflect.Float64:
		valid = kind == '0' && isFinite(string(literal))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err := strconv.ParseUint(string(literal), 10, t.Bits())
		valid = err == nil
	default:
		_, err := strconv.ParseInt(string(literal), 10, t.Bits())
		valid = err == nil
	}
	if !valid {
		c.reportKind(value, name, typeDescription(t, name))
	}
}

func isFinite(literal string) bool {
	number, err := strconv.ParseFloat(literal, 64)
	return err == nil && !math.IsInf(number, 0)
}

func (c *checker) reportKind(value *hujson.Value, name, expected string) {
	if name == "" {
		c.report(value, "the file holds a value of the wrong type", "write "+expected)
		return
	}
	c.report(value, fmt.Sprintf("field %q holds %s", name, describeValue(value)), "write "+expected)
}

func describeValue(value *hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok && value.Value.Kind() == '{' {
		return "an object"
	}
	if !ok {
		return "a list"
	}
	const maxShown = 40
	text := string(literal)
	if len(text) > maxShown {
		text = strings.ToValidUTF8(text[:maxShown], "") + "..."
	}
	return text
}

// typeDescription describes the values of the type; the suffix of the field's name
// gives their unit.
func typeDescription(t reflect.Type, name string) string {
	switch t.Kind() {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number" + unitSuffix(name)
	default:
		return "a whole number" + unitSuffix(name)
	}
}

func unitSuffix(name string) string {
	switch {
	case strings.HasSuffix(name, "_ms"):
		return " of milliseconds, without its unit"
	case strings.HasSuffix(name, "_seconds"):
		return " of seconds, without its unit"
	case strings.HasSuffix(name, "_per_second"):
		return " a second, without its unit"
	case strings.HasSuffix(name, "_bytes"):
		return " of bytes, without its unit"
	}
	return ""
}

func memberName(member *hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

func (c *checker) fieldsOf(t reflect.Type) map[string]reflect.Type {
	if c.fields == nil {
		c.fields = map[reflect.Type]map[string]reflect.Type{}
	}
	if c.fields[t] == nil {
		c.fields[t] = fieldsOf(t)
	}
	return c.fields[t]
}

// fieldsOf returns the types of the struct's exported fields by JSON name.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(t) {
		if field.Anonymous || !field.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = field.Name
		}
		if name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

// suggestField returns a hint for an unknown field: the first known field with a
// similar name, or else all known fields.
func suggestField(key string, fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if similar(name, key) {
			return fmt.Sprintf("did you mean %q?", name)
		}
	}
	return "known fields: " + strings.Join(names, ", ")
}

// similar reports whether the common prefix of the names covers at least three
// quarters of the shorter name, ignoring case and underscores.
func similar(a, b string) bool {
	a = strings.ReplaceAll(strings.ToLower(a), "_", "")
	b = strings.ReplaceAll(strings.ToLower(b), "_", "")
	shorter := min(len(a), len(b))
	shared := 0
	for shared < shorter && a[shared] == b[shared] {
		shared++
	}
	return shorter > 0 && 4*shared >= 3*shorter
}
