package httpapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
