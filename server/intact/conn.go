package intact

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// errStateUnknown means that the kernel does not tell the state of a connection.
var errStateUnknown = errors.New("state of the connection is unknown")

// Conn is a TCP connection whose reads return io.EOF only behind a FIN of the peer.
//
// The end of the received bytes alone does not prove that the peer has sent all: after a
// reset, the kernel reports the error once, to whichever of a write and a read asks first,
// and to the other only the end. A body with neither a length nor chunks, which ends with
// its connection, would then look whole.
type Conn struct {
	*net.TCPConn
	writes      atomic.Int32 // Writes that have not returned yet.
	writeFailed atomic.Bool
}

// NewConn returns the connection as a Conn if it is one of TCP, and unchanged otherwise.
func NewConn(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}
	}
	return conn
}

// Read reads bytes. It returns syscall.ECONNRESET at the end of the bytes if the peer has
// not closed the connection in an orderly way.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if errors.Is(err, io.EOF) && !c.closedOrderly() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write writes bytes.
func (c *Conn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	n, err := c.TCPConn.Write(data)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// ReadFrom writes the bytes of the reader with Write; net.TCPConn's would pass it by.
func (c *Conn) ReadFrom(reader io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, reader)
}

// WriteTo reads the bytes for the writer with Read; net.TCPConn's would pass it by.
func (c *Conn) WriteTo(writer io.Writer) (int64, error) {
	return io.Copy(writer, struct{ io.Reader }{c})
}

// closedOrderly reports whether the peer has sent a FIN and no reset. It is called at the
// end of the received bytes.
func (c *Conn) closedOrderly() bool {
	state, err := c.state()
	if err != nil {
		// Without a write that fails or is under way, none has taken the error of a reset.
		return c.writes.Load() == 0 && !c.writeFailed.Load()
	}
	return state == unix.BPF_TCP_CLOSE_WAIT
}

// state returns the kernel's TCP state of the connection, or errStateUnknown.
func (c *Conn) state() (uint8, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStateUnknown, err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, infoErr); err != nil {
		return 0, fmt.Errorf("%w: %w", errStateUnknown, err)
	}
	return info.State, nil
}
