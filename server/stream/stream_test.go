package stream

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// FuzzReader checks that a stream ends with io.EOF only after an end piece.
func FuzzReader(f *testing.F) {
	f.Add([]byte(`{"id":"a","tokens":1,"text":"x"}` + "\n" + `{"id":"a","from":1,"end":true}` + "\n"))
	f.Add([]byte(`{"id":"a"`))
	f.Add([]byte("\n\n{}\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		reader := NewReader(io.NopCloser(bytes.NewReader(body)))
		defer reader.Close()
		ended := false
		for {
			piece, err := reader.Next()
			if err == nil {
				ended = ended || piece.End
				continue
			}
			if errors.Is(err, io.EOF) != (ended && !errors.Is(err, ErrTruncated)) {
				t.Fatalf("ended %v, error %v", ended, err)
			}
			return
		}
	})
}
