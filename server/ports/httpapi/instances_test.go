package httpapi_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/standin/store"
)

func TestInstances(t *testing.T) {
	Convey("An unchanged list is not sent again, and a changed one is", t, func() {
		standIn := store.New()
		statuses := map[int]int{}
		handler := standIn.Handler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			statuses[recorder.Code]++
			for name, values := range recorder.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(recorder.Body.Bytes())
		}))
		defer server.Close()
		instances := httpapi.NewStore(server.URL, http.DefaultTransport).Instances()
		read := func() []ports.Instance {
			list, err := instances.List(context.Background())
			So(err, ShouldBeNil)
			return list
		}

		standIn.SetInstance(ports.Instance{ID: "a"})
		So(read(), ShouldHaveLength, 1)
		So(read(), ShouldHaveLength, 1)
		So(statuses, ShouldResemble, map[int]int{http.StatusOK: 1, http.StatusNotModified: 1})
		standIn.SetInstance(ports.Instance{ID: "a", Leaving: true})
		So(read()[0].Leaving, ShouldBeTrue)
		standIn.RemoveInstance("a")
		So(read(), ShouldBeEmpty)
	})
}

// Guards against a malformed entry that keeps the whole list from being read.
func TestMalformedInstances(t *testing.T) {
	const sound = `{"id":"%s","role":"agent","control":"10.0.0.1:80","traffic":"host:65535"}`
	malformed := map[string]string{
		"a number as its ID": `{"id":7}`, "no ID": `{}`, "null": `null`, "a text": `"x"`, "a list": `[]`, "a deep value": `{"id":"odd","role":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"a port out of range": `{"id":"odd","control":"10.0.0.1:65536"}`, "port 0": `{"id":"odd","traffic":"10.0.0.1:0"}`, "no port": `{"id":"odd","traffic":"10.0.0.1"}`,
		"a large number": `{"id":"odd","leaving":1e999}`,
	}
	for name, entry := range malformed {
		Convey("A list is read without its entry that is or has "+name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "["+sound+",%s,"+sound+"]", "a", entry, "b")
			}))
			defer server.Close()
			list, err := httpapi.NewStore(server.URL, httpapi.NewTransport()).Instances().List(context.Background())
			So(errors.Is(err, ports.ErrMalformedEntries), ShouldBeTrue)
			So(list, ShouldHaveLength, 2)
			So([]string{list[0].ID, list[1].ID}, ShouldResemble, []string{"a", "b"})
		})
	}
	Convey("A list that is broken itself is not used", t, func() {
		for _, body := range []string{"", "{}", "[", `[{"id":"a"}`, strings.Repeat("[", 50_000)} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			list, err := httpapi.NewStore(server.URL, httpapi.NewTransport()).Instances().List(context.Background())
			server.Close()
			So(errors.Is(err, ports.ErrUnknownOutcome), ShouldBeTrue)
			So(list, ShouldBeEmpty)
		}
	})
}

// Guards against taking an answer without a list for an empty one, which would make a process
// forget all others.
func TestMissingInstanceList(t *testing.T) {
	Convey("null in place of the list is an error, and an empty list is none", t, func() {
		answer := "null"
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
		defer server.Close()
		instances := httpapi.NewStore(server.URL, http.DefaultTransport).Instances()
		_, err := instances.List(context.Background())
		So(err, ShouldWrap, ports.ErrUnknownOutcome)
		answer = "[]"
		list, err := instances.List(context.Background())
		So(err, ShouldBeNil)
		So(list, ShouldBeEmpty)
	})
}
