package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	lastEvents  = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
)

// continuations are answers to a request to go on behind the first events, without the status
// line and the server's fields. Each text names its status; sound ones complete the stream.
var continuations = []struct {
	name, status, rest string
	unsigned           bool
	want               string // What the caller gets behind the first events, whole; empty for a stream that is cut off.
}{
	{"the rest", "200 OK", eventStream + "Connection: close\r\n\r\n" + lastEvents, false, lastEvents},
	{"the rest in chunks", "200 OK", eventStream + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + lastEvents + "\r\n0\r\n\r\n", false, lastEvents},
	{"the rest behind a comment", "200 OK", eventStream + "Content-Length: 38\r\n\r\n: wait\n\n" + lastEvents, false, ": wait\n\n" + lastEvents},
	{"no more events", "200 OK", eventStream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, ""},
	{"an error", "500 x", "Content-Length: 9\r\n\r\nelsewhere", false, ""},
	{"an error that looks like events", "500 x", eventStream + "Content-Length: 30\r\n\r\n" + lastEvents, false, ""},
	{"an error without a length", "502 x", "\r\nid: 3\ndata: elsewhere\n\n", false, ""},
	{"unavailable", "503 x", "Content-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"a refusal", "503 x", header.NotExecuted + ": 1\r\nContent-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"another instance", "421 x", "Content-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"not found", "404 x", "Content-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"a redirect", "302 x", "Location: /elsewhere\r\nContent-Length: 0\r\n\r\n", false, ""},
	{"status 000", "000 x", eventStream + "Content-Length: 30\r\n\r\n" + lastEvents, false, ""},
	{"a text", "200 OK", "Content-Type: text/plain\r\nContent-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"a text that looks like events", "200 OK", "Content-Type: text/plain\r\nContent-Length: 30\r\n\r\n" + lastEvents, false, ""},
	{"a text without a type", "200 OK", "Content-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"a text among events", "200 OK", eventStream + "Content-Length: 11\r\n\r\nelsewhere\n\n", false, ""},
	{"an event without an id", "200 OK", eventStream + "Content-Length: 17\r\n\r\ndata: elsewhere\n\n", false, ""},
	{"an earlier event", "200 OK", eventStream + "Content-Length: 30\r\n\r\n" + firstEvents, false, ""},
	{"nothing", "200 OK", "Content-Length: 0\r\n\r\n", false, ""},
	{"no content", "204 x", eventStream + "\r\n", false, ""},
	{"a part of a content", "206 x", eventStream + "Content-Length: 30\r\n\r\n" + lastEvents, false, ""},
	{"events without a signature", "200 OK", eventStream + "Content-Length: 30\r\n\r\n" + lastEvents, true, ""},
	{"events that are encoded", "200 OK", eventStream + "Content-Encoding: gzip\r\nContent-Length: 30\r\n\r\n" + lastEvents, false, ""},
}

// resume lets one server close or reset a stream after the first events and a part of the next,
// and the other one answer. It returns what the caller gets, and whether it looked complete.
func resume(part string, end ending, answer func(upstreamtest.Request)) (body string, complete bool) {
	relayed := make(chan struct{}) // Closed when the caller has the first events: a reset takes what was not read.
	script := rawScript(func(r upstreamtest.Request) bool {
		sent := firstEvents + part
		r.Send("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", stampedHead(r, "200 OK"), eventStream, len(sent), sent)
		if end == thenResets {
			<-relayed
			r.Reset()
		}
		return false
	}, func(r upstreamtest.Request) bool {
		answer(r)
		return false
	})
	first, second := newRawBackend("b1", script), newRawBackend("b2", script)
	s := newSystem(first, second)
	defer s.close(first, second)
	request, err := http.NewRequest(http.MethodPost, s.front.URL+"/stream/x", nil)
	if err != nil {
		return err.Error(), false
	}
	request.Host = "h.example"
	request.Header.Set(header.AttemptID, "attempt-1")
	request.Header.Set(header.Authorization, "Token key-a")
	response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = response.Body.Close() }()
	begun := make([]byte, len(firstEvents))
	n, err := io.ReadFull(response.Body, begun)
	close(relayed)
	if err != nil {
		return string(begun[:n]), false
	}
	rest, err := io.ReadAll(response.Body)
	return string(begun) + string(rest), err == nil
}

// Guards against an error of the server that is to go on with a stream, or of its head, in the
// middle of the caller's stream, and against a stream that ends as if it were complete.
func TestAnswersThatContinueNoStream(t *testing.T) {
	for _, c := range continuations {
		answer := func(r upstreamtest.Request) string {
			head := stampedHead(r, c.status)
			if c.unsigned {
				head = "HTTP/1.1 " + c.status + "\r\n" + header.AttemptID + ": " + r.Header.Get(header.AttemptID) + "\r\n"
			}
			return head + c.rest
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, part := range []string{"", "i", "id: 3\n", "id: 3\ndata: c\n"} {
				for _, end := range []ending{thenCloses, thenResets} {
					body, complete := resume(part, end, func(r upstreamtest.Request) { r.Send("%s", answer(r)) })
					checkResumed(t, fmt.Sprintf("after %q, %s", part, endings[end]), body, complete, c.want, c.name == "no more events" || c.want != "")
				}
			}
			length := len(answer(upstreamtest.Request{Request: &http.Request{Header: http.Header{header.AttemptID: {"attempt-1"}}}}))
			for cut := range length {
				for _, end := range []ending{thenCloses, thenResets} {
					body, complete := resume("", thenCloses, func(r upstreamtest.Request) {
						r.Send("%s", answer(r)[:cut])
						if end == thenResets {
							r.Reset()
						}
					})
					isCutEnd := strings.Contains(c.rest, "Connection: close") && end == thenCloses
					if complete && !isCutEnd {
						t.Errorf("cut at byte %d, %s: complete with %q", cut, endings[end], body)
					}
					if !strings.HasPrefix(firstEvents+c.want, body) {
						t.Errorf("cut at byte %d, %s: the caller got %q", cut, endings[end], body)
					}
				}
			}
		})
	}
}

// checkResumed checks what the caller got of a stream that was to be resumed.
func checkResumed(t *testing.T, name, body string, complete bool, want string, isSound bool) {
	t.Helper()
	switch {
	case isSound && (body != firstEvents+want || !complete):
		t.Errorf("%s: the caller got %q, complete %t", name, body, complete)
	case !isSound && (body != firstEvents || complete):
		t.Errorf("%s: the caller got %q, complete %t", name, body, complete)
	}
}
