package chart

import (
	"bytes"
	"image/png"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/ctl/experiment"
)

func testPlot() experiment.Plot {
	return experiment.Plot{
		Name: "wait", Title: "Wait", XLabel: "load (requests/s)", YLabel: "wait (ms)",
		Series: []experiment.Series{{Name: "a", X: []float64{1, 2, 3}, Y: []float64{1, 4, 9}}},
	}
}

func TestWrite(t *testing.T) {
	Convey("Given a plot", t, func() {
		Convey("its PNG file decodes and is at least 1500 pixels wide", func() {
			path, err := SavePNG(t.TempDir(), testPlot())
			So(err, ShouldBeNil)
			body, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			picture, err := png.Decode(bytes.NewReader(body))
			So(err, ShouldBeNil)
			So(picture.Bounds().Dx(), ShouldBeGreaterThanOrEqualTo, 1500)
		})
		Convey("its SVG contains the axis labels", func() {
			var body strings.Builder
			So(Write(&body, testPlot(), Dark, "svg"), ShouldBeNil)
			So(body.String(), ShouldContainSubstring, "wait (ms)")
		})
		Convey("a series with unequal numbers of x and y values is an error that names it", func() {
			plot := testPlot()
			plot.Series[0].Y = plot.Series[0].Y[:2]
			err := Write(&bytes.Buffer{}, plot, Light, "png")
			So(err.Error(), ShouldContainSubstring, `series "a" has 3 x values and 2 y values`)
		})
	})
}
