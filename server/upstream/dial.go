// Package upstream manages the connections to backend servers: it dials them,
// pools idle ones, writes requests unmodified and reads the matching responses.
//
// It does not use net/http's client, which resends a request on its own when a
// reused connection breaks, rewrites paths that begin with two slashes, and takes
// a late second response for the response to the next request.
package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"persimmonwind.dev/server/intact"
)

const (
	dialTimeout = 500 * time.Millisecond // A hundred times the round-trip time between data centres.

	// The keep-alive probes and the limit on the time that sent bytes stay
	// unacknowledged detect a peer that neither answers nor resets within about
	// 2.5 s, less than the 3 s after which a machine counts as reachable again.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	unackedTimeout    = 2500 * time.Millisecond
)

// DialFunc opens a connection to an address.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial connects over TCP and enables the probes that detect unresponsive peers. Reads of
// the connection return io.EOF only if the peer has ended it in order.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return intact.NewConn(conn), nil
}
