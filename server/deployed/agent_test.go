package deployed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// Guards against elections in services whose streaming routes don't compete.
func TestServiceWhoseRoutesDoNotCompete(t *testing.T) {
	route := func(service string, kind topology.Kind, priority int, objective time.Duration) topology.Route {
		return topology.Route{Kind: kind, Priority: priority, Objective: objective, Targets: []topology.Target{{Service: service, Weight: 1}}}
	}
	first := route("m", topology.Stream, 1, time.Second)
	Convey("Only streaming routes to the service count, and only their priorities and objectives", t, func() {
		for _, c := range []struct {
			routes []topology.Route
			want   bool
		}{
			{nil, false}, {[]topology.Route{first}, false}, {[]topology.Route{first, first}, false},
			{[]topology.Route{first, route("other", topology.Stream, 0, time.Second)}, false},
			{[]topology.Route{first, route("m", topology.Idempotent, 0, time.Second)}, false},
			{[]topology.Route{first, route("m", topology.Stream, 0, time.Second)}, true},
			{[]topology.Route{first, route("m", topology.Stream, 1, time.Second/2)}, true},
		} {
			So(classTable(&topology.Configuration{Routes: c.routes}, "m").Enabled(), ShouldEqual, c.want)
		}
	})
}
