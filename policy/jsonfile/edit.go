package jsonfile

import (
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// SetInList sets one field of an object in the file's top-level list called list:
// the one whose field "name" has the value name. It returns the edited text, which
// keeps its comments, and reports whether the object exists.
func SetInList(file string, text []byte, list, name, field string, value any) (edited []byte, found bool, err error) {
	document, err := Parse(file, text)
	if err != nil {
		return nil, false, err
	}
	root := document.root.Clone()
	index := indexInList(root.Find("/"+list), name)
	if index < 0 {
		return text, false, nil
	}
	patch, err := json.Marshal([]patchOperation{{
		Op: "add", Path: fmt.Sprintf("/%s/%d/%s", list, index, field), Value: value,
	}})
	if err != nil {
		return nil, true, fmt.Errorf("encode change of %q: %w", name, err)
	}
	if err := root.Patch(patch); err != nil {
		return nil, true, fmt.Errorf("change %q in file %q: %w", name, file, err)
	}
	return root.Pack(), true, nil
}

// patchOperation is one operation of a JSON Patch (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

func indexInList(list *hujson.Value, name string) int {
	if list == nil {
		return -1
	}
	array, ok := list.Value.(*hujson.Array)
	if !ok {
		return -1
	}
	for index := range array.Elements {
		found := array.Elements[index].Find("/name")
		if found == nil {
			continue
		}
		if literal, ok := found.Value.(hujson.Literal); ok && literal.Kind() == '"' && literal.String() == name {
			return index
		}
	}
	return -1
}
