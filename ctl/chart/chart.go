// Package chart renders the plots of reports as PNG and SVG.
package chart

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // Registers the PNG format.
	_ "gonum.org/v1/plot/vg/vgsvg" // Registers the SVG format.

	"persimmonwind.dev/ctl/experiment"
)

// Sizes of a plot and of its texts and lines. They are large so that a plot on a
// large screen is readable from across a room.
const (
	width      = 16 * vg.Inch
	height     = 9 * vg.Inch
	titleSize  = 26
	labelSize  = 21
	tickSize   = 18
	legendSize = 19
	lineWidth  = 3.5
	pointSize  = 6
	padding    = 18
)

// Theme is the set of colours of a plot.
type Theme struct {
	Background color.Color // Background colour; nil for a transparent background.
	Ink        color.Color // Colour of texts and axes.
	Grid       color.Color
	Lines      []color.Color // Colours of the series, which repeat after the last.
}

// Light is the theme for a light page and for PNG files.
var Light = Theme{
	Background: color.White,
	Ink:        color.RGBA{R: 0x1b, G: 0x1f, B: 0x24, A: 0xff},
	Grid:       color.RGBA{R: 0xd7, G: 0xdb, B: 0xe0, A: 0xff},
	Lines: []color.Color{
		color.RGBA{R: 0x00, G: 0x5f, B: 0xb8, A: 0xff},
		color.RGBA{R: 0xc4, G: 0x4e, B: 0x00, A: 0xff},
		color.RGBA{R: 0x00, G: 0x7a, B: 0x5a, A: 0xff},
		color.RGBA{R: 0xa8, G: 0x2c, B: 0x86, A: 0xff},
		color.RGBA{R: 0x6b, G: 0x5b, B: 0x00, A: 0xff},
		color.RGBA{R: 0x50, G: 0x50, B: 0x58, A: 0xff},
	},
}

// Dark is the theme for a dark page.
var Dark = Theme{
	Ink:  color.RGBA{R: 0xe8, G: 0xea, B: 0xed, A: 0xff},
	Grid: color.RGBA{R: 0x3c, G: 0x43, B: 0x4c, A: 0xff},
	Lines: []color.Color{
		color.RGBA{R: 0x6c, G: 0xb6, B: 0xff, A: 0xff},
		color.RGBA{R: 0xff, G: 0xa6, B: 0x57, A: 0xff},
		color.RGBA{R: 0x4f, G: 0xd1, B: 0xa5, A: 0xff},
		color.RGBA{R: 0xf0, G: 0x8b, B: 0xd4, A: 0xff},
		color.RGBA{R: 0xe6, G: 0xd2, B: 0x4a, A: 0xff},
		color.RGBA{R: 0xb4, G: 0xb8, B: 0xc0, A: 0xff},
	},
}

var dashes = [][]vg.Length{nil, {14, 7}, {3, 6}, {14, 6, 3, 6}}

var glyphs = []draw.GlyphDrawer{
	draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.PyramidGlyph{}, draw.RingGlyph{}, draw.BoxGlyph{},
}

// Write renders the plot in the format "png" or "svg".
func Write(w io.Writer, p experiment.Plot, theme Theme, format string) error {
	drawing, err := newDrawing(p, theme)
	if err != nil {
		return fmt.Errorf("plot %q: %w", p.Name, err)
	}
	writer, err := drawing.WriterTo(width, height, format)
	if err != nil {
		return fmt.Errorf("plot %q: %w", p.Name, err)
	}
	if _, err := writer.WriteTo(w); err != nil {
		return fmt.Errorf("plot %q: %w", p.Name, err)
	}
	return nil
}

// SavePNG renders the plot to a PNG file in the directory and returns its path.
func SavePNG(directory string, p experiment.Plot) (path string, err error) {
	path = filepath.Join(directory, p.Name+".png")
	file, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("plot %q: %w", p.Name, err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return path, Write(file, p, Light, "png")
}

func newDrawing(p experiment.Plot, theme Theme) (*plot.Plot, error) {
	drawing := plot.New()
	drawing.BackgroundColor = theme.Background
	drawing.Title.Text = p.Title
	drawing.Title.TextStyle.Font.Size = titleSize
	drawing.Title.TextStyle.Color = theme.Ink
	drawing.Title.Padding = padding
	styleAxis(&drawing.X, p.XLabel, theme)
	styleAxis(&drawing.Y, p.YLabel, theme)
	styleLegend(drawing, theme)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = theme.Grid, theme.Grid
	drawing.Add(grid)
	for index, series := range p.Series {
		if err := addSeries(drawing, series, index, theme); err != nil {
			return nil, err
		}
	}
	setScales(drawing, p)
	return drawing, nil
}

func styleAxis(axis *plot.Axis, label string, theme Theme) {
	axis.Label.Text = label
	axis.Label.TextStyle.Font.Size = labelSize
	axis.Label.TextStyle.Color = theme.Ink
	axis.Label.Padding = padding / 2
	axis.Tick.Label.Font.Size = tickSize
	axis.Tick.Label.Color = theme.Ink
	axis.Tick.Color = theme.Ink
	axis.Color = theme.Ink
	axis.Tick.Marker = plot.DefaultTicks{}
}

func styleLegend(drawing *plot.Plot, theme Theme) {
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	drawing.Legend.XOffs = padding
	drawing.Legend.YOffs = -padding / 2
	drawing.Legend.ThumbnailWidth = 3 * padding
	drawing.Legend.Padding = font.Length(padding) / 4
	drawing.Legend.TextStyle.Font.Size = legendSize
	drawing.Legend.TextStyle.Color = theme.Ink
}

func addSeries(drawing *plot.Plot, series experiment.Series, index int, theme Theme) error {
	if len(series.X) != len(series.Y) {
		return fmt.Errorf("series %q has %d x values and %d y values", series.Name, len(series.X), len(series.Y))
	}
	if len(series.X) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(series.X))
	for i := range series.X {
		points[i] = plotter.XY{X: series.X[i], Y: series.Y[i]}
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("series %q: %w", series.Name, err)
	}
	colour := theme.Lines[index%len(theme.Lines)]
	line.Color, marks.Color = colour, colour
	line.Width = lineWidth
	line.Dashes = dashes[index%len(dashes)]
	marks.Radius = pointSize
	marks.Shape = glyphs[index%len(glyphs)]
	drawing.Add(line)
	drawing.Legend.Add(series.Name, line, marks)
	if len(points) <= maxMarkedPoints {
		drawing.Add(marks)
	}
	return nil
}

// maxMarkedPoints is the maximum length of a series whose points are marked.
const maxMarkedPoints = 60

// headroom is the fraction of the y range added above the data to leave room for
// the legend.
const headroom = 0.2

func setScales(drawing *plot.Plot, p experiment.Plot) {
	if p.LogX && drawing.X.Min > 0 {
		drawing.X.Scale = plot.LogScale{}
		drawing.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	if p.LogY && drawing.Y.Min > 0 {
		drawing.Y.Scale = plot.LogScale{}
		drawing.Y.Tick.Marker = plot.LogTicks{Prec: -1}
		return
	}
	drawing.Y.Min = min(0, drawing.Y.Min)
	if drawing.Y.Max <= drawing.Y.Min {
		drawing.Y.Max = drawing.Y.Min + 1
	}
	drawing.Y.Max += (drawing.Y.Max - drawing.Y.Min) * headroom
}
