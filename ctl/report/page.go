// Package report renders experiment reports, load results and the metrics of a
// running deployment as one self-contained HTML page.
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

// Section is one report and its source.
type Section struct {
	Source string // Name of the file that was read, or addresses of the processes that were scraped.
	Report experiment.Report
}

// Page is the content of the HTML page.
type Page struct {
	Title       string
	GeneratedAt time.Time
	Sections    []Section
}

// renderedPlot is a plot rendered in both themes.
type renderedPlot struct {
	Title string
	Light template.HTML
	Dark  template.HTML
}

type renderedSection struct {
	Section
	ID    string
	Plots []renderedPlot
}

// Write writes the page as HTML.
func Write(w io.Writer, page Page) error {
	var sections []renderedSection
	for index, section := range page.Sections {
		rendered := renderedSection{Section: section, ID: fmt.Sprintf("section-%d", index+1)}
		for _, plot := range section.Report.Plots {
			pictures, err := renderPlot(plot)
			if err != nil {
				return fmt.Errorf("report %q: %w", section.Report.Title, err)
			}
			rendered.Plots = append(rendered.Plots, pictures)
		}
		sections = append(sections, rendered)
	}
	return pageTemplate.Execute(w, map[string]any{
		"Title": page.Title, "Made": page.GeneratedAt.UTC().Format("2006-01-02 15:04 UTC"), "Sections": sections,
	})
}

func renderPlot(plot experiment.Plot) (renderedPlot, error) {
	light, err := renderSVG(plot, chart.Light)
	if err != nil {
		return renderedPlot{}, err
	}
	dark, err := renderSVG(plot, chart.Dark)
	return renderedPlot{Title: plot.Title, Light: light, Dark: dark}, err
}

// renderSVG returns the plot as an SVG element that scales with the page. It has a
// transparent background and no XML prolog.
func renderSVG(plot experiment.Plot, theme chart.Theme) (template.HTML, error) {
	theme.Background = nil
	var text strings.Builder
	if err := chart.Write(&text, plot, theme, "svg"); err != nil {
		return "", err
	}
	_, element, found := strings.Cut(text.String(), "<svg ")
	if !found {
		return "", fmt.Errorf("plot %q: output has no svg element", plot.Name)
	}
	return template.HTML("<svg " + element), nil // The plotting library escapes the texts in it.
}
