// Package coldstart measures the agent's admission limit under unannounced cold
// starts, restarts and late reports, compared with an oracle that knows the true
// limit. In cold start an engine can handle only a few concurrent requests and
// crashes when it is given more.
package coldstart

import (
	"context"
	"fmt"

	"persimmonwind.dev/ctl/experiment"
)

// Experiment is the experiment "coldstart", which runs this package's simulation.
var Experiment = experiment.Experiment{
	Name:    "coldstart",
	Summary: "overloads of cold servers, and throughput compared with a known limit",
	Run:     Run,
}

// Run runs every scenario over the seeds.
func Run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Title: "Cold start"}
	table := experiment.Table{
		Title: fmt.Sprintf("%d servers, %d entries, %v, seeds %d to %d", serverCount, entries, runLength,
			options.Seed, options.Seed+uint64(options.Seeds)-1),
		Columns: []string{"failures", "overloads", "answered", "known limit answered", "share %", "starts beside older work"},
	}
	for _, sc := range scenarios {
		var policy, oracle runStats
		for seed := range options.Seeds {
			if err := ctx.Err(); err != nil {
				return report, err
			}
			policy.add(run(options.Seed+uint64(seed), sc, runLength, false))
			oracle.add(run(options.Seed+uint64(seed), sc, runLength, true))
		}
		table.Rows = append(table.Rows, []string{
			sc.name, fmt.Sprint(policy.overloads), fmt.Sprint(policy.completed), fmt.Sprint(oracle.completed),
			fmt.Sprintf("%.1f", 100*float64(policy.completed)/float64(oracle.completed)), fmt.Sprint(policy.startsOverLimit),
		})
	}
	report.Tables = []experiment.Table{table}
	report.Notes = []string{"\"starts beside older work\" counts requests started on a cold server, within its cold limit for new work, while requests from before an unannounced cold start were still running"}
	return report, nil
}
