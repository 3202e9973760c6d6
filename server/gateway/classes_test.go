package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
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

// classConfiguration returns the default configuration with an engine as service "s" and
// the streaming routes of a deployment, which differ in urgency.
func classConfiguration() *topology.Configuration {
	config := configuration()
	config.Services["s"] = topology.Service{Name: "s", Engine: &topology.Engine{Slots: 4, Stride: 6, StepMS: 4.84, PerSequenceMS: 0.362}}
	stream := config.Routes[1]
	stream.InterTokenTarget = 150 * time.Millisecond
	objectives := []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Second}
	for priority, name := range []string{"summaries", "drafts", "digests"} {
		route := stream
		route.Name, route.Prefix, route.Priority, route.Objective = name, "/"+name+"/", priority, objectives[priority]
		config.Routes = append(config.Routes, route)
	}
	return config
}

// Guards against a priority at the engine that favours late or less urgent requests.
func TestEnginePriority(t *testing.T) {
	const objective, target, predicted = 500 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond
	arrived := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name          string
		level         int
		sentAfter     time.Duration
		firstAfter    time.Duration // When the caller got the first event, of a stream that is resumed.
		sinceEvent    time.Duration // Time since the caller's latest event.
		longestPause  time.Duration
		relayedEvents int
		want          int
	}{
		{"most urgent, at once", 0, 0, 0, 0, 0, 0, 0},
		{"second level, at once", 1, 0, 0, 0, 0, 0, 3},
		{"third level, at once", 2, 0, 0, 0, 0, 0, 6},
		{"levels beyond the third", 200, 0, 0, 0, 0, 0, 6},
		{"most urgent, just in time", 0, 410 * time.Millisecond, 0, 0, 0, 0, 0},
		{"most urgent, too late", 0, 420 * time.Millisecond, 0, 0, 0, 0, 3},
		{"levels beyond the third, too late", 200, 2 * time.Second, 0, 0, 0, 0, 9},
		{"resumed without a pause", 0, time.Second, 300 * time.Millisecond, 50 * time.Millisecond, 90 * time.Millisecond, 5, 0},
		{"resumed after a pause", 0, time.Second, 300 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond, 5, 3},
		{"resumed, an earlier pause was too long", 0, time.Second, 300 * time.Millisecond, 0, 160 * time.Millisecond, 5, 3},
		{"resumed, the first event was late", 0, time.Second, 600 * time.Millisecond, 0, 0, 5, 3},
	}
	for _, c := range cases {
		Convey("Of a request: "+c.name, t, func() {
			sent := arrived.Add(c.sentAfter)
			request := &call{
				arrivedAt:     arrived,
				admission:     admission{route: &topology.Route{Kind: topology.Stream, Objective: objective, InterTokenTarget: target}},
				latestAttempt: latestAttempt{placement: &placement{Decision: dispatch.Decision{Level: c.level, PredictedFirstEvent: predicted}}},
				relay:         relay{relayedEvents: c.relayedEvents, firstByteAt: arrived.Add(c.firstAfter), lastEventAt: sent.Add(-c.sinceEvent), longestPause: c.longestPause},
			}
			So(request.enginePriority(sent), ShouldEqual, c.want)
		})
	}
}

// Guards against a Retry-After beyond 2.67 s, which a caller with a deadline of 8 s does not
// honour, where the dispatcher has chosen one of at most 2.6 s.
func TestRetryAfterOfClasses(t *testing.T) {
	Convey("The Retry-After of a dispatcher's refusal is passed on as it is if the request is scheduled by class", t, func() {
		const chosen = 2600 * time.Millisecond
		longest := map[bool]time.Duration{}
		for range 200 {
			for _, byClass := range []bool{true, false} {
				refused := &call{attempts: attempts{refusedByDispatcher: true}, latestAttempt: latestAttempt{placement: &placement{byClass: byClass}}}
				failure := result.Errorf(result.Overloaded, "lacks_ranks")
				failure.RetryAfter = chosen
				longest[byClass] = max(longest[byClass], refused.finalError(failure).RetryAfter)
			}
		}
		So(longest[true], ShouldEqual, chosen)
		So(longest[false], ShouldBeGreaterThan, chosen)
	})
}

// Guards against a caller that sets its own priority at the engine, and against services
// without classes that are told one.
func TestPriorityThatReachesTheEngine(t *testing.T) {
	breakOff := func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3, false) }
	goOn := func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 4, 6, true) }
	whole := func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3, true) }
	for _, forged := range [][]string{nil, {"0"}, {"9"}, {"-1", "0"}, {"99999999999999999999"}, {"urgent"}} {
		for _, c := range []struct {
			path string
			want []string
		}{{"/summaries/x", []string{"0"}}, {"/drafts/x", []string{"3"}}, {"/digests/x", []string{"6"}}} {
			Convey("The engine gets the level's priority, whatever the caller sends", t, func() {
				b := newBackend("b1", func(_ int, w http.ResponseWriter, r *http.Request) { whole(w, r) })
				s := newSystemWithConfig(classConfiguration(), b)
				defer s.close(b)
				_, _, err := s.send("POST", c.path, "", func(r *http.Request) { r.Header[header.Priority] = forged })
				So(err, ShouldBeNil)
				seen, _ := b.lastRequest()
				So(seen.Header.Values(header.Priority), ShouldResemble, c.want)
			})
		}
		Convey("A service whose routes don't differ gets none", t, func() {
			b := newBackend("b1", func(_ int, w http.ResponseWriter, r *http.Request) { whole(w, r) })
			s := newSystem(b)
			defer s.close(b)
			_, _, err := s.send("POST", "/stream/x", "", func(r *http.Request) { r.Header[header.Priority] = forged })
			So(err, ShouldBeNil)
			seen, _ := b.lastRequest()
			So(seen.Header.Values(header.Priority), ShouldBeEmpty)
		})
	}
	Convey("A stream that another server continues keeps its level's priority there", t, func() {
		script := firstThenRest(breakOff, goOn)
		b1, b2 := newBackend("b1", script), newBackend("b2", script)
		s := newSystemWithConfig(classConfiguration(), b1, b2)
		defer s.close(b1, b2)
		_, body, err := s.send("POST", "/drafts/x", "", nil)
		So(err, ShouldBeNil)
		So(eventIDs(body), ShouldHaveLength, 6)
		for _, b := range []*backend{b1, b2} {
			seen, _ := b.lastRequest()
			So(seen.Header.Get(header.Priority), ShouldBeIn, []string{"3", "6"})
		}
	})
	Convey("A configuration by which the routes no longer differ ends that", t, func() {
		b := newBackend("b1", func(_ int, w http.ResponseWriter, r *http.Request) { whole(w, r) })
		s := newSystemWithConfig(classConfiguration(), b)
		defer s.close(b)
		equal := configuration()
		equal.Version = 2
		s.configure(equal)
		_, _, err := s.send("POST", "/stream/x", "", nil)
		So(err, ShouldBeNil)
		seen, _ := b.lastRequest()
		So(seen.Header.Values(header.Priority), ShouldBeEmpty)
	})
}
