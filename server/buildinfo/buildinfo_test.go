package buildinfo

import (
	"runtime/debug"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRevision(t *testing.T) {
	Convey("The revision that the go command has recorded is told, with whether the source differed", t, func() {
		So(stampedRevision(nil), ShouldEqual, "unknown")
		So(stampedRevision([]debug.BuildSetting{{Key: "vcs.revision", Value: "0123abc"}, {Key: "vcs.modified", Value: "false"}}), ShouldEqual, "0123abc")
		So(stampedRevision([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: "0123abc"}}), ShouldEqual, "0123abc-dirty")
		So(stampedRevision([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}}), ShouldEqual, "unknown")
	})
	Convey("The revision of the linker goes before it", t, func() {
		linkedRevision = "source-4f"
		defer func() { linkedRevision = "" }()
		So(Revision(), ShouldEqual, "source-4f")
	})
}
