package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"persimmonwind.dev/server/intact"
)

// maxHeadBytes limits the size of a response's status line and headers.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge means that a response's head exceeds maxHeadBytes.
var ErrHeadTooLarge = errors.New("response head exceeds the size limit")

// headReader reads from a connection, a limited number of bytes while a head is read.
type headReader struct {
	conn      io.Reader
	limited   bool
	remaining int
}

func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(buffer)
	}
	if r.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.conn.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= n
	return n, err
}

// readHead reads the head of a response and returns the response, whose body is not
// limited.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.source.limited, c.source.remaining = true, maxHeadBytes
	defer func() { c.source.limited = false }()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.source.remaining <= 0 {
		return nil, fmt.Errorf("%w of %d bytes", ErrHeadTooLarge, maxHeadBytes)
	}
	if err != nil {
		return nil, err
	}
	return response, intact.Check(response)
}
