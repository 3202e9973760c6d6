package intact

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek looks at the bytes that a socket has received and that were not read yet, beside a
// read that may be waiting for them. It returns 0 at the end of the connection, and
// unix.EAGAIN if nothing has been received.
func Peek(socket syscall.Conn) (received int, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buffer [1]byte
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		received, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return received, peekErr
}
