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
	for _, r := range results {
		movedExperts := sum(r.moves)
		loadingFraction := movedExperts * expertBytes / storeBytesPerSecond / (dayHours * secondsPerMinute * secondsPerMinute)
		table.Rows = append(table.Rows, []string{
			scenario, fmt.Sprint(seed), r.policy,
			fmt.Sprintf("%.4f", mean(r.skew)), fmt.Sprintf("%.4f", percentile(r.skew, 0.99)),
			fmt.Sprintf("%.4f", mean(r.sampledSkew)), fmt.Sprintf("%.4f", percentile(r.sampledSkew, 0.99)),
			fmt.Sprintf("%.0f", movedExperts), fmt.Sprint(r.switches), fmt.Sprintf("%.2f", 100*loadingFraction),
			fmt.Sprintf("%.4f", r.meanStepSeconds*1e3), fmt.Sprintf("%.0f", r.planTime.Seconds()*1e3),
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
	for _, r := range results {
		hours, cumulativeMoves := make([]float64, len(r.skew)), make([]float64, len(r.skew))
		var movedExperts float64
		for i := range hours {
			hours[i] = float64(i) * intervalMinutes / secondsPerMinute
			movedExperts += r.moves[i]
			cumulativeMoves[i] = movedExperts
		}
		skew.Series = append(skew.Series, experiment.Series{Name: r.policy, X: hours, Y: r.skew})
		if r.policy != (oraclePolicy{}).name() {
			moves.Series = append(moves.Series, experiment.Series{Name: r.policy, X: hours, Y: cumulativeMoves})
		}
	}
	return []experiment.Plot{skew, moves}
}
