// Package report makes one self-contained HTML page of experiments' reports,
// load results and a running deployment.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"persimmonwind.dev/ctl/chart"
	"persimmonwind.dev/ctl/experiment"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Section is one report with where it comes from.
type Section struct {
	Source string // A file, or the addresses of a deployment.
	Report experiment.Report
}

// Page is what the HTML page shows.
type Page struct {
	Title       string
	GeneratedAt time.Time
	Sections    []Section
}

// drawnPlot is a plot in both themes.
type drawnPlot struct {
	Title string
	Light template.HTML
	Dark  template.HTML
}

type drawnSection struct {
	Section
	ID    string
	Plots []drawnPlot
}

// Write writes the page.
func Write(w io.Writer, page Page) error {
	var sections []drawnSection
	for index, section := range page.Sections {
		drawn := drawnSection{Section: section, ID: fmt.Sprintf("section-%d", index+1)}
		for _, plot := range section.Report.Plots {
			pictures, err := drawPlot(plot)
			if err != nil {
				return fmt.Errorf("report %q: %w", section.Report.Title, err)
			}
			drawn.Plots = append(drawn.Plots, pictures)
		}
		sections = append(sections, drawn)
	}
	return pageTemplate.Execute(w, map[string]any{
		"Title": page.Title, "Made": page.GeneratedAt.UTC().Format("2006-01-02 15:04 UTC"), "Sections": sections,
	})
}

func drawPlot(plot experiment.Plot) (drawnPlot, error) {
	light, err := drawSVG(plot, chart.Light)
	if err != nil {
		return drawnPlot{}, err
	}
	dark, err := drawSVG(plot, chart.Dark)
	return drawnPlot{Title: plot.Title, Light: light, Dark: dark}, err
}

// drawSVG returns the plot as an SVG element that scales with the page.
func drawSVG(plot experiment.Plot, theme chart.Theme) (template.HTML, error) {
	theme.Background = nil
	var text strings.Builder
	if err := chart.Write(&text, plot, theme, "svg"); err != nil {
		return "", err
	}
	_, element, found := strings.Cut(text.String(), "<svg ")
	if !found {
		return "", fmt.Errorf("plot %q: drawing has no svg element", plot.Name)
	}
	return template.HTML("<svg " + element), nil // Texts in it are escaped by the drawing library.
}
