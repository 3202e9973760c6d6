package httpapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

const longUploadBytes = 32 << 20 // More than sockets on loopback buffer.

// callServer calls a plain service that serve stands for.
func callServer(body []byte, dial func(upstreamtest.DialFunc) upstreamtest.DialFunc, serve func(upstreamtest.Request) bool) (ports.ServiceAnswer, error) {
	s := upstreamtest.NewRawServer(serve)
	defer s.Stop()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	if dial != nil {
		transport.DialContext = dial(transport.DialContext)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return NewService("http://"+s.Address(), transport).Call(ctx, ports.ServiceCall{ID: "1", Service: "s", Operation: "o", Body: body})
}

// Guards against taking the part of an answer without a length for the whole when its
// connection is reset during a long upload.
func TestServiceAnswerDuringALongUpload(t *testing.T) {
	upload := bytes.Repeat([]byte("u"), longUploadBytes)
	orders := map[string]upstreamtest.Order{
		"the write first": upstreamtest.WriteFirst, "the write first, which has not returned yet": upstreamtest.WriteFirstUntold,
		"the read first": upstreamtest.ReadFirst,
	}
	for name, order := range orders {
		Convey("A reset that is noticed by "+name+" cuts the answer", t, func() {
			inOrder := func(dial upstreamtest.DialFunc) upstreamtest.DialFunc { return upstreamtest.InOrder(order, dial) }
			_, err := callServer(upload, inOrder, func(r upstreamtest.Request) bool {
				r.Send("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\npart")
				r.Reset()
				return false
			})
			So(errors.Is(err, ports.ErrUnknownOutcome), ShouldBeTrue)
		})
	}
	Convey("An answer that ends in order after the upload is whole", t, func() {
		answer, err := callServer(upload, nil, func(r upstreamtest.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Send("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole")
			return false
		})
		So(err, ShouldBeNil)
		So(string(answer.Body), ShouldEqual, "whole")
	})
}

// Guards against handing on answers of a service that are not valid HTTP.
func TestInvalidServiceAnswers(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 999 x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 101 x\r\n\r\nok",
		"HTTP/1.1 200 x\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 x\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 x\r\nX-Other\x01: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Other: a\r\n\r\n",
		"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 200 x\r\nContent-Length: 3\r\n\r\nok",
		"ok\r\n\r\n",
	} {
		Convey(fmt.Sprintf("%q is no answer", answer), t, func() {
			_, err := callServer(nil, nil, func(r upstreamtest.Request) bool {
				r.Send("%s", answer)
				return false
			})
			So(errors.Is(err, ports.ErrUnknownOutcome), ShouldBeTrue)
		})
	}
	Convey("A sound answer is handed on, with chunks and a trailer too", t, func() {
		for _, answer := range []string{
			"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Other: a\r\n\r\n",
			"HTTP/1.1 103 x\r\nX-Other: a\r\n\r\nHTTP/1.1 200 x\r\n\r\nok",
		} {
			got, err := callServer(nil, nil, func(r upstreamtest.Request) bool {
				r.Send("%s", answer)
				return false
			})
			So(err, ShouldBeNil)
			So(string(got.Body), ShouldEqual, "ok")
		}
	})
}

// Guards against handing on the first 64 MB of an answer of a service as the whole, and
// against reading a head without end into memory.
func TestServiceAnswersWithoutEnd(t *testing.T) {
	const headBound, bodyBound = 128 << 10, maxAnswerBytes + 1<<20 // The limits, the chunks' sizes and what a reader buffers.
	cases := map[string]struct {
		head, more string
		bound      int64
	}{
		"a body":             {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<20), bodyBound},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", bodyBound},
		"a head":             {"HTTP/1.1 200 OK\r\n", "X-Other: a\r\n", headBound},
		"a status line":      {"HTTP/1.1 200 O", "OOOO", headBound},
		"bytes of no answer": {"", "\x00\x00\x00\x00", headBound},
	}
	for name, c := range cases {
		Convey("A service that sends "+name+" without end gives no answer, after a bounded number of bytes", t, func() {
			var read *atomic.Int64
			counted := func(dial upstreamtest.DialFunc) upstreamtest.DialFunc {
				dial, read = upstreamtest.CountReads(dial)
				return dial
			}
			_, err := callServer(nil, counted, func(r upstreamtest.Request) bool {
				r.Send("%s", c.head)
				r.SendWithoutEnd([]byte(strings.Repeat(c.more, max(1, 4096/len(c.more)))), 4*maxAnswerBytes)
				return false
			})
			So(errors.Is(err, ports.ErrUnknownOutcome), ShouldBeTrue)
			So(read.Load(), ShouldBeLessThan, c.bound)
		})
	}
	Convey("An answer that is as long as allowed is handed on", t, func() {
		answer, err := callServer(nil, nil, func(r upstreamtest.Request) bool {
			r.Send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxAnswerBytes)
			r.SendWithoutEnd([]byte(strings.Repeat("x", 1<<20)), maxAnswerBytes)
			return false
		})
		So(err, ShouldBeNil)
		So(answer.Body, ShouldHaveLength, maxAnswerBytes)
	})
}
