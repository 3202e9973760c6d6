package leave

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/leave/leavetest"
)

// managed is a server with managed connections.
type managed struct {
	*leavetest.Listener
	server  *Server
	handled atomic.Int32
}

func newManaged(handler http.HandlerFunc) *managed {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	m := &managed{Listener: leavetest.NewListener(listener)}
	m.server = NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.handled.Add(1)
		handler(w, r)
	})}, m.Listener)
	go func() { _ = m.server.Serve(context.Background()) }()
	return m
}

// newBlocking returns a server whose handler reports that it has begun and answers once
// proceed is closed.
func newBlocking() (m *managed, begun <-chan struct{}, proceed chan<- struct{}) {
	began, proceeds := make(chan struct{}, 2), make(chan struct{})
	m = newManaged(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-proceeds
		answer(w, r)
	})
	return m, began, proceeds
}

// client is a caller with one connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (m *managed) connect() *client {
	conn, err := net.Dial("tcp", m.Addr().String())
	So(err, ShouldBeNil)
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }

// receive reads an answer, and reports whether its connection will end.
func (c *client) receive() (ends bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Close, err
}

func (m *managed) drain() <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ended <- m.server.Drain(ctx)
	}()
	return ended
}

// awaitIdle waits until the server counts a connection as idle.
func (m *managed) awaitIdle() {
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		m.server.connections.mu.Lock()
		for _, state := range m.server.connections.open {
			idle = idle || state.isIdle
		}
		m.server.connections.mu.Unlock()
	}
}

// awaitDraining waits until Drain has closed the idle connections.
func (m *managed) awaitDraining() {
	for {
		m.server.connections.mu.Lock()
		draining := m.server.connections.draining != nil
		m.server.connections.mu.Unlock()
		if draining {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

// Guards against closing a kept connection on which a request has just arrived, and running
// that request all the same.
func TestConnectionsOfALeavingServer(t *testing.T) {
	Convey("Given a kept connection", t, func() {
		m := newManaged(answer)
		defer func() { _ = m.server.Close() }()
		c := m.connect()
		c.send()
		ends, err := c.receive()
		So(err, ShouldBeNil)
		So(ends, ShouldBeFalse)
		m.awaitIdle()

		Convey("a request that has arrived before the server leaves, and is parsed afterwards, is answered", func() {
			release := m.Hold()
			c.send()
			<-m.Arrivals
			m.server.Leave()
			release()
			ends, err := c.receive()
			So(err, ShouldBeNil)
			So(ends, ShouldBeTrue)
			So(m.handled.Load(), ShouldEqual, 2)
		})
		Convey("a request that is parsed after the connection was closed is not handled", func() {
			release := m.Hold()
			c.send()
			<-m.Arrivals
			drained := m.drain()
			m.awaitDraining()
			release()
			_, err := c.receive()
			So(err, ShouldNotBeNil)
			So(<-drained, ShouldBeNil)
			So(m.handled.Load(), ShouldEqual, 1)
		})
		Convey("an idle connection is closed", func() {
			So(<-m.drain(), ShouldBeNil)
			_, err := c.receive()
			So(err, ShouldWrap, io.ErrUnexpectedEOF)
		})
	})
	Convey("A request that has arrived and was not read yet is answered although idle connections are closed", t, func() {
		m, begun, proceed := newBlocking()
		defer func() { _ = m.server.Close() }()
		c := m.connect()
		c.send()
		<-begun
		release := m.HoldUnread()
		close(proceed)
		_, err := c.receive()
		So(err, ShouldBeNil)
		c.send()
		time.Sleep(20 * time.Millisecond) // The request is in the socket.
		drained := m.drain()
		m.awaitDraining()
		release()
		ends, err := c.receive()
		So(err, ShouldBeNil)
		So(ends, ShouldBeTrue)
		So(<-drained, ShouldBeNil)
	})
	Convey("A connection is idle after a request whose body arrived late, and is closed", t, func() {
		begun := make(chan struct{}, 1)
		m := newManaged(func(w http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			_, _ = io.Copy(io.Discard, r.Body)
			answer(w, r)
		})
		defer func() { _ = m.server.Close() }()
		c := m.connect()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		<-begun
		_, _ = io.WriteString(c, "dy")
		_, err := c.receive()
		So(err, ShouldBeNil)
		m.awaitIdle()
		So(<-m.drain(), ShouldBeNil)
	})
	Convey("A request of which a part was read is answered although idle connections are closed", t, func() {
		m := newManaged(answer)
		defer func() { _ = m.server.Close() }()
		c := m.connect()
		c.send()
		_, err := c.receive()
		So(err, ShouldBeNil)
		m.awaitIdle()
		_, _ = io.WriteString(c, "GET / HT")
		time.Sleep(20 * time.Millisecond) // The part was read.
		m.server.CloseIdle()
		_, _ = io.WriteString(c, "TP/1.1\r\nHost: h\r\n\r\n")
		ends, err := c.receive()
		So(err, ShouldBeNil)
		So(ends, ShouldBeTrue)
		So(<-m.drain(), ShouldBeNil)
	})
	Convey("An answer that is under way is sent before its connection ends, whether its request began before or after", t, func() {
		m, begun, proceed := newBlocking()
		defer func() { _ = m.server.Close() }()
		before, after := m.connect(), m.connect()
		before.send()
		<-begun
		m.server.Leave()
		after.send()
		<-begun
		drained := m.drain()
		m.awaitDraining()
		close(proceed)
		_, err := before.receive()
		So(err, ShouldBeNil)
		ends, err := after.receive()
		So(err, ShouldBeNil)
		So(ends, ShouldBeTrue)
		So(<-drained, ShouldBeNil)
	})
	Convey("A new connection may send its first request, and then ends", t, func() {
		m := newManaged(answer)
		defer func() { _ = m.server.Close() }()
		c := m.connect()
		for open := 0; open == 0; time.Sleep(time.Millisecond) {
			m.server.connections.mu.Lock()
			open = len(m.server.connections.open)
			m.server.connections.mu.Unlock()
		}
		drained := m.drain()
		m.awaitDraining()
		c.send()
		ends, err := c.receive()
		So(err, ShouldBeNil)
		So(ends, ShouldBeTrue)
		So(<-drained, ShouldBeNil)
	})
	Convey("Connections that do not end are waited for until the context ends", t, func() {
		m := newManaged(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		defer func() { _ = m.server.Close() }()
		c := m.connect()
		c.send()
		for m.handled.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		So(errors.Is(m.server.Drain(ctx), context.DeadlineExceeded), ShouldBeTrue)
	})
}
