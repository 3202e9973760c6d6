package leave

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Connections ends the kept connections of a server without losing a request that has just
// arrived on one: a request is either refused before its handler begins, with the end of its
// connection, or its connection stays until the answer is sent.
//
// http.Server can't tell: it counts a connection as idle until a request has been parsed,
// and closes it from Shutdown and SetKeepAlivesEnabled although the request's handler will
// run. Both must not be called before Drain has returned.
type Connections struct {
	mu       sync.Mutex
	open     map[net.Conn]*connection
	leaving  bool          // Answers announce the end of their connections.
	draining chan struct{} // Closed once no connection is open; nil before Drain and after that.
}

// connection is the state of a connection. Connections.mu protects it.
type connection struct {
	isIdle bool // An answer was sent, and no handler of a further request has begun.
	closed bool // The connection was closed while it was idle; no handler may begin.
}

type connectionKey struct{}

// Manage makes the server report its connections and pass its requests by them. The server
// must not have been started.
func (c *Connections) Manage(server *http.Server) {
	c.open = map[net.Conn]*connection{}
	server.Handler = c.wrap(server.Handler)
	server.ConnState = c.observe
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
}

// Leave makes the answer to each further request announce the end of its connection.
func (c *Connections) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Announce announces the end of the connection in the header of an answer after Leave. It
// serves requests that have begun before.
func (c *Connections) Announce(header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		header.Set("Connection", "close")
	}
}

// Drain closes the connections that are idle, and all others once they have become idle. It
// waits until none is open, or returns the error of ctx.
func (c *Connections) Drain(ctx context.Context) error {
	ended := make(chan struct{})
	c.mu.Lock()
	c.leaving, c.draining = true, ended
	for conn, state := range c.open {
		if state.isIdle {
			closeIdle(conn, state)
		}
	}
	c.signalEnd()
	c.mu.Unlock()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wrap returns a handler that ends the connections of requests that have crossed their
// closing, without calling next.
func (c *Connections) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok && !c.begin(conn) {
			panic(http.ErrAbortHandler)
		}
		c.Announce(w.Header())
		next.ServeHTTP(w, r)
	})
}

// begin begins a request on the connection. It returns false if the connection was closed.
func (c *Connections) begin(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.open[conn]
	if state == nil || state.closed {
		return false
	}
	state.isIdle = false
	return true
}

// observe keeps the states of the connections as the server reports them.
func (c *Connections) observe(conn net.Conn, reported http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch reported {
	case http.StateNew:
		c.open[conn] = &connection{}
	case http.StateIdle:
		state := c.open[conn]
		state.isIdle = true
		if c.draining != nil {
			closeIdle(conn, state)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		c.signalEnd()
	}
}

// signalEnd ends Drain if no connection is open. c.mu must be held.
func (c *Connections) signalEnd() {
	if c.draining != nil && len(c.open) == 0 {
		close(c.draining)
		c.draining = nil
	}
}

// closeIdle closes an idle connection. Connections.mu must be held.
func closeIdle(conn net.Conn, state *connection) {
	state.closed = true
	_ = conn.Close() // The connection has nothing left to send.
}
