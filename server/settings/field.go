package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// envPrefix begins the name of every environment variable that sets a field.
const envPrefix = "PERSIMMONWIND_"

// listSeparator separates the values of a list in a flag or variable.
const listSeparator = ","

// Field is one field of a settings struct that a file, an environment variable
// and a flag can set.
type Field struct {
	Name    string // As in the file, with dots between levels.
	Doc     string
	Default string // Empty for none.

	value reflect.Value
}

// Env returns the name of the field's environment variable.
func (f Field) Env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, ".", "_"))
}

// Flag returns the name of the field's flag, without dashes before it.
func (f Field) Flag() string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(f.Name)
}

// Type names the field's type for documentation.
func (f Field) Type() string {
	switch f.value.Kind() {
	case reflect.Int:
		return "integer"
	case reflect.Slice:
		if f.FileOnly() {
			return "list of objects"
		}
		return "list of strings"
	default:
		return "string"
	}
}

// FileOnly reports whether only the file can set the field.
func (f Field) FileOnly() bool {
	return f.value.Kind() == reflect.Slice && f.value.Type().Elem().Kind() != reflect.String
}

// Set sets the field from its text in a flag or variable.
func (f Field) Set(text string) error {
	switch f.value.Kind() {
	case reflect.String:
		f.value.SetString(text)
	case reflect.Int:
		number, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("setting %q is %q; it must be an integer", f.Name, text)
		}
		f.value.SetInt(int64(number))
	case reflect.Slice:
		f.value.Set(reflect.ValueOf(strings.Split(text, listSeparator)))
	default:
		return fmt.Errorf("setting %q can be set in the file only", f.Name)
	}
	return nil
}

// Fields lists the fields of a pointer to a settings struct.
func Fields(target any) []Field {
	return collectFields(reflect.ValueOf(target).Elem(), "")
}

func collectFields(value reflect.Value, prefix string) []Field {
	var fields []Field
	for index := range value.NumField() {
		declared := value.Type().Field(index)
		name := prefix + declared.Tag.Get("json")
		switch {
		case declared.Anonymous:
			fields = append(fields, collectFields(value.Field(index), prefix)...)
		case declared.Type.Kind() == reflect.Struct:
			fields = append(fields, collectFields(value.Field(index), name+".")...)
		default:
			fields = append(fields, newField(name, declared, value.Field(index)))
		}
	}
	return fields
}

func newField(name string, declared reflect.StructField, value reflect.Value) Field {
	field := Field{Name: name, Doc: declared.Tag.Get("doc"), value: value}
	if !value.IsZero() {
		field.Default = fmt.Sprint(value.Interface())
	}
	return field
}
