package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/result"
)

func TestSuspects(t *testing.T) {
	Convey("An agent that did not answer is probed last", t, func() {
		s := newSuspects()
		now := time.Unix(1000, 0)
		targets := []Target{{BackendServer: "a"}, {BackendServer: "b"}}
		s.add("a", now)
		trusted, suspected := s.split(targets, now.Add(time.Second))
		So(trusted, ShouldResemble, targets[1:])
		So(suspected, ShouldResemble, targets[:1])

		Convey("until it answers", func() {
			s.clear("a")
			trusted, _ := s.split(targets, now)
			So(trusted, ShouldResemble, targets)
		})
		Convey("or the suspicion has timed out", func() {
			trusted, _ := s.split(targets, now.Add(suspicionTimeout))
			So(trusted, ShouldResemble, targets)
		})
	})
}

func TestFallback(t *testing.T) {
	unanswered := []Target{{BackendServer: "a"}}
	Convey("A refusal because of load is preferred to an agent that timed out", t, func() {
		_, err := fallback(unanswered, &result.Error{Code: result.Overloaded})
		So(err.Code, ShouldEqual, result.Overloaded)
	})
	Convey("After any other refusal the work goes to an agent that timed out", t, func() {
		target, err := fallback(unanswered, &result.Error{Code: result.NoBackendServer})
		So(err, ShouldBeNil)
		So(target.BackendServer, ShouldEqual, "a")
	})
	Convey("Without a refusal the work goes to an agent that timed out", t, func() {
		target, err := fallback(unanswered, nil)
		So(err, ShouldBeNil)
		So(target.BackendServer, ShouldEqual, "a")
	})
	Convey("Without any agent the work is refused", t, func() {
		_, err := fallback(nil, nil)
		So(err.Code, ShouldEqual, result.NoBackendServer)
	})
}
