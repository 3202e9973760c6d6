package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/upstream/upstreamtest"
)

const longUploadBytes = 32 << 20 // More than sockets on loopback buffer.

// upload sends a request with a long body and reads its answer.
func upload(pool *Pool, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, Target{Address: address})
	if err != nil {
		return "", err
	}
	request := request("1")
	request.Method, request.Body = http.MethodPost, bytes.Repeat([]byte("u"), longUploadBytes)
	exchange, err := pool.Do(ctx, conn, request)
	if err != nil {
		return "", err
	}
	defer exchange.Abort()
	body, err := io.ReadAll(exchange.Response.Body)
	return string(body), err
}

// Guards against taking the part of an answer without a length for the whole when its
// connection was reset while the request's body was still being written: the write had
// taken the error, and the read met an ordinary end.
func TestAnswerWithoutALengthDuringALongUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	orders := map[string]upstreamtest.Order{
		"by the write first": upstreamtest.WriteFirst, "by the write first, which has not returned yet": upstreamtest.WriteFirstUntold,
		"by the read first": upstreamtest.ReadFirst,
	}
	for name, order := range orders {
		for _, part := range []string{"part of the answer", ""} {
			Convey("A reset that is noticed "+name+" cuts an answer that has begun with "+part, t, func() {
				s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
					r.Send("%s%s", head, part)
					r.Reset()
					return false
				})
				defer s.Stop()
				_, err := upload(NewPool(upstreamtest.InOrder(order, Dial)), s.Address())
				So(err, ShouldNotBeNil)
				So(EndOf(err), ShouldEqual, ResetByServer)
			})
		}
	}
	for name, order := range orders {
		for _, whole := range []string{
			"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 413 x\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		} {
			Convey("A reset that is noticed "+name+" takes nothing from an answer that tells its end and has arrived, "+whole[9:12]+whole[21:], t, func() {
				s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
					r.Send("%s", whole)
					r.Reset()
					return false
				})
				defer s.Stop()
				body, err := upload(NewPool(upstreamtest.InOrder(order, Dial)), s.Address())
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "whole")
			})
		}
	}
	sound := map[string]func(upstreamtest.Request) bool{
		"reads on": func(r upstreamtest.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		},
		"stops reading": func(r upstreamtest.Request) bool {
			time.Sleep(200 * time.Millisecond)
			return false
		},
	}
	for name, afterwards := range sound {
		Convey("An answer that ends in order during an upload is whole if the server "+name, t, func() {
			s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
				r.Send("%swhole", head)
				_ = r.Conn.CloseWrite()
				return afterwards(r)
			})
			defer s.Stop()
			body, err := upload(NewPool(Dial), s.Address())
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "whole")
		})
	}
	Convey("An answer that ends in order after the upload is whole", t, func() {
		s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Send("%swhole", head)
			return false
		})
		defer s.Stop()
		body, err := upload(NewPool(Dial), s.Address())
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "whole")
	})
	Convey("An answer without a body and without a length is whole while its connection is open", t, func() {
		s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
			r.Send("HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n")
			return true
		})
		defer s.Stop()
		body, err := roundTrip(NewPool(Dial), s.Address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldBeEmpty)
	})
}
