package rpc

import (
	"net"
	"syscall"
	"testing"

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
