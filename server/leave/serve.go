package leave

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Server is an HTTP server that stops without losing a request.
type Server struct {
	http        *http.Server
	listener    net.Listener
	connections Connections
}

// NewServer returns a server that accepts on the listener. The http.Server must not be
// used otherwise.
func NewServer(server *http.Server, listener net.Listener) *Server {
	s := &Server{http: server, listener: listener}
	s.connections.Manage(server)
	return s
}

// Serve serves HTTP until lifetime ends. Drain stops accepting at once, but Serve does not
// return yet because requests may still be in flight.
func (s *Server) Serve(lifetime context.Context) error { return Serve(lifetime, s.http, s.listener) }

// Leave makes the answer to each further request announce the end of its connection.
func (s *Server) Leave() { s.connections.Leave() }

// Announce announces the end of the connection in the header of an answer after Leave.
func (s *Server) Announce(header http.Header) { s.connections.Announce(header) }

// Drain stops accepting, closes idle connections, and waits until all have ended or ctx
// ends, whose error it returns then.
func (s *Server) Drain(ctx context.Context) error {
	closeErr := s.listener.Close()
	return errors.Join(s.connections.Drain(ctx), closeErr)
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
