package httpapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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
