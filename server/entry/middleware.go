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

// answerWriter remembers whether, and when, an answer has begun.
type answerWriter struct {
	http.ResponseWriter
	begun time.Time // Zero before the first byte.
}

// Unwrap lets http.ResponseController reach the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.markBegun()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.markBegun()
	return w.ResponseWriter.Write(p)
}

func (w *answerWriter) markBegun() {
	if w.begun.IsZero() {
		w.begun = time.Now()
	}
}

// failingHandler serves a request or returns why not. Where the answer has
// begun, the error is only recorded.
type failingHandler func(w http.ResponseWriter, r *http.Request) *result.Error

// answered records each answer and turns an error into an answer.
func (e *Entry) answered(next failingHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		writer := &answerWriter{ResponseWriter: w}
		err := e.recovered(next)(writer, r)
		code := result.OK
		if err != nil {
			code = err.Code
			logevent.Write(e.node.Log(), logevent.RequestFailed, logrus.Fields{"route": r.Pattern, "code": int(code), "detail": err.Detail})
		}
		if err != nil && writer.begun.IsZero() {
			writeError(writer, err)
		}
		if !writer.begun.IsZero() {
			e.metrics.ObserveFirstByte(r.Pattern, writer.begun.Sub(start))
		}
		e.metrics.ObserveRequest(r.Pattern, code, time.Since(start))
	}
}

// recovered turns a panic of next into an internal error.
func (e *Entry) recovered(next failingHandler) failingHandler {
	return func(w http.ResponseWriter, r *http.Request) (err *result.Error) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			logevent.Write(e.node.Log(), logevent.PanicRecovered, logrus.Fields{"panic": fmt.Sprint(fault), "stack": string(debug.Stack())})
			err = &result.Error{Code: result.Internal}
		}()
		return next(w, r)
	}
}

func serveUnknownPath(_ http.ResponseWriter, r *http.Request) *result.Error {
	return result.Errorf(result.UnknownPath, "%s %s does not exist.", r.Method, r.URL.Path)
}
