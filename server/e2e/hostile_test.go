package e2e

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/entry/openai"
	"persimmonwind.dev/server/standin/service"
	"persimmonwind.dev/server/wire"
)

const (
	tooLargeBytes        = 9 << 20
	oversizedHeaderBytes = 1 << 20
)

// runs returns the calls that a stand-in service has executed; it records each execution
// as a run.
func (s *system) runs(name string) []service.Run {
	s.t.Helper()
	response, err := http.Get(s.backendURLs[name] + "/runs")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var runs []service.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		s.t.Fatal(err)
	}
	return runs
}

// errorOf returns the detail of an error body, or the zero detail if the body has
// another form.
func errorOf(body string) openai.ErrorDetail {
	var decoded openai.ErrorBody
	_ = json.Unmarshal([]byte(body), &decoded)
	return decoded.Error
}

func TestHostileInput(t *testing.T) {
	s := newSystem(t)
	s.addBackend("engine-1", "dc-1", "engine")
	s.addBackend("certifications-1", "dc-1", "service")
	s.addEntry("entry-1", "dc-1")
	const chat = "/v1/chat/completions"
	const stamp = "/v1/services/certifications/stamp"

	rows := []struct {
		name       string
		path, body string
		headers    []string
		status     int
		code       string
	}{
		{"an oversized body", stamp, strings.Repeat("x", tooLargeBytes), nil, 413, "body_too_large"},
		{"broken JSON", chat, `{"model":`, nil, 400, "bad_request"},
		{"JSON of the wrong type", chat, `[1,2,3]`, nil, 400, "bad_request"},
		{"deeply nested JSON", chat, strings.Repeat("[", 1<<20), nil, 400, "bad_request"},
		{"no messages", chat, `{"model":"soap-assistant"}`, nil, 400, "bad_request"},
		{"an image part", chat, `{"model":"soap-assistant","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "bad_request"},
		{"too many tokens", chat, `{"model":"soap-assistant","max_tokens":1000000000,"messages":[{"role":"user","content":"a"}]}`, nil, 400, "bad_request"},
		{"two choices", chat, `{"model":"soap-assistant","n":2,"messages":[{"role":"user","content":"a"}]}`, nil, 400, "bad_request"},
		{"an unknown model", chat, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, 404, "unknown_model"},
		{"an unknown operation", "/v1/services/certifications/drop", `{}`, nil, 404, "unknown_operation"},
		{"an unknown path", "/v1/secrets", `{}`, nil, 404, "unknown_path"},
		{"a wrong key", stamp, `{}`, []string{"Authorization", "Bearer wrong"}, 401, "unauthorized"},
		{"no key", stamp, `{}`, []string{"Authorization", ""}, 401, "unauthorized"},
		{"a timeout that is not a number", stamp, `{}`, []string{"Request-Timeout", "NaN"}, 400, "bad_request"},
	}
	Convey("Each hostile request gets the expected error, marked as not run", t, func() {
		for _, row := range rows {
			Convey(row.name, func() {
				status, body := s.post("entry-1", row.path, row.body, row.headers...)
				So(status, ShouldEqual, row.status)
				detail := errorOf(body)
				So(detail.Code, ShouldEqual, row.code)
				So(detail.NotRun, ShouldBeTrue)
			})
		}
		So(s.runs("certifications-1"), ShouldBeEmpty)
	})

	Convey("Oversized headers are refused", t, func() {
		request, err := http.NewRequest(http.MethodPost, s.callers["entry-1"]+stamp, strings.NewReader(`{}`))
		So(err, ShouldBeNil)
		request.Header.Set("Authorization", "Bearer dev-key")
		request.Header.Set("X-Large", strings.Repeat("x", oversizedHeaderBytes))
		response, err := http.DefaultClient.Do(request)
		if err == nil { // The entry may also close the connection while the headers are being sent.
			response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		}
		So(s.runs("certifications-1"), ShouldBeEmpty)
	})

	Convey("A client that stalls in its body times out and does not delay other callers", t, func() {
		address, err := url.Parse(s.callers["entry-1"])
		So(err, ShouldBeNil)
		connection, err := net.Dial("tcp", address.Host)
		So(err, ShouldBeNil)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer dev-key\r\nContent-Length: 100\r\n\r\n{", stamp)
		So(err, ShouldBeNil)
		status, _ := s.post("entry-1", "/v1/services/certifications/stamp", `{"batch":"in between"}`)
		So(status, ShouldEqual, http.StatusOK)
		_ = connection.SetReadDeadline(time.Now().Add(readyTimeout))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusRequestTimeout)
		So(errorOf(string(body)).Code, ShouldEqual, "request_too_slow")
		So(len(s.runs("certifications-1")), ShouldEqual, 1)
	})

	Convey("Forged internal headers have no effect", t, func() {
		forged, err := wire.Work{RequestID: "forged", Org: "other", Service: "certifications", Operation: "stamp"}.Encode()
		So(err, ShouldBeNil)
		status, body := s.post("entry-1", stamp, `{"batch":"forged"}`, wire.HeaderWork, forged, wire.HeaderRequestID, "forged")
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldNotContainSubstring, `"request_id":"forged"`)
	})

	Convey("An agent refuses work from outside the system", t, func() {
		before := len(s.runs("certifications-1"))
		forged, err := wire.Work{RequestID: "forged", Service: "certifications", Operation: "stamp", Deadline: time.Now().Add(time.Minute)}.Encode()
		So(err, ShouldBeNil)
		insecure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		for _, scheme := range []string{"http://", "https://"} {
			target := scheme + s.traffic["certifications-1"] + wire.PathCall
			request, err := http.NewRequest(http.MethodPost, target, bytes.NewBufferString(`{}`))
			So(err, ShouldBeNil)
			request.Header.Set(wire.HeaderWork, forged)
			response, err := insecure.Do(request)
			if err == nil {
				response.Body.Close()
				So(response.StatusCode, ShouldEqual, http.StatusBadRequest)
			}
		}
		So(len(s.runs("certifications-1")), ShouldEqual, before)
	})
}
