package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/upstream/upstreamtest"
)

// fakeServer is a backend server that serves each connection with a function.
type fakeServer struct {
	listener net.Listener
	accepted atomic.Int32
}

func newFakeServer(serve func(n int, conn net.Conn, reader *bufio.Reader)) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &fakeServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := int(s.accepted.Add(1))
			go serve(n, conn, bufio.NewReader(conn))
		}
	}()
	return s
}

func (s *fakeServer) address() string { return s.listener.Addr().String() }

func request(id string) Request {
	return Request{
		Method: http.MethodGet, Target: "/a//b%2f?x=%20", Host: "h.example", Header: http.Header{"X-Id": {id}},
		Matches: func(header http.Header) bool { return header.Get("X-Id") == id },
	}
}

// readHead reads a request without a body and returns its lines.
func readHead(reader *bufio.Reader) ([]string, error) {
	var lines []string
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// roundTrip sends one request and returns the body of its response.
func roundTrip(pool *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, Target{Address: address})
	if err != nil {
		return "", err
	}
	exchange, err := pool.Do(ctx, conn, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(exchange.Response.Body)
	if err != nil {
		exchange.Abort()
		return "", err
	}
	exchange.Finish()
	return string(body), nil
}

func TestExchange(t *testing.T) {
	Convey("The target is sent byte for byte, and nothing is added", t, func() {
		heads := make(chan []string, 1)
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			head, err := readHead(reader)
			if err == nil {
				heads <- head
				_, _ = io.WriteString(conn, response("1", "ok"))
			}
		})
		defer s.listener.Close()
		body, err := roundTrip(NewPool(Dial), s.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
		So(<-heads, ShouldResemble, []string{"GET /a//b%2f?x=%20 HTTP/1.1", "Host: h.example", "X-Id: 1"})
	})

	Convey("A connection is reused for the next request", t, func() {
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			for {
				if _, err := readHead(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response("1", "ok"))
			}
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		for range 5 {
			_, err := roundTrip(pool, s.address(), "1")
			So(err, ShouldBeNil)
		}
		So(s.accepted.Load(), ShouldEqual, 1)
	})

	Convey("No more idle connections are kept than MaxIdle", t, func() {
		s := newFakeServer(func(int, net.Conn, *bufio.Reader) {})
		defer s.listener.Close()
		pool := NewPool(Dial)
		var conns []*Conn
		for range 5 {
			conn, err := pool.Get(context.Background(), Target{Address: s.address(), MaxIdle: 2})
			So(err, ShouldBeNil)
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			pool.Put(conn)
		}
		So(pool.idle[s.address()], ShouldHaveLength, 2)
	})

	Convey("A late second response is not taken for the response to the next request", t, func() {
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			for n := 1; ; n++ {
				if _, err := readHead(reader); err != nil {
					return
				}
				if n == 2 {
					_, _ = io.WriteString(conn, response("1", "late"))
				}
				_, _ = io.WriteString(conn, response(fmt.Sprint(n), "right"))
			}
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		for n := 1; n <= 2; n++ {
			body, err := roundTrip(pool, s.address(), fmt.Sprint(n))
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "right")
		}
	})

	Convey("A connection with stray bytes, or a closed one, is not used again", t, func() {
		for _, stray := range []string{"HTTP/1.1 200 OK\r\n", ""} {
			s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
				if _, err := readHead(reader); err == nil {
					_, _ = io.WriteString(conn, response("1", "ok"))
					time.Sleep(20 * time.Millisecond)
					if stray == "" {
						_ = conn.Close()
					}
					_, _ = io.WriteString(conn, stray)
				}
			})
			pool := NewPool(Dial)
			for range 2 {
				body, err := roundTrip(pool, s.address(), "1")
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "ok")
				time.Sleep(60 * time.Millisecond)
			}
			So(s.accepted.Load(), ShouldEqual, 2)
			_ = s.listener.Close()
		}
	})

	Convey("A request on a reused connection that breaks is not resent", t, func() {
		var requests atomic.Int32
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			for {
				if _, err := readHead(reader); err != nil {
					return
				}
				if requests.Add(1) == 2 {
					_ = conn.Close()
					return
				}
				_, _ = io.WriteString(conn, response("1", "ok"))
			}
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		_, err := roundTrip(pool, s.address(), "1")
		So(err, ShouldBeNil)
		_, err = roundTrip(pool, s.address(), "1")
		So(errors.Is(err, ErrInterrupted), ShouldBeTrue)
		time.Sleep(20 * time.Millisecond)
		So(requests.Load(), ShouldEqual, 2)
	})

	Convey("A truncated body is an error; a body without a length ends with its connection", t, func() {
		s := newFakeServer(func(n int, conn net.Conn, reader *bufio.Reader) {
			if _, err := readHead(reader); err != nil {
				return
			}
			if n == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nhalf")
			} else {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
			}
			_ = conn.Close()
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		_, err := roundTrip(pool, s.address(), "1")
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		body, err := roundTrip(pool, s.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "whole")
	})

	Convey("The end of the context resets the connection", t, func() {
		broken := make(chan error, 1)
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			_, _ = readHead(reader)
			_, err := reader.ReadByte()
			broken <- err
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		conn, err := pool.Get(ctx, Target{Address: s.address()})
		So(err, ShouldBeNil)
		_, err = pool.Do(ctx, conn, request("1"))
		So(errors.Is(err, ErrInterrupted), ShouldBeTrue)
		So((<-broken).Error(), ShouldContainSubstring, "reset")
	})

	Convey("A refused connection is reported as ErrUnreachable", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		_ = listener.Close()
		_, err = roundTrip(NewPool(Dial), address, "1")
		So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
	})

	Convey("The idle limit follows the server's keep-alive timeout", t, func() {
		limit, ok := parseKeepAlive("timeout=10, max=100")
		So(ok, ShouldBeTrue)
		So(limit, ShouldEqual, 7*time.Second)
		_, ok = parseKeepAlive("max=100")
		So(ok, ShouldBeFalse)
	})
}

// Guards against a server in trouble that sends a head without end: it was read into
// memory until the caller's deadline.
func TestHeadWithoutEnd(t *testing.T) {
	heads := map[string]string{
		"a status line":      "HTTP/1.1 200 O",
		"headers":            "HTTP/1.1 200 OK\r\n",
		"one header":         "HTTP/1.1 200 OK\r\nX-Id: ",
		"interim responses":  "",
		"bytes of no answer": "\x00",
	}
	more := map[string]string{
		"a status line": strings.Repeat("O", 4096), "headers": strings.Repeat("X-Other: "+strings.Repeat("y", 50)+"\r\n", 64),
		"one header": strings.Repeat("z", 4096), "interim responses": "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n", "bytes of no answer": strings.Repeat("\x00", 4096),
	}
	for name, head := range heads {
		Convey("A head that goes on without end, "+name+", is given up after a bounded number of bytes", t, func() {
			const allowed = 1 << 20
			var written atomic.Int64
			ended := make(chan struct{})
			s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
				defer close(ended)
				_, _ = readHead(reader)
				_, err := io.WriteString(conn, head)
				for err == nil && written.Load() < 64*allowed {
					var n int
					n, err = io.WriteString(conn, more[name])
					written.Add(int64(n))
				}
			})
			defer s.listener.Close()
			_, err := roundTrip(NewPool(Dial), s.address(), "1")
			So(err, ShouldNotBeNil)
			<-ended
			// Includes the bytes in socket buffers.
			So(written.Load(), ShouldBeLessThan, 16*allowed)
		})
	}
	Convey("A head of the usual size is read, on a reused connection too", t, func() {
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			for {
				if _, err := readHead(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: "+strings.Repeat("y", 16<<10)+"\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("b", 300000))
			}
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		for range 8 {
			body, err := roundTrip(pool, s.address(), "1")
			So(err, ShouldBeNil)
			So(body, ShouldHaveLength, 300000)
		}
		So(s.accepted.Load(), ShouldEqual, 1)
	})
}

// Guards against reading the rest of another request's long response as the next head.
func TestLongResponseToAnotherRequest(t *testing.T) {
	Convey("A response to another request that is longer than what is skipped ends the exchange", t, func() {
		forged := response("1", "forged")
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			_, _ = readHead(reader)
			_, _ = io.WriteString(conn, response("other", strings.Repeat("x", maxMismatchedBodyBytes)+forged))
			_, _ = io.WriteString(conn, response("1", "true"))
		})
		defer s.listener.Close()
		body, err := roundTrip(NewPool(Dial), s.address(), "1")
		So(body, ShouldNotEqual, "forged")
		So(errors.Is(err, ErrMismatchedResponse), ShouldBeTrue)
	})
}

// Guards against chunks and trailers without end.
func TestChunksWithoutEnd(t *testing.T) {
	const (
		sent    = 64 << 20
		allowed = 128 << 10 // The size of a line or of the trailers, and what readers buffer.
	)
	cases := map[string]struct{ head, more string }{
		"a chunk's size":             {"\r\n", "0"},
		"a chunk's extension":        {"\r\n2;x=", "y"},
		"extensions of small chunks": {"\r\n", "1;" + strings.Repeat("x", 3000) + "\r\no\r\n"},
		"a trailer":                  {"\r\n2\r\nok\r\n0\r\nX-Other: ", "y"},
		"trailers":                   {"\r\n2\r\nok\r\n0\r\n", "X-Other: y\r\n"},
	}
	for _, id := range []string{"1", "other"} {
		for name, c := range cases {
			Convey("An answer to request "+id+" with "+name+" without end is given up after a bounded number of bytes", t, func() {
				s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
					r.Send("HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n%s", id, c.head)
					r.SendWithoutEnd([]byte(strings.Repeat(c.more, max(1, 4096/len(c.more)))), sent)
					return false
				})
				defer s.Stop()
				dial, read := upstreamtest.CountReads(Dial)
				_, err := roundTrip(NewPool(dial), s.Address(), "1")
				So(err, ShouldNotBeNil)
				So(read.Load(), ShouldBeLessThan, allowed)
			})
		}
	}
}

// countingReader hands out a text again and again and counts its bytes.
type countingReader struct {
	text string
	read int
}

func (r *countingReader) Read(buffer []byte) (int, error) {
	n := copy(buffer, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// Guards against heads of many small fields, each of which takes a hundred times its bytes
// when it is parsed: those of 144 answers took 178 MB.
func TestHeadOfManyFields(t *testing.T) {
	Convey("A head of more fields than allowed is given up after the buffer that exceeds them", t, func() {
		const field = "a:\n"
		endless := &countingReader{text: field}
		source := &headReader{conn: endless}
		conn := &Conn{source: source, reader: bufio.NewReaderSize(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), source), readBufferBytes)}
		_, err := conn.readHead(&http.Request{Method: http.MethodGet})
		So(errors.Is(err, ErrHeadTooLarge), ShouldBeTrue)
		So(endless.read, ShouldBeLessThanOrEqualTo, maxHeadFields*len(field)+readBufferBytes)
	})
	Convey("A head of many fields and a body of many lines are read", t, func() {
		s := newFakeServer(func(_ int, conn net.Conn, reader *bufio.Reader) {
			for {
				if _, err := readHead(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+strings.Repeat("X-Other: a\r\n", maxHeadFields-10)+"Content-Length: 30000\r\n\r\n"+strings.Repeat("\n", 30000))
			}
		})
		defer s.listener.Close()
		pool := NewPool(Dial)
		for range 3 {
			body, err := roundTrip(pool, s.address(), "1")
			So(err, ShouldBeNil)
			So(body, ShouldHaveLength, 30000)
		}
	})
}
