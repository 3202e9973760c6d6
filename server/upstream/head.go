package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxHeadBytes limits the size of a response's status line and headers.
const maxHeadBytes = 64 << 10

// The range of HTTP status codes. net/http reads any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

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
	return response, checkHead(response)
}

// checkHead returns ErrInvalidResponse for a head that net/http accepts although HTTP/1
// does not allow it.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", ErrInvalidResponse, response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %.40q", ErrInvalidResponse, response.Status)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: change of protocol that was not asked for", ErrInvalidResponse)
	}
	return checkFieldNames(response.Header)
}

// checkFieldNames returns ErrInvalidResponse if the name of a field holds a blank. net/http
// refuses all other bytes that a name must not hold.
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %.40q", ErrInvalidResponse, name)
		}
	}
	return nil
}
