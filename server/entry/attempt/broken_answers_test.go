package attempt

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/upstream/upstreamtest"
	"persimmonwind.dev/server/wire"
)

const longUploadBytes = 32 << 20 // More than sockets on loopback buffer.

// callAgent sends a call to an agent that serve stands for.
func callAgent(body []byte, order *upstreamtest.Order, serve func(r upstreamtest.Request) bool) (Answer, *result.Error) {
	s := upstreamtest.NewRawServer(serve)
	defer s.Stop()
	transport := httpapi.NewTransport()
	defer transport.CloseIdleConnections()
	if order != nil {
		transport.DialContext = upstreamtest.InOrder(*order, transport.DialContext)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := newAgentClient("http", transport)
	return client.call(ctx, route.Target{Traffic: s.Address()}, wire.Work{RequestID: "r", Attempt: 1}, body)
}

// Guards against taking a broken answer of an agent for an answer.
func TestBrokenAnswersOfAgents(t *testing.T) {
	id := fmt.Sprintf("%s: %s\r\n", wire.HeaderRequestID, wire.Work{RequestID: "r", Attempt: 1}.AnswerID())
	for name, answer := range map[string]string{
		"status 000":                   "HTTP/1.1 000 x\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status 999":                   "HTTP/1.1 999 x\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"a blank in a name":            "HTTP/1.1 200 x\r\n" + id + "Content-Length : 2\r\n\r\nok",
		"a control byte in a name":     "HTTP/1.1 200 x\r\n" + id + "X\x02: a\r\nContent-Length: 2\r\n\r\nok",
		"a blank in a trailer's name":  "HTTP/1.1 200 x\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: a\r\n\r\n",
		"chunks without an end":        "HTTP/1.1 200 x\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"less than its length":         "HTTP/1.1 200 x\r\n" + id + "Content-Length: 3\r\n\r\nok",
		"a refusal that is broken off": "HTTP/1.1 200 x\r\n" + id + wire.HeaderRefusal + ": 1\r\n\r\n{\"code\":2005",
	} {
		Convey("An agent's answer with "+name+" is none, and promises nothing", t, func() {
			_, failure := callAgent(nil, nil, func(r upstreamtest.Request) bool {
				r.Send("%s", answer)
				return false
			})
			So(failure, ShouldNotBeNil)
			So(failure.NotRun(), ShouldBeFalse)
		})
	}
	for name, order := range map[string]upstreamtest.Order{"the write": upstreamtest.WriteFirstUntold, "the read": upstreamtest.ReadFirst} {
		Convey("A reset during a long upload that is noticed by "+name+" first cuts an agent's answer", t, func() {
			_, failure := callAgent(bytes.Repeat([]byte("u"), longUploadBytes), &order, func(r upstreamtest.Request) bool {
				r.Send("HTTP/1.1 200 x\r\n%s\r\npart", id)
				r.Reset()
				return false
			})
			So(failure, ShouldNotBeNil)
			So(failure.NotRun(), ShouldBeFalse)
		})
	}
	Convey("A sound answer of an agent is handed on, with a length, chunks or neither", t, func() {
		for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Y: a\r\n\r\n", "\r\nok"} {
			answer, failure := callAgent([]byte("body"), nil, func(r upstreamtest.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				r.Send("HTTP/1.1 200 x\r\n%s%s", id, rest)
				return false
			})
			So(failure, ShouldBeNil)
			So(string(answer.Body), ShouldEqual, "ok")
		}
	})
}
