package entry

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/logevent"
)

// responseWriter records when the first byte of the response was written.
type responseWriter struct {
	http.ResponseWriter
	firstByteAt time.Time         // Time of the first byte; zero before it.
	beforeFirst func(http.Header) // Completes the header before the first byte.
}

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) WriteHeader(status int) {
	w.recordFirstByte()
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(p []byte) (int, error) {
	w.recordFirstByte()
	return w.ResponseWriter.Write(p)
}

func (w *responseWriter) recordFirstByte() {
	if w.firstByteAt.IsZero() {
		w.beforeFirst(w.Header())
		w.firstByteAt = time.Now()
	}
}

// handlerFunc serves a request or returns why it failed. If the response has
// started, the error is only recorded.
type handlerFunc func(w http.ResponseWriter, r *http.Request) *result.Error

// instrumented records the outcome of each request. If next returns an
// error before the response has started, the error is written as the response.
func (e *Entry) instrumented(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		writer := &responseWriter{ResponseWriter: w, beforeFirst: e.callers.Announce}
		err := e.recoverPanics(next)(writer, r)
		code := result.OK
		if err != nil {
			code = err.Code
			logevent.Write(e.node.Log(), logevent.RequestFailed, logrus.Fields{"route": r.Pattern, "code": int(code), "detail": err.Detail})
		}
		if err != nil && writer.firstByteAt.IsZero() {
			writeError(writer, err)
		}
		if !writer.firstByteAt.IsZero() {
			e.metrics.ObserveFirstByte(r.Pattern, writer.firstByteAt.Sub(start))
		}
		e.metrics.ObserveRequest(r.Pattern, code, time.Since(start))
	}
}

// recoverPanics turns a panic of next into an internal error.
func (e *Entry) recoverPanics(next handlerFunc) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request) (err *result.Error) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			logevent.Write(e.node.Log(), logevent.PanicRecovered, logrus.Fields{"panic": fmt.Sprint(recovered), "stack": string(debug.Stack())})
			err = &result.Error{Code: result.Internal}
		}()
		return next(w, r)
	}
}

func serveUnknownPath(_ http.ResponseWriter, r *http.Request) *result.Error {
	return result.Errorf(result.UnknownPath, "%s %s does not exist", r.Method, r.URL.Path)
}
