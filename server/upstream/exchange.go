package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

const (
	// inlineBodyBytes is the size up to which a body is written before the
	// answer is read; it fits the socket's buffer, so the write doesn't block.
	inlineBodyBytes = 16 << 10
	// maxForeignAnswers bounds answers to other requests that are skipped.
	maxForeignAnswers = 4
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 1 << 20
)

var (
	// ErrInterrupted means that the exchange broke off after bytes of the request
	// may have reached the server.
	ErrInterrupted = errors.New("exchange with backend server broke off")
	// ErrMismatchedResponse means that the server's bytes are no answer to this
	// request.
	ErrMismatchedResponse = errors.New("backend server's bytes don't answer this request")
)

// Request is what is sent.
type Request struct {
	Method string
	Target string // The request target, byte for byte as the caller sent it.
	Host   string
	Header http.Header // End-to-end headers only.
	Body   []byte
	// Matches reports whether the headers belong to an answer to this request.
	Matches func(header http.Header) bool
}

// Exchange is a request that was sent and the head of its answer.
type Exchange struct {
	Response *http.Response

	conn    *Conn
	pool    *Pool
	written chan error // Nil where the body was written at once.
	stop    func() bool
	ended   bool
}

// Do sends the request on the connection and reads the head of its answer. The
// end of ctx closes the connection. It fails with ErrBroken or ErrForeignAnswer.
func (p *Pool) Do(ctx context.Context, conn *Conn, request Request) (*Exchange, error) {
	exchange := &Exchange{conn: conn, pool: p}
	exchange.stop = context.AfterFunc(ctx, func() { reset(conn) })
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
	if len(request.Body) <= inlineBodyBytes {
		head.Write(request.Body)
		_, err := e.conn.Write(head.Bytes())
		return err
	}
	if _, err := e.conn.Write(head.Bytes()); err != nil {
		return err
	}
	// A server may answer before it has read a long body.
	e.written = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(request.Body)
		e.written <- err
	}()
	return nil
}

func (e *Exchange) receiveHead(request Request) error {
	shape := &http.Request{Method: request.Method}
	for range maxForeignAnswers {
		response, err := http.ReadResponse(e.conn.reader, shape)
		if err != nil {
			return fmt.Errorf("%w: receive: %w", ErrInterrupted, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches(response.Header) {
			e.Response = response
			return nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return fmt.Errorf("%w: it has no length", ErrMismatchedResponse)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return fmt.Errorf("%w: receive another request's answer: %w", ErrInterrupted, err)
		}
	}
	return fmt.Errorf("%w: %d in a row", ErrMismatchedResponse, maxForeignAnswers)
}

// Finish ends an exchange whose body was read to its end and keeps the
// connection where it can serve another request.
func (e *Exchange) Finish() {
	if !e.end() {
		return
	}
	response := e.Response
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if response.Close || !framed || !e.bodyWritten() || e.conn.reader.Buffered() > 0 {
		discard(e.conn)
		return
	}
	if limit, ok := keepAliveLimit(response.Header.Get("Keep-Alive")); ok {
		e.conn.idleLimit = limit
	}
	e.pool.Put(e.conn)
}

// Abort ends the exchange and resets its connection.
func (e *Exchange) Abort() {
	e.end()
	reset(e.conn)
}

// end reports whether the exchange was still open and its context lives.
func (e *Exchange) end() bool {
	if e.ended {
		return false
	}
	e.ended = true
	return e.stop()
}

func (e *Exchange) bodyWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}
