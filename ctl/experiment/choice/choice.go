// Package choice compares policies for choosing a backend server on the same random
// workloads: a random server, the least loaded by stale reports, the less loaded of
// two random ones, and the policy of policy/choose.
package choice

import (
	"context"
	"fmt"

	"persimmonwind.dev/ctl/experiment"
)

// Experiment is the experiment "choice", which runs this package's comparison.
var Experiment = experiment.Experiment{
	Name:    "choice",
	Summary: "time to first token, cached prefix, load imbalance and control bytes by choice policy",
	Run:     Run,
}

var sizes = []size{
	{name: "dozen", servers: 12, entries: 3, orgs: 40, rate: 17, duration: 180e9},
	{name: "one model of the target", servers: 172, entries: 330, orgs: 1400, rate: 245, duration: 120e9},
}

var quickSizes = []size{{name: "dozen", servers: 12, entries: 3, orgs: 40, rate: 17, duration: 90e9}}

var scenarios = []scenario{
	{name: "drift"},
	{name: "drift and surge", surge: true},
	{name: "drift and slow server", slowServer: true},
	{name: "drift, late and lost cache events", unreliableEvents: true},
}

var policies = []func(*fleet) policy{
	func(f *fleet) policy { return randomPolicy{f} },
	func(f *fleet) policy { return newLeastLoadedPolicy(f) },
	func(f *fleet) policy { return twoChoicesPolicy{f} },
	func(f *fleet) policy { return candidateProbesPolicy{f} },
}

// Run compares the policies.
func Run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Title: "Choice of backend server"}
	runSizes := sizes
	if options.Quick {
		runSizes = quickSizes
	}
	for _, sz := range runSizes {
		plot := experiment.Plot{
			Name: "choice-" + fmt.Sprint(sz.servers), Title: "Time to first token, drift, " + sz.name,
			XLabel: "quantile (percent)", YLabel: "time to first token (ms)",
		}
		for _, sc := range scenarios {
			table := experiment.Table{
				Title:   fmt.Sprintf("%s: %d backend servers, %.0f requests/s, %s", sz.name, sz.servers, sz.rate, sc.name),
				Columns: []string{"policy", "p50 ms", "p95 ms", "p99 ms", "prefix tokens cached %", "spread of load", "control bytes/request", "refused %"},
			}
			for _, build := range policies {
				if err := ctx.Err(); err != nil {
					return report, err
				}
				total, name := runSeeds(options, sz, sc, build)
				table.Rows = append(table.Rows, total.row(name))
				if sc == scenarios[0] {
					plot.Series = append(plot.Series, total.series(name))
				}
			}
			report.Tables = append(report.Tables, table)
		}
		report.Plots = append(report.Plots, plot)
	}
	report.Notes = append(report.Notes, "\"spread of load\" is the coefficient of variation, over the backend servers, of their mean number of running and queued requests")
	return report, nil
}

func runSeeds(options experiment.Options, sz size, sc scenario, build func(*fleet) policy) (runStats, string) {
	var total runStats
	name := ""
	for seed := range options.Seeds {
		stats := run(options.Seed+uint64(seed), sz, sc, func(f *fleet) policy {
			built := build(f)
			name = built.name()
			return built
		})
		total.add(stats)
	}
	return total, name
}

func (s *runStats) row(name string) []string {
	format := func(value float64) string { return fmt.Sprintf("%.1f", value) }
	return []string{
		name, format(s.quantile(0.5)), format(s.quantile(0.95)), format(s.quantile(0.99)),
		format(100 * float64(s.cachedTokens) / float64(max(1, s.promptTokens))), fmt.Sprintf("%.2f", s.loadSpread()),
		format(float64(s.controlBytes) / float64(max(1, s.requests))), format(100 * float64(s.refusals) / float64(max(1, s.requests))),
	}
}

func (s *runStats) series(name string) experiment.Series {
	series := experiment.Series{Name: name}
	for percent := 1; percent < 100; percent++ {
		series.X = append(series.X, float64(percent))
		series.Y = append(series.Y, s.quantile(float64(percent)/100))
	}
	return series
}
