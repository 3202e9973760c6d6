package intact

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// connect returns both ends of a connection.
func connect() (near *Conn, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	accepted, err := listener.Accept()
	So(err, ShouldBeNil)
	return NewConn(dialed).(*Conn), accepted.(*net.TCPConn)
}

// Guards against taking the end of a connection that was reset for an end in order after a
// write has taken the error.
func TestEndOfAConnection(t *testing.T) {
	reads := map[string]func(*Conn) (string, error){
		"Read": func(c *Conn) (string, error) {
			content, err := io.ReadAll(struct{ io.Reader }{c})
			return string(content), err
		},
		"WriteTo": func(c *Conn) (string, error) {
			var content strings.Builder
			_, err := c.WriteTo(&content)
			return content.String(), err
		},
	}
	writes := map[string]func(*Conn) error{
		"Write":    func(c *Conn) error { _, err := c.Write([]byte("x")); return err },
		"ReadFrom": func(c *Conn) error { _, err := c.ReadFrom(strings.NewReader("x")); return err },
	}
	for readName, read := range reads {
		Convey("Behind a FIN, "+readName+" meets the end in order, also after further writes", t, func() {
			near, far := connect()
			defer func() { _ = near.Close() }()
			_, err := io.WriteString(far, "whole")
			So(err, ShouldBeNil)
			So(far.CloseWrite(), ShouldBeNil)
			_, err = near.Write([]byte("x"))
			So(err, ShouldBeNil)
			content, err := read(near)
			So(err, ShouldBeNil)
			So(content, ShouldEqual, "whole")
		})
		for writeName, write := range writes {
			Convey("Behind a reset whose error "+writeName+" has taken, "+readName+" fails", t, func() {
				near, far := connect()
				defer func() { _ = near.Close() }()
				_, err := io.WriteString(far, "part")
				So(err, ShouldBeNil)
				So(far.SetLinger(0), ShouldBeNil)
				So(far.Close(), ShouldBeNil)
				for err == nil {
					err = write(near)
				}
				_, err = read(near)
				So(err, ShouldWrap, syscall.ECONNRESET)
			})
		}
	}
	Convey("Where the kernel does not tell the state, a write that failed or is under way leaves the end unproven", t, func() {
		near, _ := connect()
		So(near.Close(), ShouldBeNil)
		_, err := near.state()
		So(err, ShouldWrap, errStateUnknown)
		So(near.closedOrderly(), ShouldBeTrue)
		near.writes.Add(1)
		So(near.closedOrderly(), ShouldBeFalse)
		near.writes.Add(-1)
		near.writeFailed.Store(true)
		So(near.closedOrderly(), ShouldBeFalse)
	})
}
