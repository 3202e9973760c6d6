// Package leavetest holds a listener for tests of servers that stop while requests arrive.
package leavetest

import (
	"net"
	"sync"
	"syscall"
)

// Listener accepts connections on which the server can be kept from seeing what has
// arrived: a request that was received and is not parsed yet.
type Listener struct {
	net.Listener
	Arrivals chan struct{} // Gets an element for each read that is held.

	mu         sync.Mutex
	held       chan struct{} // Closed by the release of Hold; nil before Hold.
	heldUnread chan struct{} // Closed by the release of HoldUnread; nil before HoldUnread.
}

// NewListener returns a listener that holds nothing yet.
func NewListener(listener net.Listener) *Listener {
	return &Listener{Listener: listener, Arrivals: make(chan struct{}, 16)}
}

// Hold keeps the server from seeing what arrives from now on until release is called.
func (l *Listener) Hold() (release func()) { return l.hold(&l.held) }

// HoldUnread keeps the server from reading further until release is called, so that what
// arrives stays in the socket.
func (l *Listener) HoldUnread() (release func()) { return l.hold(&l.heldUnread) }

// hold puts a channel in place that the returned function closes.
func (l *Listener) hold(place *chan struct{}) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(chan struct{})
	*place = held
	return func() { close(held) }
}

// Accept accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{Conn: accepted, listener: l}, nil
}

type conn struct {
	net.Conn
	listener *Listener
}

// SyscallConn gives access to the socket.
func (c conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c conn) Read(buffer []byte) (int, error) {
	c.listener.mu.Lock()
	unread := c.listener.heldUnread
	c.listener.mu.Unlock()
	if unread != nil {
		<-unread
	}
	n, err := c.Conn.Read(buffer)
	c.listener.mu.Lock()
	held := c.listener.held
	c.listener.mu.Unlock()
	if n > 0 && held != nil {
		c.listener.Arrivals <- struct{}{}
		<-held
	}
	return n, err
}
