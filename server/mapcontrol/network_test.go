package mapcontrol

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// linkDelay is the time that bytes take from one simulated machine to another.
const linkDelay = 2 * time.Millisecond

// simulatedNetwork connects agents without sockets, so that tests with a fake clock can
// wait for calls between them.
type simulatedNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*simulatedListener
	connections []*simulatedConn
}

func (n *simulatedNetwork) listen(address string) *simulatedListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &simulatedListener{address: address, accepted: make(chan net.Conn, 256), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *simulatedNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil {
		return nil, fmt.Errorf("nothing listens at %s", address)
	}
	toServer, toClient := make(chan sentBytes, 4096), make(chan sentBytes, 4096)
	closed := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(closed) }) }
	client := &simulatedConn{in: toClient, out: toServer, closed: closed, end: end}
	server := &simulatedConn{in: toServer, out: toClient, closed: closed, end: end}
	n.connections = append(n.connections, client)
	l.accepted <- server
	return client, nil
}

// close ends all connections and listeners.
func (n *simulatedNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range n.connections {
		_ = connection.Close()
	}
	for address, l := range n.listeners {
		_ = l.Close()
		delete(n.listeners, address)
	}
}

type simulatedListener struct {
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *simulatedListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simulatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *simulatedListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// sentBytes are bytes on their way.
type sentBytes struct {
	data []byte
	due  time.Time
}

// simulatedConn is one end of a connection.
type simulatedConn struct {
	net.Conn

	in, out chan sentBytes
	closed  chan struct{}
	end     func()
	rest    []byte // Bytes that have arrived and have not been read.
}

func (c *simulatedConn) Read(buffer []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case arriving := <-c.in:
			time.Sleep(time.Until(arriving.due))
			c.rest = arriving.data
		case <-c.closed:
			return 0, io.EOF
		}
	}
	n := copy(buffer, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *simulatedConn) Write(data []byte) (int, error) {
	select {
	case c.out <- sentBytes{append([]byte(nil), data...), time.Now().Add(linkDelay)}:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *simulatedConn) Close() error {
	c.end()
	return nil
}
