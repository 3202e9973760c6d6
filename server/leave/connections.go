package leave

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"persimmonwind.dev/server/intact"
)

// connectionTracker ends the kept connections of a server without losing a request that has
// just arrived on one: either its connection ends before its handler begins, or it stays
// until the answer is sent.
//
// http.Server can't tell: it counts a connection as idle until a request has been parsed,
// and closes it from Shutdown and SetKeepAlivesEnabled although the request's handler will
// run. Both must not be called before drain has returned.
type connectionTracker struct {
	mu       sync.Mutex
	open     map[net.Conn]*connection
	leaving  bool          // Answers announce the end of their connections.
	closing  bool          // Connections are closed as soon as they are idle.
	draining chan struct{} // Closed once no connection is open; nil before drain and after that.
}

// connection is the state of a connection. connectionTracker.mu protects it.
type connection struct {
	isIdle   bool // An answer was sent, and no handler of a further request has begun.
	hasBytes bool // Bytes were read since the connection became idle.
	closed   bool // The connection was closed while it was idle; no handler may begin.
}

type connectionKey struct{}

// manage makes the server report its connections and pass its requests by them. The server
// must not have been started.
func (c *connectionTracker) manage(server *http.Server) {
	c.open = map[net.Conn]*connection{}
	server.Handler = c.wrap(server.Handler)
	server.ConnState = c.observe
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
}

// leave makes the answer to each further request announce the end of its connection.
func (c *connectionTracker) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// announce announces the end of the connection in the header of an answer after leave. It
// serves requests that have begun before.
func (c *connectionTracker) announce(header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		header.Set("Connection", "close")
	}
}

// closeAllIdle closes the connections that are idle, and others once they have become idle.
func (c *connectionTracker) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.closing = true, true
	for conn, state := range c.open {
		if state.isIdle {
			closeIdle(conn, state)
		}
	}
}

// drain calls closeAllIdle and waits until no connection is open, or returns the error of ctx.
func (c *connectionTracker) drain(ctx context.Context) error {
	c.closeAllIdle()
	ended := make(chan struct{})
	c.mu.Lock()
	c.draining = ended
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
func (c *connectionTracker) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok && !c.begin(conn) {
			panic(http.ErrAbortHandler)
		}
		c.announce(w.Header())
		next.ServeHTTP(w, r)
	})
}

// begin begins a request on the connection. It returns false if the connection was closed.
func (c *connectionTracker) begin(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.open[conn]
	if state == nil || state.closed {
		return false
	}
	state.isIdle = false
	return true
}

// read records that bytes were read from the connection. It returns false if the connection
// was closed.
func (c *connectionTracker) read(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.open[conn]
	if state == nil {
		return true // The server has handed the connection over.
	}
	state.hasBytes = true
	return !state.closed
}

// observe keeps the states of the connections as the server reports them.
func (c *connectionTracker) observe(conn net.Conn, reported http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch reported {
	case http.StateNew:
		c.open[conn] = &connection{}
	case http.StateIdle:
		state := c.open[conn]
		state.isIdle, state.hasBytes = true, false
		if c.closing {
			closeIdle(conn, state)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		c.signalEnd()
	}
}

// signalEnd ends drain if no connection is open. c.mu must be held.
func (c *connectionTracker) signalEnd() {
	if c.draining != nil && len(c.open) == 0 {
		close(c.draining)
		c.draining = nil
	}
}

// closeIdle closes an idle connection, unless bytes of a request have arrived on it: that
// request is served, and its answer announces the end of the connection.
// connectionTracker.mu must be held.
func closeIdle(conn net.Conn, state *connection) {
	if state.hasBytes || hasUnread(conn) {
		return
	}
	state.closed = true
	_ = conn.Close() // The connection has nothing left to send.
}

// hasUnread reports whether bytes have arrived that were not read yet. It returns false if
// the connection does not tell.
func hasUnread(conn net.Conn) bool {
	for wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok; wrapped, ok = conn.(interface{ NetConn() net.Conn }) {
		conn = wrapped.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	received, err := intact.Peek(socket)
	return err == nil && received > 0
}
