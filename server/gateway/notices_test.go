package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
)

// countRequests sends requests and returns how many reached the server.
func (s *system) countRequests(b *backend, path string, count int) int {
	before := b.requestCount()
	for range count {
		_, _, err := s.send("GET", path, "", nil)
		So(err, ShouldBeNil)
	}
	return b.requestCount() - before
}

func TestAnswersThatSayTheServerLeaves(t *testing.T) {
	sayLeaving := func(w http.ResponseWriter) { w.Header().Set(header.Leaving, "1") }
	cases := map[string]func(w http.ResponseWriter, r *http.Request){
		"a success": func(w http.ResponseWriter, _ *http.Request) { sayLeaving(w); writeStampedAnswer(w, 200, "answer") },
		"a failure": func(w http.ResponseWriter, _ *http.Request) { sayLeaving(w); writeStampedAnswer(w, 500, "error") },
		"a refusal": func(w http.ResponseWriter, _ *http.Request) { sayLeaving(w); writeRefusal(w) },
		"an interim response": func(w http.ResponseWriter, _ *http.Request) {
			sayLeaving(w)
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del(header.Leaving)
			writeStampedAnswer(w, 200, "answer")
		},
		"a response to another request": func(w http.ResponseWriter, r *http.Request) {
			connection, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer func() { _ = connection.Close() }()
			_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: 1\r\n%s: other\r\nContent-Length: 0\r\n\r\n", header.Leaving, header.AttemptID)
			_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: 2\r\n\r\nok", header.AttemptID, r.Header.Get(header.AttemptID), header.Stamp)
			_ = buffer.Flush()
		},
		"the head of a stream": func(w http.ResponseWriter, _ *http.Request) { sayLeaving(w); writeEvents(w, 1, 2, true) },
	}
	for name, answer := range cases {
		Convey("After "+name+" that says so, the server gets no further request", t, func() {
			leaving := newBackend("b1", func(_ int, w http.ResponseWriter, r *http.Request) { answer(w, r) })
			other := newBackend("b2", func(_ int, w http.ResponseWriter, _ *http.Request) { writeStampedAnswer(w, 200, "answer") })
			s := newSystem(leaving, other)
			defer s.close(leaving, other)
			for leaving.requestCount() == 0 {
				_, _, err := s.send("GET", "/safe/x", "", nil)
				So(err, ShouldBeNil)
			}
			So(s.countRequests(leaving, "/safe/x", 20), ShouldEqual, 0)
		})
	}
	Convey("A misdirected response says nothing of the server that was meant", t, func() {
		b := newBackend("b1", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				sayLeaving(w)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			writeStampedAnswer(w, 200, "answer")
		})
		s := newSystem(b)
		defer s.close(b)
		_, _, err := s.send("GET", "/safe/x", "", nil)
		So(err, ShouldBeNil)
		candidate := s.gateway.snapshot.Load().Candidates("s")[0]
		So(s.gateway.dispatchers.serverLeaving("s", candidate), ShouldBeTrue)
	})
}

func TestServerThatAsksForAPause(t *testing.T) {
	Convey("A server that refuses with a Retry-After gets nothing until then", t, func() {
		const pause = 400 * time.Millisecond
		refusing := newBackend("b1", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set(header.RetryAfter, "0.4")
				writeRefusal(w)
				return
			}
			writeStampedAnswer(w, 200, "answer")
		})
		other := newBackend("b2", func(_ int, w http.ResponseWriter, _ *http.Request) { writeStampedAnswer(w, 200, "answer") })
		s := newSystem(refusing, other)
		defer s.close(refusing, other)
		for refusing.requestCount() == 0 {
			_, _, err := s.send("GET", "/safe/x", "", nil)
			So(err, ShouldBeNil)
		}
		refusedAt := time.Now()
		for time.Since(refusedAt) < pause/2 {
			So(s.countRequests(refusing, "/safe/x", 1), ShouldEqual, 0)
		}
		time.Sleep(pause)
		So(s.countRequests(refusing, "/safe/x", 40), ShouldBeGreaterThan, 0)
	})
	Convey("A Retry-After that can't be read, or asks for no time, is no pause", t, func() {
		for _, value := range []string{"soon", "-3", "0", "NaN"} {
			b := newBackend("b1", func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					w.Header().Set(header.RetryAfter, value)
					writeRefusal(w)
					return
				}
				writeStampedAnswer(w, 200, "answer")
			})
			s := newSystem(b)
			response, _, err := s.send("GET", "/safe/x", "", nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			s.close(b)
		}
	})
}
