package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// envPrefix is the prefix of every environment variable that sets a field.
const envPrefix = "PERSIMMONWIND_"

// listSeparator separates the values of a list in a flag or variable.
const listSeparator = ","

// Field is one field of a settings struct that a file, an environment variable
// and a flag can set.
type Field struct {
	Name    string // Path of the field in the file, with dots between levels.
	Doc     string
	Default string // Empty if there is none.

	value reflect.Value
}

// Env returns the name of the field's environment variable.
func (f Field) Env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, ".", "_"))
}

// Flag returns the name of the field's flag, without leading dashes.
func (f Field) Flag() string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(f.Name)
}

// Type returns the name of the field's type for documentation.
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

// Set parses the text of a flag or environment variable into the field.
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
		return fmt.Errorf("setting %q can only be set in the settings file", f.Name)
	}
	return nil
}

// Fields returns the fields of the settings struct that target points to.
// Fields of nested structs have dotted names.
func Fields(target any) []Field {
	return collectFields(reflect.ValueOf(target).Elem(), "")
}

func collectFields(value reflect.Value, prefix string) []Field {
	var fields []Field
	for index := range value.NumField() {
		structField := value.Type().Field(index)
		name := prefix + structField.Tag.Get("json")
		switch {
		case structField.Anonymous:
			fields = append(fields, collectFields(value.Field(index), prefix)...)
		case structField.Type.Kind() == reflect.Struct:
			fields = append(fields, collectFields(value.Field(index), name+".")...)
		default:
			fields = append(fields, newField(name, structField, value.Field(index)))
		}
	}
	return fields
}

func newField(name string, structField reflect.StructField, value reflect.Value) Field {
	field := Field{Name: name, Doc: structField.Tag.Get("doc"), value: value}
	if !value.IsZero() {
		field.Default = fmt.Sprint(value.Interface())
	}
	return field
}
