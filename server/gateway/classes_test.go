package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/policy/workload"
)

// Guards against scheduling by class where routes don't differ, and against missing it
// where they do only through a split route.
func TestTablesOfClasses(t *testing.T) {
	stream := func(priority int, objective time.Duration, services ...string) topology.Route {
		route := topology.Route{Kind: topology.Stream, Priority: priority, Objective: objective}
		for _, service := range services {
			route.Targets = append(route.Targets, topology.Target{Service: service, Weight: 1})
		}
		return route
	}
	plain := stream(2, 100*time.Millisecond, "s")
	plain.Kind = topology.Idempotent
	cases := []struct {
		name    string
		routes  []topology.Route
		enabled bool
		levels  int
	}{
		{"no route", nil, false, 1},
		{"one route", []topology.Route{stream(1, time.Second, "s")}, false, 1},
		{"equal routes", []topology.Route{stream(1, time.Second, "s"), stream(1, time.Second, "s")}, false, 1},
		{"one streaming route and a plain one", []topology.Route{stream(1, time.Second, "s"), plain}, false, 1},
		{"routes of two services", []topology.Route{stream(1, time.Second, "s"), stream(0, time.Second, "other")}, false, 1},
		{"routes of two priorities", []topology.Route{stream(1, time.Second, "s"), stream(0, time.Second, "s")}, true, 2},
		{"routes of two objectives", []topology.Route{stream(1, time.Second, "s"), stream(1, 2*time.Second, "s")}, true, 1},
		{"a split route", []topology.Route{stream(1, time.Second, "s"), stream(0, time.Second, "other", "s")}, true, 2},
	}
	for _, c := range cases {
		Convey("With "+c.name, t, func() {
			table := classTables(&topology.Configuration{Routes: c.routes})["s"]
			So(table.Enabled(), ShouldEqual, c.enabled)
			So(table.Levels(), ShouldEqual, c.levels)
		})
	}
}

// Guards against invented token counts that overflow sums or make a request look cheaper
// or more expensive than its own maximum.
func TestStatedWork(t *testing.T) {
	const huge = int(^uint(0) >> 1)
	cases := []struct {
		name         string
		stated       platform.Request
		prompt, most int
	}{
		{"nothing stated", platform.Request{}, 0, 0},
		{"the hint tells the answer's length", platform.Request{PromptTokens: 700, MaxOutputTokens: 300, OutputHint: 90}, 700, 90},
		{"the maximum counts without a hint", platform.Request{PromptTokens: 700, MaxOutputTokens: 300}, 700, 300},
		{"a hint above the maximum counts as the maximum", platform.Request{MaxOutputTokens: 300, OutputHint: huge}, 0, 300},
		{"a hint counts without a maximum", platform.Request{OutputHint: 90}, 0, 90},
		{"huge values are bounded", platform.Request{PromptTokens: huge, MaxOutputTokens: huge}, maxStatedTokens, maxStatedTokens},
		{"negative values count as absent", platform.Request{PromptTokens: -5, MaxOutputTokens: -5, OutputHint: -5}, 0, 0},
	}
	for _, c := range cases {
		Convey("Of a request, "+c.name, t, func() {
			So(statedWork(c.stated), ShouldResemble, workload.Request{PromptTokens: c.prompt, OutputTokens: c.most})
		})
	}
}
