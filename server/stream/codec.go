package stream

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// Fixed texts between the values of an encoded piece that holds only text, as most
// pieces do. Such a piece is encoded with the fields in this order, and a line of
// exactly this form is decoded without encoding/json, which handles all other lines.
const (
	idPrefix     = `{"id":"`
	seqPrefix    = `","seq":`
	fromPrefix   = `,"from":`
	tokensPrefix = `,"tokens":`
	textPrefix   = `,"text":"`
	textSuffix   = `"}`
)

// AppendString appends the text as a JSON string.
func AppendString(line []byte, text string) []byte {
	if needsNoEscape(text) {
		line = append(line, '"')
		line = append(line, text...)
		return append(line, '"')
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		panic(err) // Marshalling a string never fails.
	}
	return append(line, quoted...)
}

// needsNoEscape reports whether the text needs no escapes inside a JSON string.
func needsNoEscape[T string | []byte](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// appendPiece appends the encoded piece without a newline.
func appendPiece(line []byte, piece Piece) ([]byte, error) {
	if !isTextOnly(piece) {
		encoded, err := json.Marshal(piece)
		return append(line, encoded...), err
	}
	line = append(line, idPrefix...)
	line = append(line, piece.ID...)
	line = append(line, seqPrefix...)
	line = strconv.AppendInt(line, int64(piece.Seq), 10)
	line = append(line, fromPrefix...)
	line = strconv.AppendInt(line, int64(piece.From), 10)
	line = append(line, tokensPrefix...)
	line = strconv.AppendInt(line, int64(piece.Tokens), 10)
	line = append(line, textPrefix...)
	line = append(line, piece.Text...)
	return append(line, textSuffix...), nil
}

// isTextOnly reports whether the piece holds only text, without any of the optional
// fields, and needs no escapes.
func isTextOnly(piece Piece) bool {
	rest := piece
	rest.ID, rest.Seq, rest.From, rest.Tokens, rest.Text = "", 0, 0, 0, ""
	return rest == Piece{} && piece.Text != "" && needsNoEscape(piece.ID) && needsNoEscape(piece.Text)
}

// parsePiece decodes one line. lastID is the ID of the previous piece; the
// piece shares that string if its ID is the same.
func parsePiece(line []byte, lastID string) (Piece, error) {
	if piece, ok := parseTextOnly(line, lastID); ok {
		return piece, nil
	}
	var piece Piece
	err := json.Unmarshal(line, &piece)
	return piece, err
}

// parseTextOnly decodes a line of a piece that holds only text. It returns false for
// any other line.
func parseTextOnly(line []byte, lastID string) (Piece, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(idPrefix))
	if !ok {
		return Piece{}, false
	}
	id, rest, idOK := bytes.Cut(rest, []byte(seqPrefix))
	seq, rest, seqOK := cutNumber(rest, fromPrefix)
	from, rest, fromOK := cutNumber(rest, tokensPrefix)
	tokens, rest, tokensOK := cutNumber(rest, textPrefix)
	text, textOK := bytes.CutSuffix(rest, []byte(textSuffix))
	if !idOK || !seqOK || !fromOK || !tokensOK || !textOK || !needsNoEscape(id) || !needsNoEscape(text) {
		return Piece{}, false
	}
	if string(id) != lastID {
		lastID = string(id)
	}
	return Piece{ID: lastID, Seq: seq, From: from, Tokens: tokens, Text: string(text)}, true
}

// maxDigits is the maximum number of digits, so that a number fits in an int.
const maxDigits = 18

// cutNumber parses a decimal number up to the separator.
func cutNumber(line []byte, separator string) (number int, rest []byte, ok bool) {
	digits, rest, found := bytes.Cut(line, []byte(separator))
	if !found || len(digits) == 0 || len(digits) > maxDigits || (digits[0] == '0' && len(digits) > 1) {
		return 0, nil, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, nil, false
		}
		number = number*10 + int(digit-'0')
	}
	return number, rest, true
}
