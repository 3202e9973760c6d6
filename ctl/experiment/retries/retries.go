// Package retries measures attempts per request and goodput when half of the
// backend servers stop at once under load.
package retries

import (
	"context"
	"fmt"

	"persimmonwind.dev/ctl/experiment"
)

// Experiment is the experiment "retries", which runs this package's simulation.
var Experiment = experiment.Experiment{
	Name:    "retries",
	Summary: "attempts per request and goodput when half of the backend servers stop",
	Run:     Run,
}

// Run compares the retry policies on the same seeds.
func Run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Title: "Retries"}
	table := experiment.Table{
		Title: fmt.Sprintf("%d backend servers, half stop; %d entries, %.0f requests/s", servers, entries, entries*requestsPerSecond),
		Columns: []string{
			"policy", "attempts/request", "goodput of what is left %", "refused %", "broken", "slowest refusal",
		},
	}
	for _, p := range policies {
		var stopped, baseline runStats
		for seed := range options.Seeds {
			if err := ctx.Err(); err != nil {
				return report, err
			}
			stopped.add(run(options.Seed+uint64(seed), p, false))
			baseline.add(run(options.Seed+uint64(seed), p, true))
		}
		table.Rows = append(table.Rows, []string{
			p.name, fmt.Sprintf("%.3f", stopped.attemptsPerRequest()),
			fmt.Sprintf("%.1f", 100*float64(stopped.completed)/float64(baseline.completed)),
			fmt.Sprintf("%.1f", 100*float64(stopped.refusals)/float64(stopped.requests)),
			fmt.Sprint(stopped.truncatedAnswers), fmt.Sprint(stopped.slowestRefusal),
		})
	}
	report.Tables = []experiment.Table{table}
	report.Notes = []string{"\"goodput of what is left\" compares with a run in which the same requests are offered to only the remaining half of the servers"}
	return report, nil
}
