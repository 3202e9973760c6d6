package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"persimmonwind.dev/server/intact"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read; it fits the socket's buffer, so the write doesn't block.
	maxInlineBodyBytes = 16 << 10
	// maxMismatchedResponses bounds the skipped responses to other requests.
	maxMismatchedResponses = 4
	// maxMismatchedBodyBytes bounds the body of a skipped response.
	maxMismatchedBodyBytes = 1 << 20
)

var (
	// ErrInterrupted means that the exchange failed after bytes of the request
	// may have reached the server.
	ErrInterrupted = errors.New("exchange with backend server was interrupted")
	// ErrMismatchedResponse means that what the server sent is not a response to
	// this request.
	ErrMismatchedResponse = errors.New("response of backend server does not belong to this request")
)

// End is how an exchange ended before its answer was complete.
type End string

// The ends of an exchange.
const (
	EndedByServer End = "closed"  // The server closed the connection in the middle of the exchange.
	ResetByServer End = "reset"   // The server or its machine reset the connection.
	Refused       End = "refused" // No process listens at the server's address.
	OtherEnd      End = "other"   // Ended by this process, by a time-out, or by an answer that can't be used.
)

// EndOf returns how an exchange ended whose error is err.
func EndOf(err error) End {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ResetByServer
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return EndedByServer
	default:
		return OtherEnd
	}
}

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // The request target, byte for byte as the caller sent it.
	Host   string
	Header http.Header // End-to-end headers only.
	Body   []byte
	// Matches reports whether the headers belong to a response to this request.
	Matches func(header http.Header) bool
	// Observe is called for the head of every response that arrives, also of interim
	// ones and of those to other requests; nil for none.
	Observe func(response *http.Response)
}

// Exchange is a request that was sent and the head of its response, that is, the
// status line and the headers. The caller reads the body and then calls Finish or
// Abort.
type Exchange struct {
	Response *http.Response

	conn             *Conn
	pool             *Pool
	bodyWriteResult  chan error  // Result of the asynchronous body write; nil if the body was written inline.
	stopContextWatch func() bool // Stops the reset at the end of the context; false if it has begun.
	ended            bool        // Finish or Abort was called.
}

// Do sends the request on the connection and reads the head of its response.
// The end of ctx resets the connection. On failure it returns ErrInterrupted,
// ErrMismatchedResponse or intact.ErrInvalidResponse.
func (p *Pool) Do(ctx context.Context, conn *Conn, request Request) (*Exchange, error) {
	exchange := &Exchange{conn: conn, pool: p}
	exchange.stopContextWatch = context.AfterFunc(ctx, func() { reset(conn) })
	if err := exchange.send(request); err != nil {
		exchange.Abort()
		return nil, fmt.Errorf("%w: send: %w", ErrInterrupted, err)
	}
	if err := exchange.receiveHead(request); err != nil {
		exchange.Abort()
		return nil, err
	}
	return exchange, nil
}

// send writes the request. A long body is written in the background.
func (e *Exchange) send(request Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := request.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(request.Body) <= maxInlineBodyBytes {
		head.Write(request.Body)
		_, err := e.conn.Write(head.Bytes())
		return err
	}
	if _, err := e.conn.Write(head.Bytes()); err != nil {
		return err
	}
	// A server may respond before it has read a long body.
	e.bodyWriteResult = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(request.Body)
		e.bodyWriteResult <- err
	}()
	return nil
}

// receiveHead reads response heads up to the one that belongs to the request, and
// skips the responses to other requests.
func (e *Exchange) receiveHead(request Request) error {
	methodOnly := &http.Request{Method: request.Method}
	for range maxMismatchedResponses {
		response, err := e.conn.readHead(methodOnly)
		if errors.Is(err, intact.ErrInvalidResponse) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: receive: %w", ErrInterrupted, err)
		}
		if request.Observe != nil {
			request.Observe(response)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches(response.Header) {
			e.Response = response
			return nil
		}
		if !isFramed(response) {
			return fmt.Errorf("%w and has no length", ErrMismatchedResponse)
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBodyBytes+1))
		if err != nil {
			return fmt.Errorf("%w: receive another request's response: %w", ErrInterrupted, err)
		}
		if skipped > maxMismatchedBodyBytes {
			return fmt.Errorf("%w and exceeds %d bytes", ErrMismatchedResponse, maxMismatchedBodyBytes)
		}
	}
	return fmt.Errorf("%w: %d in a row", ErrMismatchedResponse, maxMismatchedResponses)
}

// isFramed reports whether the response's head tells where its body ends.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Finish ends an exchange whose body was read to its end and returns the
// connection to the pool if it can serve another request.
func (e *Exchange) Finish() {
	if !e.markEnded() {
		return
	}
	response := e.Response
	if response.Close || !isFramed(response) || !e.bodyWritten() || e.conn.reader.Buffered() > 0 {
		discard(e.conn)
		return
	}
	if limit, ok := parseKeepAlive(response.Header.Get("Keep-Alive")); ok {
		e.conn.idleLimit = limit
	}
	e.pool.Put(e.conn)
}

// Abort ends the exchange and resets its connection.
func (e *Exchange) Abort() {
	e.markEnded()
	reset(e.conn)
}

// markEnded ends the exchange. It reports whether the exchange was still open
// and its context not done.
func (e *Exchange) markEnded() bool {
	if e.ended {
		return false
	}
	e.ended = true
	return e.stopContextWatch()
}

// bodyWritten reports whether the whole request body has been written.
func (e *Exchange) bodyWritten() bool {
	if e.bodyWriteResult == nil {
		return true
	}
	select {
	case err := <-e.bodyWriteResult:
		return err == nil
	default:
		return false
	}
}
