package stream

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/result"
)

func TestCodecAgreesWithEncodingJSON(t *testing.T) {
	usage := &Usage{PromptTokens: 3, CompletionTokens: 2}
	pieces := []Piece{
		{},
		{ID: "a", Seq: 1, From: 16, Tokens: 16, Text: "plain text "},
		{ID: "a", Text: "quote \" backslash \\ newline \n <b> & \u2028 é \x00 \xff"},
		{ID: `x","seq":9`, Text: "t"},
		{ID: "a", Text: `","text":"`, Tokens: -1, Seq: -5},
		{ID: "a", From: 2, End: true, Finish: "stop", Usage: usage},
		{ID: "a", Text: "last ", Tokens: 1, End: true, Finish: "stop"},
		{ID: "a", End: true, Code: result.CutAnswer, Detail: "broken"},
	}
	Convey("A piece from either encoder decodes to the same value as with encoding/json", t, func() {
		for _, piece := range pieces {
			standard, err := json.Marshal(piece)
			So(err, ShouldBeNil)
			var want Piece
			So(json.Unmarshal(standard, &want), ShouldBeNil)
			line, err := appendPiece(nil, piece)
			So(err, ShouldBeNil)
			So(bytes.ContainsRune(line, '\n'), ShouldBeFalse)
			for _, written := range [][]byte{line, standard} {
				got, err := parsePiece(written, "a")
				So(err, ShouldBeNil)
				So(got, ShouldResemble, want)
			}
		}
	})
}

// FuzzParsePiece checks that every line that is parsed without encoding/json
// decodes to the same piece with it.
func FuzzParsePiece(f *testing.F) {
	f.Add([]byte(`{"id":"a","seq":1,"from":2,"tokens":3,"text":"t"}`))
	f.Add([]byte(`{"id":"a","seq":01,"from":2,"tokens":3,"text":"t"}`))
	f.Add([]byte(`{"id":"a","seq":1,"from":2,"tokens":3,"text":"t","end":true}`))
	f.Add([]byte(`{"id":"a","seq":1,"from":2,"tokens":3,"text":"\u0041"}`))
	f.Add([]byte(`{"id":"a","seq":1,"from":2,"tokens":99999999999999999999,"text":"t"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		piece, ok := parseTextOnly(line, "")
		if !ok {
			return
		}
		var want Piece
		if err := json.Unmarshal(line, &want); err != nil {
			t.Fatalf("%q: encoding/json fails: %v", line, err)
		}
		if piece != want {
			t.Fatalf("%q: got %+v, want %+v", line, piece, want)
		}
	})
}
