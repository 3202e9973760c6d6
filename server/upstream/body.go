package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// errConnectionState means that the kernel does not tell the state of a connection.
var errConnectionState = errors.New("state of the connection is unknown")

// answerBody reads the body of a response. It returns io.EOF only at the end of a whole
// body with valid trailers.
//
// A body with neither a length nor chunks ends with its connection, and only a FIN of the
// server proves that it is whole. The end of the connection's bytes alone does not: after a
// reset, the kernel reports the error once, to the goroutine that still writes the request
// or to the one that reads the response, and to the other only the end.
type answerBody struct {
	io.ReadCloser
	exchange           *Exchange
	response           *http.Response
	endsWithConnection bool
}

func newAnswerBody(exchange *Exchange, response *http.Response) *answerBody {
	return &answerBody{
		ReadCloser: response.Body, exchange: exchange, response: response,
		endsWithConnection: !isFramed(response) && response.Body != http.NoBody,
	}
}

func (b *answerBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.endsWithConnection {
		err = b.exchange.checkOrderlyEnd()
	} else {
		err = checkFieldNames(b.response.Trailer)
	}
	if err != nil {
		return n, err
	}
	return n, io.EOF
}

// isFramed reports whether the response's head tells where its body ends.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// checkOrderlyEnd returns an error unless the server has ended the connection with a FIN.
// It is called after the end of the connection's bytes was read.
func (e *Exchange) checkOrderlyEnd() error {
	state, err := connectionState(e.conn.Conn)
	if err != nil && e.bodyWritten() {
		return nil // No write can have taken the error of a reset.
	}
	if err == nil && state == unix.BPF_TCP_CLOSE_WAIT {
		return nil
	}
	return fmt.Errorf("answer without a length was cut: %w", syscall.ECONNRESET)
}

// connectionState returns the kernel's TCP state of the connection. It returns
// errConnectionState if the connection is not a socket or the kernel does not tell.
func connectionState(conn net.Conn) (uint8, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errConnectionState
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errConnectionState, err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, infoErr); err != nil {
		return 0, fmt.Errorf("%w: %w", errConnectionState, err)
	}
	return info.State, nil
}
