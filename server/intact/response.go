// Package intact recognises HTTP responses that are not valid or not whole although
// net/http's parser accepts them.
package intact

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
)

// ErrInvalidResponse means that a response is not valid HTTP/1.
var ErrInvalidResponse = errors.New("response is not valid HTTP")

// The range of HTTP status codes. net/http reads any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns ErrInvalidResponse for a response with a head that HTTP/1 does not allow.
// It makes the end of the body fail in the same way for invalid trailers.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", ErrInvalidResponse, response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %.40q", ErrInvalidResponse, response.Status)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: change of protocol that was not asked for", ErrInvalidResponse)
	}
	if err := checkFieldNames(response.Header); err != nil {
		return err
	}
	if err := checkMerged(response); err != nil {
		return err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return nil
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

// statusLine matches a status line of HTTP/1.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// checkMerged returns ErrInvalidResponse if the status line or a field goes on with the status
// line of another response: a head that was cut off, followed by a whole one, is otherwise a
// valid head with the status of the first response and the fields of both.
func checkMerged(response *http.Response) error {
	if holdsStatusLine(response.Status) {
		return fmt.Errorf("%w: status %.80q", ErrInvalidResponse, response.Status)
	}
	for name, values := range response.Header {
		for _, value := range values {
			if holdsStatusLine(value) {
				return fmt.Errorf("%w: field %s holds a status line, %.80q", ErrInvalidResponse, name, value)
			}
		}
	}
	return nil
}

func holdsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

// body is the body of a response whose trailers are checked at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if invalid := checkFieldNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// Transport returns a transport that fails with ErrInvalidResponse where Check does. The
// bodies of its responses keep the limits, if there are any.
func Transport(next http.RoundTripper, limits *Limits) http.RoundTripper {
	return transport{next: next, limits: limits}
}

type transport struct {
	next   http.RoundTripper
	limits *Limits // nil for none.
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t transport) CloseIdleConnections() {
	if next, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}

func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close() // The response is not used.
		return nil, err
	}
	if t.limits != nil {
		response.Body = t.limits.Body(request.Context(), response.Body)
	}
	return response, nil
}
