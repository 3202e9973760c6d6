package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

// fault is what a server writes in place of its answer to a request.
type fault struct {
	before string // Written before the answer.
	end    ending
	kept   bool // The request must have come on a connection that has carried another one.
}

// ending is what follows what a faulty server has written.
type ending int

const (
	thenAnswers ending = iota // The sound answer.
	thenCloses
	thenResets
)

var endings = map[ending]string{thenAnswers: "then the answer", thenCloses: "then a close", thenResets: "then a reset"}

// faultyServers are two servers of which the one that gets a request first has a fault. Both
// run all requests that they get.
type faultyServers struct {
	*system
	backends []*backend
	client   *http.Transport
	sent     int // Requests that were sent.

	mu       sync.Mutex
	fault    *fault          // For the next request; nil once it was used.
	runs     map[string]int  // By attempt ID.
	carried  map[any]int     // Requests by connection.
	faultyAt map[string]bool // IDs of requests that met the fault.
}

const eventStream = "Content-Type: text/event-stream\r\n"

// soundBody is the sound answer to a request that does not go on with a stream.
const soundBody = "id: 1\ndata: ok\n\n"

func soundAnswer(r upstreamtest.Request) string {
	if r.Header.Get(header.LastEvent) == "1" {
		return stampedHead(r, "200 OK") + eventStream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" // There is no more.
	}
	return stampedHead(r, "200 OK") + fmt.Sprintf(eventStream+"Content-Length: %d\r\n\r\n%s", len(soundBody), soundBody)
}

func newFaultyServers() *faultyServers {
	f := &faultyServers{runs: map[string]int{}, carried: map[any]int{}, faultyAt: map[string]bool{}, client: &http.Transport{DisableCompression: true}}
	for _, id := range []string{"b1", "b2"} {
		f.backends = append(f.backends, newRawBackend(id, f.serve))
	}
	f.system = newSystem(f.backends...)
	return f
}

func (f *faultyServers) stop() {
	f.client.CloseIdleConnections()
	f.close(f.backends...)
}

// call sends a request and returns its status, 0 without an answer, and its body.
func (f *faultyServers) call(path, id string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, f.front.URL+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set(header.AttemptID, id)
	request.Header.Set(header.Authorization, "Token key-a")
	request.Header.Set(header.Deadline, "1500")
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func (f *faultyServers) serve(r upstreamtest.Request) bool {
	f.mu.Lock()
	id := r.Header.Get(header.AttemptID)
	f.runs[id]++
	f.carried[r.Conn]++
	fault := f.fault
	if fault == nil || fault.kept != (f.carried[r.Conn] > 1) {
		f.mu.Unlock()
		r.Send("%s", soundAnswer(r))
		return true
	}
	f.fault, f.faultyAt[id] = nil, true
	f.mu.Unlock()
	r.Send("%s", strings.ReplaceAll(fault.before, "{ID}", id))
	switch fault.end {
	case thenAnswers:
		r.Send("%s", soundAnswer(r))
		return true
	case thenResets:
		r.Reset()
	}
	return false
}

// maxTries bounds the requests that are sent until one meets a fault.
const maxTries = 50

// meet sends requests until one has met the fault, and checks its answer: a success is the
// whole answer, a promise that the request has not run is true, and work that must not be
// repeated has run once.
func (f *faultyServers) meet(t *testing.T, path string, fault fault) int {
	t.Helper()
	for range maxTries {
		f.mu.Lock()
		f.fault = &fault
		f.mu.Unlock()
		if !fault.kept {
			f.gateway.pool.CloseIdle(func(string) bool { return false })
		}
		f.sent++
		id := fmt.Sprintf("request-%d", f.sent)
		status, body, err := f.call(path, id)
		f.mu.Lock()
		runs, met := f.runs[id], f.faultyAt[id]
		f.mu.Unlock()
		if !met {
			continue
		}
		switch {
		case status == http.StatusOK && (err != nil || body != soundBody):
			t.Errorf("%s, %q %s, kept %t: %d with body %q, error %v", path, fault.before, endings[fault.end], fault.kept, status, body, err)
		case status != http.StatusOK && strings.Contains(body, "earlier"):
			t.Errorf("%s, %q %s, kept %t: %d with the body of another answer, %q", path, fault.before, endings[fault.end], fault.kept, status, body)
		}
		switch status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			t.Errorf("%s, %q %s, kept %t: %d, but it has run %d times", path, fault.before, endings[fault.end], fault.kept, status, runs)
		}
		if path == "/once/x" && runs > 1 {
			t.Errorf("%s, %q %s, kept %t: ran %d times", path, fault.before, endings[fault.end], fault.kept, runs)
		}
		return status
	}
	t.Fatalf("%s: no request met the fault", path)
	return 0
}

// earlierRefusals are refusals of another request.
var earlierRefusals = map[string]string{
	"a full server, the promise first": "HTTP/1.1 503 Service Unavailable\r\n" + header.NotExecuted + ": 1\r\n" + header.RetryAfter + ": 0.5\r\n" + header.AttemptID + ": other\r\nContent-Length: 7\r\n\r\nearlier",
	"a full server, the ID first":      "HTTP/1.1 503 Service Unavailable\r\n" + header.AttemptID + ": other\r\nContent-Length: 7\r\n" + header.NotExecuted + ": 1\r\n\r\nearlier",
	"too many requests":                "HTTP/1.1 429 Too Many Requests\r\n" + header.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
	"another instance":                 "HTTP/1.1 421 Misdirected Request\r\n" + header.AttemptID + ": other\r\nContent-Length: 0\r\n\r\n",
	"without an ID":                    "HTTP/1.1 503 Service Unavailable\r\n" + header.NotExecuted + ": 1\r\nContent-Length: 7\r\n\r\nearlier",
	"in chunks":                        "HTTP/1.1 503 Service Unavailable\r\n" + header.NotExecuted + ": 1\r\n" + header.AttemptID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nearlier\r\n0\r\n\r\n",
}

// keptAndFresh are the connections on which a request may meet a fault.
var keptAndFresh = []bool{true, false}

// forEachCut lets a request meet the text, cut at every byte, on each of the kinds of
// connections, kept ones if true. The servers are replaced now and then, as those that fail
// often get fewer requests.
func forEachCut(t *testing.T, path, text string, end ending, connections []bool, check func(status, cut int)) {
	const faultsOfServers = 4
	f := newFaultyServers()
	defer func() { f.stop() }()
	faults := 0
	for cut := 0; cut <= len(text) && !t.Failed(); cut++ {
		for _, kept := range connections {
			if faults++; faults%faultsOfServers == 0 {
				f.stop()
				f = newFaultyServers()
			}
			check(f.meet(t, path, fault{before: text[:cut], end: end, kept: kept}), cut)
		}
	}
}

// Guards against telling callers that a request has not run, or running it elsewhere as well,
// as its server wrote an earlier refusal once more on the connection, whole or in part.
func TestEarlierRefusalsOnceMore(t *testing.T) {
	for name, refusal := range earlierRefusals {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			for end := range endings {
				t.Run(strconv.Quote(name)+path+endings[end], func(t *testing.T) {
					t.Parallel()
					forEachCut(t, path, refusal, end, keptAndFresh, func(status, cut int) {
						isSound := end == thenAnswers && (cut == 0 || cut == len(refusal))
						if (isSound || path != "/once/x") && status != http.StatusOK {
							t.Errorf("%s after %q: status %d", path, refusal[:cut], status)
						}
					})
				})
			}
		}
	}
}

// Guards against a success with an empty or a short body when a server stops in the middle of
// an answer's head or body.
func TestAnswersCutAtEveryByte(t *testing.T) {
	const fields = header.AttemptID + ": {ID}\r\n" + header.Stamp + ": s\r\n" + eventStream
	const prefix = "HTTP/1.1 200 OK\r\n" + fields
	answers := map[string]string{
		"a length":       prefix + "Content-Length: 16\r\n\r\n" + soundBody,
		"a length first": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n" + fields + "\r\n" + soundBody,
		"chunks":         prefix + "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\na\r\ndata: ok\n\n\r\n0\r\n\r\n",
		"a trailer":      prefix + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + soundBody + "\r\n0\r\nX-Sum: 1\r\n\r\n",
		"an interim one": "HTTP/1.1 100 Continue\r\n\r\n" + prefix + "Content-Length: 16\r\n\r\n" + soundBody,
		"no length":      prefix + "\r\n" + soundBody,
	}
	for name, answer := range answers {
		headEnd := strings.LastIndex(answer[:strings.Index(answer, "id: 1")], "\r\n\r\n") + len("\r\n\r\n")
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			for _, end := range []ending{thenCloses, thenResets} {
				t.Run(strconv.Quote(name)+path+endings[end], func(t *testing.T) {
					t.Parallel()
					sent := answer
					if name == "no length" && end == thenCloses {
						sent = answer[:headEnd-1] // Behind the head, a close in order is the end of such an answer.
					}
					forEachCut(t, path, sent, end, keptAndFresh, func(status, cut int) {
						isWhole := cut == len(answer) && name != "no length"
						if (isWhole || path != "/once/x") && status != http.StatusOK {
							t.Errorf("%s after %q: status %d", path, answer[:cut], status)
						}
						if path == "/once/x" && !isWhole && status == http.StatusOK {
							t.Errorf("%s after %q: status 200", path, answer[:cut])
						}
					})
				})
			}
		}
	}
}

// Guards against relaying an answer whose status is none of HTTP's, or what stands behind it,
// also on a connection that has carried sound answers.
func TestInvalidStatusOnAnyConnection(t *testing.T) {
	const fields = header.AttemptID + ": {ID}\r\n" + header.Stamp + ": s\r\n" + eventStream
	for _, status := range []string{"000", "00", "0", "-00", "+20", "099", "101", "600", "999"} {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			for _, rest := range []string{"Content-Length: 7\r\n\r\nearlier", "\r\n", "\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 7\r\n\r\nearlier"} {
				for end := range endings {
					for _, kept := range keptAndFresh {
						f := newFaultyServers()
						got := f.meet(t, path, fault{before: "HTTP/1.1 " + status + " x\r\n" + fields + rest, end: end, kept: kept})
						f.stop()
						if want := map[bool]int{true: http.StatusBadGateway, false: http.StatusOK}[path == "/once/x"]; got != want {
							t.Errorf("status %s, %q %s, %s: %d", status, rest, endings[end], path, got)
						}
					}
				}
			}
		}
	}
}
