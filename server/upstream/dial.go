// Package upstream holds the connections to backend servers: it dials them,
// keeps idle ones, writes a request as it came and reads the answer that
// belongs to it.
//
// net/http's own client is not used here: it sends a request again by itself
// on a kept connection that broke, rewrites paths that begin with two slashes,
// and takes a late second answer for the next request's.
package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 500 * time.Millisecond // A hundred round trips between data centres.

	// A peer that neither answers nor resets is found within about 2.5 s, less
	// than the 3 s after which a machine counts as reachable again.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	unackedTimeout    = 2500 * time.Millisecond
)

// Dial connects over TCP and finds silent peers by probes.
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
	return dialer.DialContext(ctx, network, address)
}
