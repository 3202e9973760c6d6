package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"persimmonwind.dev/policy/jsonfile"
)

// Change is one field that differs between two versions of a configuration file.
type Change struct {
	File string `json:"file"`
	Path string `json:"path"`          // Such as data_centres[dc-1].taken_out.
	Old  string `json:"old,omitempty"` // Previous value as JSON; empty if the field is new.
	New  string `json:"new,omitempty"` // New value as JSON; empty if the field was removed.
}

// Diff returns the fields that differ between the old and the updated files, ordered
// by file and path. It ignores comments and the order of list elements.
func Diff(old, updated Files) ([]Change, error) {
	var changes []Change
	for _, file := range FileNames {
		oldFields, err := flatten(file, old[file])
		if err != nil {
			return nil, err
		}
		newFields, err := flatten(file, updated[file])
		if err != nil {
			return nil, err
		}
		changes = append(changes, compareFields(file, oldFields, newFields)...)
	}
	return changes, nil
}

func compareFields(file string, old, updated map[string]string) []Change {
	var changes []Change
	for path, value := range old {
		if updated[path] != value {
			changes = append(changes, Change{File: file, Path: path, Old: value, New: updated[path]})
		}
	}
	for path, value := range updated {
		if _, ok := old[path]; !ok {
			changes = append(changes, Change{File: file, Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

// flatten returns the values of a file's fields as JSON, by the path of the field.
func flatten(file string, text []byte) (map[string]string, error) {
	fields := map[string]string{}
	if len(text) == 0 {
		return fields, nil
	}
	decoded := &decodedFiles{}
	target := decoded.target(file)
	if err := jsonfile.Decode(file, text, target); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(target)
	if err != nil {
		return nil, fmt.Errorf("encode file %q: %w", file, err)
	}
	var value any
	if err := json.Unmarshal(encoded, &value); err != nil {
		return nil, fmt.Errorf("decode file %q: %w", file, err)
	}
	flattenValue(fields, "", value)
	return fields, nil
}

func flattenValue(fields map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			flattenValue(fields, joinPath(path, name), member)
		}
	case []any:
		for index, element := range value {
			flattenValue(fields, fmt.Sprintf("%s[%s]", path, elementName(index, element)), element)
		}
	case nil:
	default:
		encoded, _ := json.Marshal(value)
		fields[path] = string(encoded)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// elementName returns the value of the element's name field, the element itself
// if it is a string, or its index.
func elementName(index int, element any) string {
	switch element := element.(type) {
	case string:
		return element
	case map[string]any:
		if name, ok := element["name"].(string); ok && name != "" {
			return name
		}
	}
	return fmt.Sprint(index)
}
