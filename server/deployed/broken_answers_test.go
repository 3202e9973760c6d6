package deployed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/upstream"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

// platformCall is a call to the store or to an engine.
type platformCall struct {
	name   string
	answer string // A sound answer's body.
	call   func(ctx context.Context, address string, dial upstream.DialFunc) error
}

var platformCalls = []platformCall{
	{"a list of the store", platformtest.RowsAnswer, func(ctx context.Context, address string, dial upstream.DialFunc) error {
		_, err := platform.NewStore(address, upstream.StoreTransport(dial)).List(ctx, "t")
		return err
	}},
	{"a poll of the store", platformtest.RowsAnswer, func(ctx context.Context, address string, dial upstream.DialFunc) error {
		_, err := platform.NewStore(address, upstream.StoreTransport(dial)).Feed(ctx, "t", 1, time.Second)
		return err
	}},
	{"a transaction of the store", platformtest.TransactionAnswer, func(ctx context.Context, address string, dial upstream.DialFunc) error {
		_, err := platform.NewStore(address, upstream.StoreTransport(dial)).Create(ctx, platform.Row{Table: "t", Key: "k"})
		return err
	}},
	{"an engine's report", platformtest.ReportAnswer, func(ctx context.Context, address string, dial upstream.DialFunc) error {
		_, err := platform.NewEngine(address, upstream.EngineTransport(dial)).Report(ctx)
		return err
	}},
	{"an engine's counts", platformtest.CountsAnswer, func(ctx context.Context, address string, dial upstream.DialFunc) error {
		_, err := platform.NewEngine(address, upstream.EngineTransport(dial)).Counts(ctx)
		return err
	}},
	{"an order to an engine", platformtest.OrderAnswer, func(ctx context.Context, address string, dial upstream.DialFunc) error {
		return platform.NewEngine(address, upstream.EngineTransport(dial)).Give(ctx, topology.Order{Kind: topology.Prepare, Version: 1})
	}},
}

// answerWith makes the call to a server that answers with the bytes and ends the
// connection. It returns the number of bytes that were read.
func answerWith(call platformCall, serve func(upstreamtest.Request)) (read int64, err error) {
	s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		serve(r)
		return false
	})
	defer s.Stop()
	dial, count := upstreamtest.CountReads(upstream.Dial)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err = call.call(ctx, s.Address(), dial)
	return count.Load(), err
}

// Guards against taking a broken answer of the store or of an engine for an answer.
func TestBrokenPlatformAnswers(t *testing.T) {
	for _, call := range platformCalls {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(call.answer))
		broken := map[string]string{
			"status 000":                   "HTTP/1.1 000 x\r\n" + length + "\r\n" + call.answer,
			"status 999":                   "HTTP/1.1 999 x\r\n" + length + "\r\n" + call.answer,
			"an upgrade":                   "HTTP/1.1 101 x\r\n\r\n" + call.answer,
			"chunks under an invalid name": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(call.answer), call.answer),
			"a control byte in a name":     "HTTP/1.1 200 OK\r\nX\x01: a\r\n" + length + "\r\n" + call.answer,
			"less than its length":         "HTTP/1.1 200 OK\r\n" + length + "\r\n" + call.answer[1:],
			"chunks without an end":        fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(call.answer), call.answer),
			"no end of the head":           "HTTP/1.1 200 OK\r\n" + length,
			"bytes that are no answer":     "\x00\x01\x02\r\n\r\n",
			"nothing":                      "",
		}
		for name, answer := range broken {
			Convey("After "+call.name+", "+name+" is an error", t, func() {
				_, err := answerWith(call, func(r upstreamtest.Request) { r.Send("%s", answer) })
				So(err, ShouldNotBeNil)
				So(errors.Is(err, platform.ErrRefused), ShouldBeFalse)
				So(errors.Is(err, platform.ErrOrderRejected), ShouldBeFalse)
			})
		}
		Convey("After "+call.name+", a redirect is an error, and not followed", t, func() {
			followed := false
			_, err := answerWith(call, func(r upstreamtest.Request) {
				if r.URL.Path == "/elsewhere" {
					followed = true
					r.Send("HTTP/1.1 200 OK\r\n%s\r\n%s", length, call.answer)
					return
				}
				r.Send("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n")
			})
			So(err, ShouldNotBeNil)
			So(followed, ShouldBeFalse)
		})
		for name, answer := range map[string]string{
			"a length": "HTTP/1.1 200 OK\r\n" + length + "\r\n" + call.answer,
			"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(call.answer), call.answer),
			"neither":  "HTTP/1.1 200 OK\r\n\r\n" + call.answer,
		} {
			Convey("After "+call.name+", a sound answer with "+name+" is read", t, func() {
				_, err := answerWith(call, func(r upstreamtest.Request) { r.Send("%s", answer) })
				So(err, ShouldBeNil)
			})
		}
	}
}

// Guards against reading an answer of the store or of an engine without end into memory.
func TestPlatformAnswersWithoutEnd(t *testing.T) {
	const (
		sent        = 64 << 20
		headBound   = 128 << 10 // 64 KB and what a reader buffers.
		storeBound  = 5 << 20   // 1 MB of rows in base64 with the names of their fields, and what a reader buffers.
		engineBound = 2 << 20
	)
	for _, call := range platformCalls {
		bodyBound := int64(engineBound)
		if strings.HasSuffix(call.name, "store") {
			bodyBound = storeBound
		}
		cases := []struct {
			name, head, more string
			bound            int64
		}{
			{"a status line", "HTTP/1.1 200 O", strings.Repeat("O", 4096), headBound},
			{"a head", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Other: "+strings.Repeat("y", 50)+"\r\n", 64), headBound},
			{"interim responses", "", strings.Repeat("HTTP/1.1 103 x\r\n\r\n", 64), headBound},
			{"a body", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("{", 64<<10), bodyBound},
			{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("[", 4096) + "\r\n", bodyBound},
			{"a failure", "HTTP/1.1 500 x\r\n\r\n", strings.Repeat("x", 64<<10), bodyBound},
		}
		for _, c := range cases {
			Convey("After "+call.name+", "+c.name+" without end is given up after a bounded number of bytes", t, func() {
				read, err := answerWith(call, func(r upstreamtest.Request) {
					r.Send("%s", c.head)
					r.SendWithoutEnd([]byte(c.more), sent)
				})
				So(err, ShouldNotBeNil)
				So(read, ShouldBeLessThan, c.bound)
			})
		}
		Convey("After "+call.name+", an answer that drips without end is given up in time", t, func() {
			started := time.Now()
			_, err := answerWith(call, func(r upstreamtest.Request) {
				r.Send("HTTP/1.1 200 OK\r\n\r\n")
				for time.Since(started) < 4*time.Second {
					r.Send("{")
					time.Sleep(time.Millisecond)
				}
			})
			So(err, ShouldNotBeNil)
			So(time.Since(started), ShouldBeLessThan, 3*time.Second)
		})
	}
}
