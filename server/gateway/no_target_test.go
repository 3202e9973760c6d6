package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// Guards against holding requests of a route that leads to no service until their deadline.
func TestRoutesWithoutATarget(t *testing.T) {
	for name, targets := range map[string][]topology.Target{"no target": {}, "a target without a weight": {{Service: "s"}}, "an unknown service": {{Service: "t", Weight: 1}}} {
		Convey("A request on a route with "+name+" is refused at once and runs nowhere", t, func() {
			b := newBackend("b1", func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			config := configuration()
			for i := range config.Routes {
				config.Routes[i].Targets = targets
			}
			s := newSystemWithConfig(config, b)
			defer s.close(b)
			for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
				started := time.Now()
				response, _, err := s.send("POST", path, "", nil)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
				So(response.Header.Get("Retry-After"), ShouldNotBeEmpty)
				So(time.Since(started), ShouldBeLessThan, 500*time.Millisecond)
			}
		})
	}
}
