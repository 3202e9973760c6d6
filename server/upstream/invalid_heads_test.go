package upstream

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/intact"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

// exchangeWith sends a request to a server that answers with the bytes and then ends the
// connection.
func exchangeWith(answer string) (body string, err error) {
	s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
		r.Send("%s", answer)
		return false
	})
	defer s.Stop()
	return roundTrip(NewPool(Dial), s.Address(), "1")
}

// Guards against taking a head with an impossible status for an answer, or for an interim
// response after which the answer follows.
func TestInvalidStatus(t *testing.T) {
	const rest = "X-Id: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000 Broken", "000", "001 x", "099 x", "+20 x", "101 Switching Protocols", "600 x", "999 x"} {
		Convey("A response with status "+status+" ends the exchange", t, func() {
			_, err := exchangeWith("HTTP/1.1 " + status + "\r\n" + rest)
			So(errors.Is(err, intact.ErrInvalidResponse), ShouldBeTrue)
		})
		Convey("So does one with status "+status+" before a sound answer", t, func() {
			_, err := exchangeWith("HTTP/1.1 " + status + "\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n" + response("1", "ok"))
			So(errors.Is(err, intact.ErrInvalidResponse), ShouldBeTrue)
		})
	}
	for _, line := range []string{"HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1 2x0 x", "HTTP/1.1 -01 x", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/x.1 200 OK", "ICY 200 OK", ""} {
		Convey("A response that begins with "+line+" ends the exchange", t, func() {
			_, err := exchangeWith(line + "\r\n" + rest)
			So(err, ShouldNotBeNil)
		})
	}
	for _, status := range []string{"200 OK", "200", "200 ", "204 No Content", "299 x", "404 Not Found", "500 x", "599 x"} {
		Convey("A response with status "+status+" is an answer, also after an interim one", t, func() {
			answer := "HTTP/1.1 " + status + "\r\n" + rest
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"} {
				body, err := exchangeWith(interim + answer)
				So(err, ShouldBeNil)
				if status != "204 No Content" {
					So(body, ShouldEqual, "ok")
				}
			}
		})
	}
	Convey("An answer in HTTP/1.0 is one too", t, func() {
		body, err := exchangeWith("HTTP/1.0 200 OK\r\n" + rest)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}

// Guards against passing over a field whose name is no token: net/http keeps a name with a
// blank, under which a length or a transfer encoding counts for nothing.
func TestInvalidFieldNames(t *testing.T) {
	names := []string{
		"Content-Length : 2", "Transfer-Encoding : chunked", "X Other: a", "X-Other\x01: a", "X\x00Other: a", "X-Other\t: a",
		"X\rOther: a", "X-Other\x7f: a", "X-\u00dcber: a", "X\x1bOther: a", ": a", "X(Other): a", "no colon",
	}
	for _, line := range names {
		for place, answer := range map[string]string{
			"an answer":                   "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + line + "\r\n\r\nok",
			"an answer with a length":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok",
			"an interim response":         "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n" + line + "\r\n\r\n" + response("1", "ok"),
			"another request's answer":    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n" + line + "\r\n\r\n" + response("1", "ok"),
			"a trailer":                   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n",
			"another's trailer":           "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + line + "\r\n\r\n" + response("1", "ok"),
			"the first line of an answer": "HTTP/1.1 200 OK\r\n" + line + "\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		} {
			Convey(fmt.Sprintf("The line %q in %s ends the exchange", line, place), t, func() {
				_, err := exchangeWith(answer)
				So(err, ShouldNotBeNil)
			})
		}
	}
	for _, line := range []string{"X-Other: a b\tc", "X-Other:a", "X-Other:", "x-other: \u00dcber", "X!#$%&'*+.^_`|~9: a", "X-Folded: a\r\n b"} {
		Convey(fmt.Sprintf("The line %q gets through, also in a trailer and in an interim response", line), t, func() {
			for _, answer := range []string{
				"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok",
				"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n" + line + "\r\n\r\n" + response("1", "ok"),
			} {
				body, err := exchangeWith(answer)
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "ok")
			}
		})
	}
}
