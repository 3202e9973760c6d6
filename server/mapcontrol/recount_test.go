package mapcontrol

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRecount(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	Convey("Given a recount of three batches", t, func() {
		r := &recount{}
		So(r.isRunning(now), ShouldBeFalse)
		all, number := r.nextRound(3)
		So(all, ShouldBeFalse)
		So(number, ShouldEqual, 0)
		r.start(now)

		Convey("two rounds read all batches, and the second one's increases are its result", func() {
			all, number = r.nextRound(3)
			So(all, ShouldBeTrue)
			So(number, ShouldEqual, 0)
			all, number = r.nextRound(3)
			So(all, ShouldBeTrue)
			So(number, ShouldEqual, 1)
			all, _ = r.nextRound(3)
			So(all, ShouldBeFalse)
			Convey("it ends when all have arrived, and the forecast is made anew once", func() {
				So(r.arrived(number), ShouldBeTrue)
				So(r.arrived(number), ShouldBeFalse)
				So(r.isRunning(now), ShouldBeTrue)
				So(r.arrived(number), ShouldBeFalse)
				So(r.isRunning(now), ShouldBeFalse)
			})
			Convey("increases that arrive after a later one has begun are not its result", func() {
				r.start(now)
				So(r.arrived(number), ShouldBeFalse)
				So(r.isRunning(now), ShouldBeTrue)
			})
		})
		Convey("a plan does not wait for it longer than the timeout", func() {
			So(r.isRunning(now.Add(recountTimeout/2)), ShouldBeTrue)
			So(r.isRunning(now.Add(recountTimeout)), ShouldBeFalse)
		})
	})
}
