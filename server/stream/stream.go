// Package stream frames an answer as a sequence of pieces, one JSON value per
// line. Every piece names its request, and only a piece marked End completes
// the answer: a stream without one is truncated.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"persimmonwind.dev/policy/answer"
	"persimmonwind.dev/policy/result"
)

const (
	maxPieceBytes   = 4 << 20 // Maximum length of one line.
	readBufferBytes = 4 << 10
)

var errLineTooLong = errors.New("piece exceeds the maximum line length")

// ErrTruncated means that the stream ended without an end piece.
var ErrTruncated = errors.New("answer truncated before its end")

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// Piece is one part of an answer. Seq is the number of the piece, from 0; From is
// the number of the answer's tokens before this piece; Tokens is the number of
// tokens in it.
type Piece struct {
	ID     string      `json:"id"`
	Seq    int         `json:"seq"`
	From   int         `json:"from"`
	Tokens int         `json:"tokens"`
	Text   string      `json:"text,omitempty"`
	End    bool        `json:"end,omitempty"`
	Finish string      `json:"finish,omitempty"`
	Usage  *Usage      `json:"usage,omitempty"`
	Code   result.Code `json:"code,omitempty"` // Result code; set on an end piece that reports a failure.
	Detail string      `json:"detail,omitempty"`

	// More means that the next piece is already available, so that a writer may
	// send both together. It is not encoded in the stream.
	More bool `json:"-"`
}

// PartOf converts the piece to a part for answer.Assembler, which puts the pieces
// of one answer in order.
func PartOf(piece Piece) answer.Part[Piece] {
	return answer.Part[Piece]{
		ID: piece.ID, From: piece.From, Tokens: piece.Tokens, End: piece.End, Payload: piece,
	}
}

// Writer writes pieces.
type Writer struct {
	w            io.Writer
	line         []byte // Buffer that every piece reuses.
	flush        func()
	hasUnflushed bool // Something was written since the last flush.
}

// NewWriter returns a Writer that calls flush, if not nil, after each piece
// that is not marked More.
func NewWriter(w io.Writer, flush func()) *Writer {
	return &Writer{w: w, flush: flush}
}

// Write sends one piece.
func (w *Writer) Write(piece Piece) error {
	line, err := appendPiece(w.line[:0], piece)
	if err != nil {
		return fmt.Errorf("encode piece %d of %q: %w", piece.Seq, piece.ID, err)
	}
	w.line = append(line, '\n')
	if _, err := w.w.Write(w.line); err != nil {
		return fmt.Errorf("write piece %d of %q: %w", piece.Seq, piece.ID, err)
	}
	w.hasUnflushed = true
	if !piece.More {
		w.Flush()
	}
	return nil
}

// Flush flushes pieces marked More that have not been flushed yet.
func (w *Writer) Flush() {
	if w.flush != nil && w.hasUnflushed {
		w.flush()
	}
	w.hasUnflushed = false
}

// Reader reads pieces. Close must be called.
type Reader struct {
	lines  *bufio.Reader
	body   io.Closer
	sawEnd bool   // An end piece has been read.
	lastID string // ID of the latest piece.
}

// NewReader returns a Reader of body.
func NewReader(body io.ReadCloser) *Reader {
	return &Reader{lines: bufio.NewReaderSize(body, readBufferBytes), body: body}
}

// Next returns the next piece. After the last one it returns io.EOF if an end
// piece was among them, otherwise ErrTruncated.
func (r *Reader) Next() (Piece, error) {
	line, err := r.readLine()
	if err != nil {
		return Piece{}, r.readError(err)
	}
	piece, err := parsePiece(line, r.lastID)
	if err != nil {
		return Piece{}, fmt.Errorf("%w: malformed piece: %v", ErrTruncated, err)
	}
	r.lastID = piece.ID
	r.sawEnd = r.sawEnd || piece.End
	piece.More = r.lineBuffered()
	return piece, nil
}

// readLine returns the next line without its newline, valid until the next
// call. The last line of the stream may lack its newline.
func (r *Reader) readLine() ([]byte, error) {
	var accumulated []byte // The beginning of a line that is longer than the buffer.
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(accumulated)+len(part) > maxPieceBytes {
			return nil, errLineTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			accumulated = append(accumulated, part...)
			continue
		}
		if accumulated != nil {
			part = append(accumulated, part...)
		}
		if err != nil && (!errors.Is(err, io.EOF) || len(part) == 0) {
			return nil, err
		}
		return bytes.TrimSuffix(part, []byte{'\n'}), nil
	}
}

// lineBuffered reports whether the next line can be read without waiting.
func (r *Reader) lineBuffered() bool {
	buffered, _ := r.lines.Peek(r.lines.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}

// readError returns the error of Next for an error of readLine.
func (r *Reader) readError(err error) error {
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %v", ErrTruncated, err)
	}
	if !r.sawEnd {
		return ErrTruncated
	}
	return io.EOF
}

// Close closes the stream; a sender that has not finished sees that its reader
// is gone. After an end piece it first reads to the end of the stream, so that
// the connection can be reused.
func (r *Reader) Close() error {
	if r.sawEnd {
		_, _ = r.lines.Peek(1)
	}
	return r.body.Close()
}
