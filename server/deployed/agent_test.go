package deployed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

func TestClassesOfAService(t *testing.T) {
	stream := func(priority int, objective time.Duration, service string) topology.Route {
		return topology.Route{Kind: topology.Stream, Priority: priority, Objective: objective, Targets: []topology.Target{{Service: service}}}
	}
	enabled := func(routes ...topology.Route) bool {
		return classTable(&topology.Configuration{Routes: routes}, "model").Enabled()
	}
	Convey("A service is scheduled by class if its streaming routes differ in priority or objective", t, func() {
		So(enabled(stream(0, time.Second, "model"), stream(1, time.Second, "model")), ShouldBeTrue)
		So(enabled(stream(1, time.Second, "model"), stream(1, 2*time.Second, "model")), ShouldBeTrue)
	})
	Convey("Routes of other services and kinds don't count", t, func() {
		plain := stream(1, time.Second, "model")
		plain.Kind = topology.Idempotent
		So(enabled(stream(0, time.Second, "model"), stream(1, time.Second, "other"), plain), ShouldBeFalse)
		So(enabled(), ShouldBeFalse)
	})
}
