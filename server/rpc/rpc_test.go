package rpc

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
)

// failingListener fails its first calls of Accept, as a listener does in a process
// that has run out of file descriptors.
type failingListener struct {
	net.Listener
	failures int // Number of calls of Accept that still fail.
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Echo is an RPC receiver for the test.
type Echo struct{}

// Say replies with its argument.
func (Echo) Say(word string, reply *string) error {
	*reply = word
	return nil
}

func TestServeWithoutFilesForAWhile(t *testing.T) {
	Convey("A server whose Accept fails for a while serves later connections", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		logger, logged := test.NewNullLogger()
		ended := make(chan error, 1)
		go func() {
			failing := &failingListener{Listener: listener, failures: 3}
			ended <- Serve(failing, map[string]any{"echo": Echo{}}, logrus.NewEntry(logger))
		}()
		pool := NewPool(nil)
		var reply string
		So(pool.Call(t.Context(), listener.Addr().String(), "echo.Say", "here", &reply), ShouldBeNil)
		So(reply, ShouldEqual, "here")
		pool.Close()
		So(listener.Close(), ShouldBeNil)
		So(<-ended, ShouldBeNil)
		So(logged.AllEntries(), ShouldHaveLength, 3)
	})
}

// Slow is an RPC receiver whose replies wait until released is closed.
type Slow struct{ released chan struct{} }

// Say replies with its argument after the release.
func (s Slow) Say(word string, reply *string) error {
	<-s.released
	*reply = word
	return nil
}

func TestDropSilent(t *testing.T) {
	Convey("Given a call that has not been answered in time", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		logger, _ := test.NewNullLogger()
		slow := Slow{released: make(chan struct{})}
		defer close(slow.released)
		go func() { _ = Serve(listener, map[string]any{"slow": slow, "echo": Echo{}}, logrus.NewEntry(logger)) }()
		pool, address := NewPool(nil), listener.Addr().String()
		defer pool.Close()
		var reply string
		So(pool.Call(t.Context(), address, "echo.Say", "here", &reply), ShouldBeNil)
		connection := pool.clients[address]
		calledAt := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		So(errors.Is(pool.Call(ctx, address, "slow.Say", "late", new(string)), ErrUnreachable), ShouldBeTrue)

		Convey("a connection on which nothing has arrived since the call is closed", func() {
			pool.DropSilent(address, calledAt)
			So(pool.clients[address], ShouldBeNil)
		})
		Convey("a connection to a peer that is only slow is kept", func() {
			So(pool.Call(t.Context(), address, "echo.Say", "alive", &reply), ShouldBeNil)
			pool.DropSilent(address, calledAt)
			So(pool.clients[address], ShouldEqual, connection)
		})
	})
}

func TestLateReplyDoesNotChangeTheCallersVariable(t *testing.T) {
	Convey("Given a call that ended before its reply arrived", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		logger, _ := test.NewNullLogger()
		slow := Slow{released: make(chan struct{})}
		go func() { _ = Serve(listener, map[string]any{"slow": slow}, logrus.NewEntry(logger)) }()
		pool := NewPool(nil)
		defer pool.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		var reply string
		So(errors.Is(pool.Call(ctx, listener.Addr().String(), "slow.Say", "late", &reply), ErrUnreachable), ShouldBeTrue)

		Convey("the variable belongs to the caller again", func() {
			close(slow.released)
			var next string
			So(pool.Call(t.Context(), listener.Addr().String(), "slow.Say", "next", &next), ShouldBeNil)
			time.Sleep(50 * time.Millisecond) // The late reply has arrived by now.
			So(reply, ShouldBeEmpty)
		})
	})
}
