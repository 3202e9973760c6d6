package leave

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Server is an HTTP server that stops without losing a request.
type Server struct {
	http        *http.Server
	listener    net.Listener
	connections connectionTracker
}

// NewServer returns a server that accepts on the listener. The http.Server must not be
// used otherwise.
func NewServer(server *http.Server, listener net.Listener) *Server {
	s := &Server{http: server}
	s.connections.manage(server)
	s.listener = observedListener{Listener: listener, connections: &s.connections}
	return s
}

// observedListener accepts connections that report what is read from them.
type observedListener struct {
	net.Listener
	connections *connectionTracker
}

// Accept accepts a connection. One of TLS is not observed, as http.Server must recognise it.
func (l observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if _, ok := conn.(*tls.Conn); ok {
		return conn, nil
	}
	return &observedConn{Conn: conn, connections: l.connections}, nil
}

type observedConn struct {
	net.Conn
	connections *connectionTracker
}

// NetConn returns the connection itself.
func (c *observedConn) NetConn() net.Conn { return c.Conn }

// Read reads bytes. It returns net.ErrClosed for those that have crossed the closing.
func (c *observedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.connections.read(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Serve serves HTTP until lifetime ends. Drain stops accepting at once, but Serve does not
// return yet because requests may still be in flight.
func (s *Server) Serve(lifetime context.Context) error { return Serve(lifetime, s.http, s.listener) }

// Leave makes the answer to each further request announce the end of its connection.
func (s *Server) Leave() { s.connections.leave() }

// Announce announces the end of the connection in the header of an answer after Leave.
func (s *Server) Announce(header http.Header) { s.connections.announce(header) }

// CloseIdle closes idle connections, and others once they have become idle.
func (s *Server) CloseIdle() { s.connections.closeAllIdle() }

// Drain stops accepting, closes idle connections, and waits until all have ended or ctx
// ends, whose error it returns then.
func (s *Server) Drain(ctx context.Context) error {
	closeErr := s.listener.Close()
	return errors.Join(s.connections.drain(ctx), closeErr)
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Serve serves HTTP until lifetime ends. The end of the listener or of the server does not
// make it return, because requests may still be in flight.
func Serve(lifetime context.Context, server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	<-lifetime.Done()
	return nil
}
