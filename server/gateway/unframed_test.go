package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
)

// writeUnframed answers with a body that has neither a length nor chunks and ends with its
// connection, which is reset if whole is false.
func writeUnframed(w http.ResponseWriter, r *http.Request, contentType, body string, whole bool) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Type: %s\r\n\r\n%s", header.AttemptID, r.Header.Get(header.AttemptID), header.Stamp, contentType, body)
	if !whole {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against taking an answer without a length for complete when its connection is
// reset or ends in an event, and for broken off when it is complete.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const rest = "id: 3\ndata: c\n\n"
	cases := []struct {
		name, path, contentType, body string
		whole                         bool
		then                          string // What the next server answers, whole.
		want                          string // Empty for a failure.
	}{
		{"an answer", "/safe/x", "text/plain", "answer", true, "other", "answer"},
		{"an answer, reset", "/safe/x", "text/plain", "answ", false, "answer", "answer"},
		{"an answer to a request that must not run twice, reset", "/once/x", "text/plain", "answ", false, "answer", ""},
		{"a stream", "/stream/x", "text/event-stream", events, true, "other", events},
		{"a stream that ends in an event", "/stream/x", "text/event-stream", events + "id: 3\nda", true, rest, events + rest},
		{"a stream that ends before the blank line", "/stream/x", "text/event-stream", events + "id: 3\ndata: c\n", true, rest, events + rest},
		{"a stream, reset", "/stream/x", "text/event-stream", events, false, rest, events + rest},
	}
	for _, c := range cases {
		Convey("With neither length nor chunks, "+c.name, t, func() {
			script := firstThenRest(
				func(w http.ResponseWriter, r *http.Request) { writeUnframed(w, r, c.contentType, c.body, c.whole) },
				func(w http.ResponseWriter, r *http.Request) { writeUnframed(w, r, c.contentType, c.then, true) },
			)
			first, second := newBackend("b1", script), newBackend("b2", script)
			s := newSystem(first, second)
			defer s.close(first, second)
			response, body, err := s.send("POST", c.path, "", nil)
			if c.want == "" {
				So(err != nil || response.StatusCode >= 500, ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, c.want)
		})
	}
	Convey("A caller that has a part of such a stream sees that it is broken off if nothing continues it", t, func() {
		b := newBackend("b1", func(_ int, w http.ResponseWriter, r *http.Request) {
			writeUnframed(w, r, "text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", true)
		})
		s := newSystem(b)
		defer s.close(b)
		_, _, err := s.send("POST", "/stream/x", "", nil)
		So(err, ShouldNotBeNil)
		So(err, ShouldNotEqual, io.EOF)
	})
}

// Guards against taking a line that fills the reader's buffer for a line and a blank one: the
// event counted as complete in its middle, and what another server went on with was joined
// to it.
func TestEventsWithLongLines(t *testing.T) {
	for _, length := range []int{4090, 4095, 4096, 4097, 8191, 8192, 8193, 12288, 100_000} {
		for _, end := range []string{"\n", "\r\n"} {
			Convey(fmt.Sprintf("A line of %d bytes that ends with %q is relayed as a part of its event", length, end), t, func() {
				long := "data: " + strings.Repeat("x", length-len("data: ")) + end
				first, second := "id: 1"+end+"data: a"+end+end, "id: 2"+end+long+"data: b"+end+end
				cut := "id: 2" + end + long
				script := firstThenRest(
					func(w http.ResponseWriter, r *http.Request) {
						writeUnframed(w, r, "text/event-stream", first+cut, false)
					},
					func(w http.ResponseWriter, r *http.Request) {
						writeUnframed(w, r, "text/event-stream", second, true)
					},
				)
				b1, b2 := newBackend("b1", script), newBackend("b2", script)
				s := newSystem(b1, b2)
				defer s.close(b1, b2)
				response, body, err := s.send("POST", "/stream/x", "", nil)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, 200)
				So(body == first+second, ShouldBeTrue)
			})
		}
	}
}
