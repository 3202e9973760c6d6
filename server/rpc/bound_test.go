package rpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/server/upstream/upstreamtest"
)

// readerConn is a connection from which the bytes of a reader are read.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(buffer []byte) (int, error) { return c.Reader.Read(buffer) }
func (c readerConn) SetReadDeadline(time.Time) error { return nil }
func (c readerConn) Close() error                    { return nil }

// endlessMessage announces a message of 2 GB.
const endlessMessage = "\xfc\x80\x00\x00\x00"

// sendWithoutEnd sends a message without end until the connection ends or limit bytes are
// sent, and returns how many were.
func sendWithoutEnd(conn net.Conn, limit int) int {
	_, _ = io.WriteString(conn, endlessMessage)
	sent := 0
	for sent < limit {
		n, err := conn.Write(make([]byte, 64<<10))
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

func TestMessagesWithoutEnd(t *testing.T) {
	const limit = 256 << 20
	logger, _ := test.NewNullLogger()
	Convey("A peer whose reply has no end is dropped before it takes memory", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		ended := make(chan int, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				ended <- sendWithoutEnd(conn, limit)
			}
		}()
		dial, read := upstreamtest.CountReads((&net.Dialer{}).DialContext)
		pool := NewPoolWithDialer(func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var reply string
		err = pool.Call(ctx, listener.Addr().String(), "echo.Say", "a", &reply)
		So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
		So(<-ended, ShouldBeLessThan, limit)
		So(read.Load(), ShouldBeLessThan, largeMessageBytes)
	})
	Convey("A peer whose request has no end is dropped, and others are served, with long messages too", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		go func() { _ = Serve(listener, map[string]any{"echo": Echo{}}, logrus.NewEntry(logger)) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		So(sendWithoutEnd(conn, limit), ShouldBeLessThan, limit)
		pool := NewPool(nil)
		defer pool.Close()
		for _, length := range []int{1, largeMessageBytes, 2 * largeMessageBytes, maxMessageBytes / 2, 1} {
			text := strings.Repeat("x", length)
			var reply string
			So(pool.Call(context.Background(), listener.Addr().String(), "echo.Say", text, &reply), ShouldBeNil)
			So(len(reply), ShouldEqual, length)
		}
		So(largeMessages.Load(), ShouldEqual, 0)
	})
}

func TestBoundedConn(t *testing.T) {
	Convey("Messages up to the limit pass unchanged, however they are cut into reads", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			var encoded bytes.Buffer
			encoder := gob.NewEncoder(&encoded)
			lengths := rapid.SliceOfN(rapid.IntRange(0, 70000), 1, 10).Draw(t, "lengths")
			for _, length := range lengths {
				if err := encoder.Encode(strings.Repeat("x", length)); err != nil {
					t.Fatal(err)
				}
			}
			var reader io.Reader = &encoded
			if rapid.Bool().Draw(t, "byte by byte") {
				reader = iotest.OneByteReader(reader)
			}
			conn := &boundedConn{Conn: readerConn{Reader: reader}}
			decoder := gob.NewDecoder(conn)
			for i, length := range lengths {
				var text string
				if err := decoder.Decode(&text); err != nil || len(text) != length {
					t.Fatalf("message %d: %d of %d bytes, error %v", i, len(text), length, err)
				}
			}
			if conn.remaining != 0 {
				t.Fatalf("%d bytes remain of the last message", conn.remaining)
			}
		})
	})
	Convey("A malformed length is refused", t, func() {
		conn := &boundedConn{Conn: readerConn{Reader: strings.NewReader("\x80\x01\x02")}}
		_, err := conn.Read(make([]byte, 16))
		So(err, ShouldEqual, errMalformedLength)
	})
	Convey("Only so many large messages are read at the same time, and room returns when one ends or breaks off", t, func() {
		const large = "\xfd\x20\x00\x00" // 2 MB.
		var conns []*boundedConn
		begin := func() error {
			conn := &boundedConn{Conn: readerConn{Reader: io.MultiReader(strings.NewReader(large), strings.NewReader(strings.Repeat("x", 2<<20)))}}
			conns = append(conns, conn)
			_, err := conn.Read(make([]byte, 16))
			return err
		}
		for range maxLargeMessages {
			So(begin(), ShouldBeNil)
		}
		So(begin(), ShouldEqual, errTooManyLarge)
		_, err := io.CopyN(io.Discard, conns[0], 2<<20)
		So(err, ShouldBeNil)
		So(begin(), ShouldBeNil)
		So(begin(), ShouldEqual, errTooManyLarge)
		So(conns[1].Close(), ShouldBeNil)
		So(begin(), ShouldBeNil)
		for _, conn := range conns {
			_, _ = io.Copy(io.Discard, conn)
		}
		So(largeMessages.Load(), ShouldEqual, 0)
	})
}
