package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/server/upstream"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

const longUploadBytes = 32 << 20 // More than sockets on loopback buffer.

// newRawBackend returns a backend on a raw socket.
func newRawBackend(id string, serve func(upstreamtest.Request) bool) *backend {
	return &backend{id: id, slots: 4, listener: upstreamtest.NewRawServer(serve), server: &http.Server{}}
}

// rawScript is the script of two raw servers: the first request that any of them gets is
// served by first, all others by the rest.
func rawScript(first, rest func(upstreamtest.Request) bool) func(upstreamtest.Request) bool {
	asked := make(chan struct{}, 1)
	return func(r upstreamtest.Request) bool {
		select {
		case asked <- struct{}{}:
			return first(r)
		default:
			return rest(r)
		}
	}
}

// stampedHead returns the status line and the server's headers of an answer to the
// request, without the blank line.
func stampedHead(r upstreamtest.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\n" + header.AttemptID + ": " + r.Header.Get(header.AttemptID) + "\r\n" + header.Stamp + ": signed\r\n"
}

// dialFirstInOrder returns a dial function whose first connection has the order.
func dialFirstInOrder(order upstreamtest.Order) upstreamtest.DialFunc {
	var dialed atomic.Bool
	inOrder := upstreamtest.InOrder(order, upstream.Dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialed.CompareAndSwap(false, true) {
			return inOrder(ctx, network, address)
		}
		return upstream.Dial(ctx, network, address)
	}
}

// Guards against handing on the part of an answer without a length as a whole answer when
// the server resets the connection during a long upload.
func TestResetAnswersDuringLongUploads(t *testing.T) {
	const events, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	cases := []struct {
		path, part, then, want string // An empty want stands for a failure.
	}{
		{"/safe/x", "answ", "answer", "answer"},
		{"/once/x", "answ", "answer", ""},
		{"/stream/x", events, rest, events + rest},
	}
	for _, c := range cases {
		for name, order := range map[string]upstreamtest.Order{"write": upstreamtest.WriteFirst, "read": upstreamtest.ReadFirst} {
			Convey("After a reset noticed by the "+name+" first, "+c.path, t, func() {
				script := rawScript(func(r upstreamtest.Request) bool {
					r.Send("%s\r\n%s", stampedHead(r, "200 OK"), c.part)
					r.Reset()
					return false
				}, func(r upstreamtest.Request) bool {
					r.Send("%s\r\n%s", stampedHead(r, "200 OK"), c.then)
					_ = r.Conn.CloseWrite()
					return true
				})
				first, second := newRawBackend("b1", script), newRawBackend("b2", script)
				config := configuration()
				config.Limits.BodyBytes = longUploadBytes
				s := newSystemWithPool(upstream.NewPool(dialFirstInOrder(order)), config, first, second)
				defer s.close(first, second)
				response, body, err := s.send("POST", c.path, strings.Repeat("u", longUploadBytes), nil)
				if c.want == "" {
					So(err, ShouldBeNil)
					So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
					return
				}
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusOK)
				So(body, ShouldEqual, c.want)
			})
		}
	}
}

// Guards against relaying an answer whose status is none of HTTP's.
func TestAnswersWithAnInvalidStatus(t *testing.T) {
	const body = "Content-Length: 6\r\n\r\nbroken"
	for _, status := range []string{"000 Broken", "099 Broken", "600 Broken", "999 Broken"} {
		checkNeverRelayed(t, "status "+status, func(r upstreamtest.Request) bool {
			r.Send("%s%s", stampedHead(r, status), body)
			return false
		})
	}
	for _, status := range []string{"000 Broken", "101 Switching Protocols"} {
		checkNeverRelayed(t, "a second head behind status "+status, func(r upstreamtest.Request) bool {
			r.Send("%s\r\n%s%s", stampedHead(r, status), stampedHead(r, "200 OK"), body)
			return false
		})
	}
}

// checkNeverRelayed checks that the invalid answer of a server reaches no caller: a request
// that may be repeated gets another server's answer, any other a failure.
func checkNeverRelayed(t *testing.T, name string, invalid func(upstreamtest.Request) bool) {
	for path, want := range map[string]int{"/safe/x": http.StatusOK, "/stream/x": http.StatusOK, "/once/x": http.StatusBadGateway} {
		Convey("An answer with "+name+" is not relayed, "+path, t, func() {
			script := rawScript(invalid, func(r upstreamtest.Request) bool {
				r.Send("%sContent-Length: 16\r\n\r\nid: 1\ndata: ok\n\n", stampedHead(r, "200 OK"))
				return true
			})
			first, second := newRawBackend("b1", script), newRawBackend("b2", script)
			s := newSystem(first, second)
			defer s.close(first, second)
			response, body, err := s.send("POST", path, "", nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, want)
			So(body, ShouldNotEqual, "broken")
			if want == http.StatusOK {
				So(body, ShouldEqual, "id: 1\ndata: ok\n\n")
			}
		})
	}
}

// Guards against relaying an answer with a field whose name is no token, or with a body that
// is another one because that field gave its length.
func TestAnswersWithInvalidFieldNames(t *testing.T) {
	lines := []string{"Content-Length : 6", "Transfer-Encoding : chunked", "X Other: a", "X-Other\x01: a", "X\x00Other: a", "X-Other\t: a"}
	for _, line := range lines {
		checkNeverRelayed(t, fmt.Sprintf("the line %q", line), func(r upstreamtest.Request) bool {
			r.Send("%s%s\r\n\r\nbroken", stampedHead(r, "200 OK"), line)
			return false
		})
		checkNeverRelayed(t, fmt.Sprintf("the line %q and a length", line), func(r upstreamtest.Request) bool {
			r.Send("%sContent-Length: 6\r\n%s\r\n\r\nbroken", stampedHead(r, "200 OK"), line)
			return false
		})
	}
}
