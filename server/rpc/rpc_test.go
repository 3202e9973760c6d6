package rpc

import (
	"net"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
)

// failingListener fails to accept a few times, as where a process has no files left.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Echo is a receiver.
type Echo struct{}

// Say replies with what it got.
func (Echo) Say(word string, reply *string) error {
	*reply = word
	return nil
}

func TestServeWithoutFilesForAWhile(t *testing.T) {
	Convey("A server that can't accept connections for a while serves the next ones", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		logger, logged := test.NewNullLogger()
		ended := make(chan error, 1)
		go func() {
			starved := &failingListener{Listener: listener, failures: 3}
			ended <- Serve(starved, map[string]any{"echo": Echo{}}, logrus.NewEntry(logger))
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
