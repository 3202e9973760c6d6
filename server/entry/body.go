package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"persimmonwind.dev/policy/result"
)

const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 64 << 10
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	responseGrace  = 5 * time.Second
)

// Default and maximum of the timeout that a caller may set for a request.
const (
	defaultDeadline      = time.Minute
	maxDeadline          = 10 * time.Minute
	requestTimeoutHeader = "Request-Timeout" // Request header with the timeout in seconds, as a decimal number.
)

// readBody reads the request body within maxBodyBytes and bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	controller := http.NewResponseController(w)
	// Connections that don't support deadlines, as in tests, are read without one.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The read deadline stays set because the HTTP server goes on reading the
	// rest of a rejected body.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.Errorf(result.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &result.Error{Code: result.RequestTooSlow, RetryAfter: time.Second}
	default:
		return nil, result.Errorf(result.BadRequest, "read body: %v", err)
	}
}

// setWriteDeadline closes the connection to a caller that has not read the
// response within responseGrace after its deadline.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(responseGrace))
}

// requestTimeout returns the timeout that the caller set for the request, at
// most maxDeadline, or defaultDeadline if it set none.
func requestTimeout(r *http.Request) (time.Duration, *result.Error) {
	text := r.Header.Get(requestTimeoutHeader)
	if text == "" {
		return defaultDeadline, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0, result.Errorf(result.BadRequest, "header %s is %q; it must be a number of seconds greater than 0", requestTimeoutHeader, text)
	}
	if seconds > maxDeadline.Seconds() {
		return maxDeadline, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
