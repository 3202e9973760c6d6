package expertmaps

import (
	"fmt"
	"strings"

	"persimmonwind.dev/ctl/experiment"
)

func newTable(slots int) experiment.Table {
	return experiment.Table{
		Title: fmt.Sprintf("%d expert slots per rank", slots),
		Columns: []string{
			"scenario", "seed", "policy", "skew mean", "skew p99", "with sampling noise mean", "p99",
			"weights moved", "switches", "steps disturbed %", "step ms", "slowest plan ms",
		},
	}
}

func addRows(table *experiment.Table, scenario string, seed uint64, results []policyResult) {
	for _, o := range results {
		moved := sum(o.moves)
		loadingFraction := moved * expertBytes / storeBytesPerSecond / (dayHours * secondsPerMinute * secondsPerMinute)
		table.Rows = append(table.Rows, []string{
			scenario, fmt.Sprint(seed), o.policy,
			fmt.Sprintf("%.4f", mean(o.skew)), fmt.Sprintf("%.4f", percentile(o.skew, 0.99)),
			fmt.Sprintf("%.4f", mean(o.sampledSkew)), fmt.Sprintf("%.4f", percentile(o.sampledSkew, 0.99)),
			fmt.Sprintf("%.0f", moved), fmt.Sprint(o.switches), fmt.Sprintf("%.2f", 100*loadingFraction),
			fmt.Sprintf("%.4f", o.meanStepSeconds*1e3), fmt.Sprintf("%.0f", o.planTime.Seconds()*1e3),
		})
	}
}

func plots(scenario string, results []policyResult) []experiment.Plot {
	name := strings.ReplaceAll(scenario, " ", "-")
	skew := experiment.Plot{
		Name: "expert-maps-skew-" + name, Title: "Skew, " + scenario + ", 5 slots per rank",
		XLabel: "time (h)", YLabel: "slowest / even (1)",
	}
	moves := experiment.Plot{
		Name: "expert-maps-moves-" + name, Title: "Weights moved, " + scenario + ", 5 slots per rank",
		XLabel: "time (h)", YLabel: "experts moved so far (1)",
	}
	for _, o := range results {
		hours, total := make([]float64, len(o.skew)), make([]float64, len(o.skew))
		var moved float64
		for i := range hours {
			hours[i] = float64(i) * intervalMinutes / secondsPerMinute
			moved += o.moves[i]
			total[i] = moved
		}
		skew.Series = append(skew.Series, experiment.Series{Name: o.policy, X: hours, Y: o.skew})
		if o.policy != (oracle{}).name() {
			moves.Series = append(moves.Series, experiment.Series{Name: o.policy, X: hours, Y: total})
		}
	}
	return []experiment.Plot{skew, moves}
}
