// Package upstreamtest holds fakes for tests of exchanges with backend servers: servers
// on raw sockets, whose bytes no library repairs, and connections that fix the order in
// which the two directions of an exchange notice a failure.
package upstreamtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// orderTimeout bounds the wait for the other direction of an exchange.
const orderTimeout = 5 * time.Second

// Request is a request as a RawServer has received it. Its body is read from Body and may
// still be arriving.
type Request struct {
	*http.Request
	Number int // Number of the request at this server, from 1.
	Conn   *net.TCPConn
}

// Send sends the bytes as they are.
func (r Request) Send(format string, args ...any) { _, _ = fmt.Fprintf(r.Conn, format, args...) }

// SendWithoutEnd sends the bytes again and again until the connection ends or limit bytes
// are sent, and returns how many were.
func (r Request) SendWithoutEnd(data []byte, limit int) int {
	sent := 0
	for sent < limit {
		n, err := r.Conn.Write(data)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// Reset resets the connection.
func (r Request) Reset() {
	_ = r.Conn.SetLinger(0)
	_ = r.Conn.Close()
}

// RawServer is a backend server on a raw socket.
type RawServer struct {
	net.Listener
	requests atomic.Int32
	open     sync.Map // Connections, by themselves.
}

// NewRawServer starts a server that passes the head of each request to serve. It closes the
// connection when serve returns false, and otherwise reads the next request from it.
func NewRawServer(serve func(Request) (keep bool)) *RawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &RawServer{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.open.Store(conn, nil)
			go s.serve(conn.(*net.TCPConn), serve)
		}
	}()
	return s
}

func (s *RawServer) serve(conn *net.TCPConn, serve func(Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !serve(Request{Request: request, Number: int(s.requests.Add(1)), Conn: conn}) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// Address returns the server's address.
func (s *RawServer) Address() string { return s.Addr().String() }

// Requests returns the number of requests that have arrived.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Stop closes the server and its connections.
func (s *RawServer) Stop() {
	_ = s.Close()
	s.open.Range(func(conn, _ any) bool {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetLinger(0) // Leaves no port in TIME_WAIT: some tests start thousands of servers.
		_ = tcp.Close()
		return true
	})
}

// Order is the order in which the directions of an exchange notice that their connection
// was reset.
type Order int

// The orders.
const (
	WriteFirst       Order = iota // The write fails, and reads begin only then.
	WriteFirstUntold              // The same, but the caller of the write learns of it only when a read has met the end.
	ReadFirst                     // Reads meet the reset; the rest of a long write begins only then.
)

// readFirstPrefix is the number of bytes of a long write that are written before reads
// have met the reset with ReadFirst.
const readFirstPrefix = 64 << 10

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// InOrder returns a dial function for connections of dial on which reads and long writes
// notice a reset in the order.
func InOrder(order Order, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &orderedConn{Conn: conn, order: order, writeFailed: make(chan struct{}), readFailed: make(chan struct{})}, nil
	}
}

type orderedConn struct {
	net.Conn
	order                   Order
	writeFailed, readFailed chan struct{}
	writeOnce, readOnce     sync.Once
}

func (c *orderedConn) Read(buffer []byte) (int, error) {
	if c.order != ReadFirst {
		await(c.writeFailed)
	}
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.readOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

func (c *orderedConn) Write(data []byte) (int, error) {
	written := 0
	if c.order == ReadFirst && len(data) > readFirstPrefix {
		n, err := c.Conn.Write(data[:readFirstPrefix])
		if written += n; err != nil {
			return written, err
		}
		await(c.readFailed)
	}
	n, err := c.Conn.Write(data[written:])
	if err != nil {
		c.writeOnce.Do(func() { close(c.writeFailed) })
		if c.order == WriteFirstUntold {
			await(c.readFailed)
		}
	}
	return written + n, err
}

func await(event <-chan struct{}) {
	select {
	case <-event:
	case <-time.After(orderTimeout):
	}
}

// CountReads returns dial with a count of the bytes that are read from its connections. What
// a server has sent does not tell that: sockets buffer many megabytes.
func CountReads(dial DialFunc) (DialFunc, *atomic.Int64) {
	count := &atomic.Int64{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: conn, count: count}, nil
	}, count
}

type countedConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.count.Add(int64(n))
	return n, err
}
