package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"persimmonwind.dev/server/intact"
)

const (
	// maxHeadBytes limits the size of a response's status line and headers.
	maxHeadBytes = 64 << 10
	// maxHeadFields limits the number of headers: each takes a hundred bytes and more in
	// memory, whatever its size.
	maxHeadFields = 1000
)

// ErrHeadTooLarge means that a response's head exceeds maxHeadBytes or maxHeadFields.
var ErrHeadTooLarge = errors.New("response head exceeds the size limit")

// headReader reads from a connection, a limited number of bytes and lines while a head is
// read.
type headReader struct {
	conn    io.Reader
	limited bool
	bytes   int // Bytes that may still be read.
	lines   int // Lines that may still be read. One read may exceed them by what is no head any more.
}

func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(buffer)
	}
	if r.exhausted() {
		return 0, ErrHeadTooLarge
	}
	n, err := r.conn.Read(buffer[:min(len(buffer), r.bytes)])
	r.bytes -= n
	r.lines -= bytes.Count(buffer[:n], []byte{'\n'})
	return n, err
}

func (r *headReader) exhausted() bool { return r.bytes <= 0 || r.lines < 0 }

// readHead reads the head of a response and returns the response, whose body is not
// limited.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.source.limited, c.source.bytes, c.source.lines = true, maxHeadBytes, maxHeadFields
	defer func() { c.source.limited = false }()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.source.exhausted() {
		return nil, fmt.Errorf("%w of %d bytes and %d fields", ErrHeadTooLarge, maxHeadBytes, maxHeadFields)
	}
	if err != nil {
		return nil, err
	}
	return response, intact.Check(response)
}
