package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

// Guards against running a request at two servers, or promising that it has not run, as the
// server that has refused it writes that refusal once more on another connection that was
// kept, and runs the request.
func TestRefusalOfTheSameRequestOnceMore(t *testing.T) {
	Convey("A request that its server has refused is sent to it on a fresh connection only", t, func() {
		var mu sync.Mutex
		carried, runs, refused := map[any]int{}, 0, 0
		busy := make(chan struct{})
		b := newRawBackend("b1", func(r upstreamtest.Request) bool {
			mu.Lock()
			carried[r.Conn]++
			isKept := carried[r.Conn] > 1
			mu.Unlock()
			refusal := "HTTP/1.1 503 x\r\n" + header.AttemptID + ": " + r.Header.Get(header.AttemptID) + "\r\n" + header.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
			switch {
			case r.Header.Get(header.AttemptID) == "warm":
				<-busy // So that each of these requests has a connection of its own.
				r.Send("%s", soundAnswer(r))
			case refused == 0:
				refused++
				r.Send("%s", refusal)
			case isKept:
				runs++
				r.Send("%s%s", refusal, soundAnswer(r))
			default:
				runs++
				r.Send("%s", soundAnswer(r))
			}
			return true
		})
		config := configuration()
		config.Services["s"] = topology.Service{Name: "s", MaxConnections: 1000} // Of which some may be kept.
		s := newSystemWithConfig(config, b)
		defer s.close(b)
		var warm sync.WaitGroup
		for range 3 {
			warm.Go(func() {
				_, _, _ = s.send("POST", "/safe/x", "", func(r *http.Request) { r.Header.Set(header.AttemptID, "warm") })
			})
		}
		time.Sleep(100 * time.Millisecond)
		close(busy)
		warm.Wait()
		response, body, err := s.send("POST", "/once/x", "", nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, soundBody)
		So(runs, ShouldEqual, 1)
	})
}
