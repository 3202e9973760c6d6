package config

import "fmt"

// Splice is a delta between two texts that replaces one contiguous range of bytes.
// A splice without a base replaces the whole text.
type Splice struct {
	Base   string // Digest of the text that the splice applies to; empty for none.
	Offset int    // Number of bytes kept before the replaced range.
	Delete int    // Length of the replaced range.
	Insert []byte // Bytes put in place of the range.
}

// NewSplice returns the shortest splice that turns old, which may be nil, into
// updated.
func NewSplice(old, updated []byte) Splice {
	if old == nil {
		return Splice{Insert: updated}
	}
	shorter := min(len(old), len(updated))
	prefix := 0
	for prefix < shorter && old[prefix] == updated[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && old[len(old)-1-suffix] == updated[len(updated)-1-suffix] {
		suffix++
	}
	return Splice{
		Base: Digest(old), Offset: prefix, Delete: len(old) - prefix - suffix,
		Insert: updated[prefix : len(updated)-suffix],
	}
}

// Apply applies the splice to old and returns the result.
func (s Splice) Apply(old []byte) ([]byte, error) {
	if s.Base == "" {
		return s.Insert, nil
	}
	if digest := Digest(old); digest != s.Base {
		return nil, fmt.Errorf("splice applies to the text with digest %s, not %s", s.Base, digest)
	}
	if s.Offset < 0 || s.Delete < 0 || s.Offset > len(old) || s.Delete > len(old)-s.Offset {
		return nil, fmt.Errorf("splice replaces %d bytes at offset %d, outside a text of %d bytes", s.Delete, s.Offset, len(old))
	}
	text := make([]byte, 0, len(old)-s.Delete+len(s.Insert))
	text = append(text, old[:s.Offset]...)
	text = append(text, s.Insert...)
	return append(text, old[s.Offset+s.Delete:]...), nil
}
