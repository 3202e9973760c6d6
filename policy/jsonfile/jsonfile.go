// Package jsonfile decodes JSON with comments strictly: an unknown field, a
// duplicate name, a wrong type or a syntax error is reported with its position and
// a hint how to correct it.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes bounds the size of a file.
	MaxBytes = 16 << 20
	// MaxDepth bounds the nesting of objects and arrays.
	MaxDepth = 32
)

// Document is a parsed file that keeps the position of each value.
type Document struct {
	name string
	text []byte
	root hujson.Value
}

// Parse parses data, the text of the file called name. The error is of type
// Problems.
func Parse(name string, data []byte) (*Document, error) {
	d := &Document{name: name, text: data}
	if len(data) > MaxBytes {
		message := fmt.Sprintf("the file has %d bytes", len(data))
		return nil, Problems{{File: name, Message: message, Hint: fmt.Sprintf("at most %d bytes are accepted", MaxBytes)}}
	}
	if offset := invalidUTF8Offset(data); offset >= 0 {
		return nil, Problems{d.problem(offset, "the text is not valid UTF-8", "save the file as UTF-8")}
	}
	if offset := excessDepthOffset(data); offset >= 0 {
		message := fmt.Sprintf("values are nested more than %d deep", MaxDepth)
		return nil, Problems{d.problem(offset, message, "no configuration file needs such depth")}
	}
	// Document.Decode modifies the syntax tree and the bytes that the tree refers to,
	// so parse a copy.
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		// hujson requires a line break after a comment on the last line.
		withNewline, retryErr := hujson.Parse(append(bytes.Clone(data), '\n'))
		if retryErr != nil {
			return nil, Problems{d.syntaxProblem(err)}
		}
		root = withNewline
	}
	d.root = root
	return d, nil
}

// Decode checks the document against target, a pointer, and decodes it. The
// error is of type Problems.
func (d *Document) Decode(target any) error {
	c := checker{document: d}
	c.check(&d.root, reflect.TypeOf(target).Elem(), "")
	if err := c.problems.Err(); err != nil {
		return err
	}
	// Standardize replaces comments by spaces, which preserves the offsets.
	d.root.Standardize()
	if err := json.Unmarshal(d.root.Pack(), target); err != nil {
		return Problems{{File: d.name, Line: 1, Column: 1, Message: err.Error()}}
	}
	return nil
}

// Decode parses data, the text of the file called name, into target.
func Decode(name string, data []byte, target any) error {
	document, err := Parse(name, data)
	if err != nil {
		return err
	}
	return document.Decode(target)
}

// Problem returns a problem at the value that pointer, a JSON pointer, refers to,
// or at its nearest existing ancestor if it does not exist.
func (d *Document) Problem(pointer, message, hint string) Problem {
	for {
		if value := d.root.Find(pointer); value != nil {
			return d.problem(value.StartOffset, message, hint)
		}
		slash := strings.LastIndexByte(pointer, '/')
		if slash < 0 {
			return d.problem(0, message, hint)
		}
		pointer = pointer[:slash]
	}
}

func (d *Document) problem(offset int, message, hint string) Problem {
	before := d.text[:min(offset, len(d.text))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return Problem{
		File: d.name, Message: message, Hint: hint,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: 1 + utf8.RuneCount(before[lineStart:]),
	}
}

func (d *Document) syntaxProblem(err error) Problem {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
		_, text, _ = strings.Cut(text, ": ")
	}
	hint := "write JSON; comments and trailing commas are allowed"
	if strings.Contains(text, "EOF") {
		hint = "the file appears to be truncated: close every string, object and array"
	}
	return Problem{File: d.name, Line: line, Column: column, Message: text, Hint: hint}
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8,
// or -1.
func invalidUTF8Offset(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return -1
}

// excessDepthOffset returns the offset of the first bracket nested deeper than MaxDepth,
// or -1. Brackets in strings and comments don't count.
func excessDepthOffset(data []byte) int {
	depth := 0
	for offset := 0; offset < len(data); offset++ {
		switch data[offset] {
		case '"':
			offset = skipString(data, offset)
		case '/':
			offset = skipComment(data, offset)
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return offset
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the string's closing quote.
func skipString(data []byte, offset int) int {
	for offset++; offset < len(data) && data[offset] != '"'; offset++ {
		if data[offset] == '\\' {
			offset++
		}
	}
	return offset
}

// skipComment returns the offset of the comment's last byte, or offset if no
// comment begins there.
func skipComment(data []byte, offset int) int {
	rest := data[offset:]
	end := -1
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/"))
		if end >= 0 {
			end += 3
		}
	default:
		return offset
	}
	if end < 0 {
		return len(data)
	}
	return offset + end
}
