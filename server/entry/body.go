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

// Caller's time for a whole request.
const (
	defaultDeadline      = time.Minute
	maxDeadline          = 10 * time.Minute
	requestTimeoutHeader = "Request-Timeout" // Seconds, a decimal number.
)

// readBody reads a bounded body from a sender that must not be slow.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	controller := http.NewResponseController(w)
	// A connection without deadlines, as in tests, reads without one.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The server reads a refused body out, so the deadline stays.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.Errorf(result.BodyTooLarge, "The most is %d bytes.", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &result.Error{Code: result.RequestTooSlow, RetryAfter: time.Second}
	default:
		return nil, result.Errorf(result.BadRequest, "The body can't be read: %v.", err)
	}
}

// setWriteDeadline ends the connection of a caller that has not taken the answer
// some time after its deadline.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(responseGrace))
}

// requestTimeout returns the time that the caller gives the request.
func requestTimeout(r *http.Request) (time.Duration, *result.Error) {
	text := r.Header.Get(requestTimeoutHeader)
	if text == "" {
		return defaultDeadline, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0, result.Errorf(result.BadRequest, "Header %s is %q; it must be a number of seconds greater than 0.", requestTimeoutHeader, text)
	}
	if seconds > maxDeadline.Seconds() {
		return maxDeadline, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
