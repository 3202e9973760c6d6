// Package experiment defines named experiments, each of which compares policies
// on the same seeds and reports tables and plots.
package experiment

import "context"

// Options are common to all experiments.
type Options struct {
	Seed  uint64 // First of the consecutive random seeds.
	Seeds int    // Number of random seeds.
	Quick bool   // Simulate smaller systems, for a quick check.
}

// Experiment is a named experiment and the function that runs it.
type Experiment struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, options Options) (Report, error)
}

// Report is the result of an experiment.
type Report struct {
	Title  string   `json:"title"`
	Tables []Table  `json:"tables"`
	Plots  []Plot   `json:"plots,omitempty"`
	Notes  []string `json:"notes,omitempty"`
}

// Table is a table of results, with every cell already formatted.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Plot is a line plot.
type Plot struct {
	Name   string   `json:"name"` // Name of the plot's file without the extension.
	Title  string   `json:"title"`
	XLabel string   `json:"x_label"` // Label of the x axis, with the unit.
	YLabel string   `json:"y_label"` // Label of the y axis, with the unit.
	LogX   bool     `json:"log_x,omitempty"`
	LogY   bool     `json:"log_y,omitempty"`
	Series []Series `json:"series"`
}

// Series is one line of a plot.
type Series struct {
	Name string    `json:"name"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
}
