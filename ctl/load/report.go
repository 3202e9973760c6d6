package load

import (
	"fmt"
	"sort"
	"strconv"

	"persimmonwind.dev/ctl/experiment"
)

// Report formats the result as tables and plots.
func (r Result) Report() experiment.Report {
	report := experiment.Report{
		Title: fmt.Sprintf("Load: %s arrivals at %g requests/s for %g s, seed %d", r.Arrivals.Shape, r.Arrivals.Rate, r.Duration, r.Seed),
	}
	report.Tables = append(report.Tables, r.throughputTable(), r.latencyTable(), r.outcomeTable())
	if codes := r.codeTable(); len(codes.Rows) > 0 {
		report.Tables = append(report.Tables, codes)
	}
	if r.AddedLatency != nil {
		report.Tables = append(report.Tables, addedTable(*r.AddedLatency))
	}
	report.Plots = r.plots()
	report.Notes = r.notes()
	return report
}

// namedPath is the result of one path with its name in reports.
type namedPath struct {
	name string
	*PathResult
}

func (r Result) paths() []namedPath {
	var paths []namedPath
	if r.Entry != nil {
		paths = append(paths, namedPath{"through the entry", r.Entry})
	}
	if r.Direct != nil {
		paths = append(paths, namedPath{"directly to the engine", r.Direct})
	}
	return paths
}

func (r Result) throughputTable() experiment.Table {
	table := experiment.Table{Title: "Throughput", Columns: []string{"way", "requests", "attempts", "whole/s", "tokens/s"}}
	for _, path := range r.paths() {
		table.Rows = append(table.Rows, []string{
			path.name, strconv.Itoa(path.Requests), strconv.Itoa(path.Attempts),
			fmt.Sprintf("%.1f", path.RequestsPerSecond), fmt.Sprintf("%.0f", path.TokensPerSecond),
		})
	}
	return table
}

func (r Result) latencyTable() experiment.Table {
	table := experiment.Table{
		Title:   "Latency from the intended start (ms)",
		Columns: []string{"what", "count", "p50", "p95", "p99", "p99.9", "max"},
	}
	for _, path := range r.paths() {
		table.Rows = append(table.Rows,
			quantileRow("first token, "+path.name, path.FirstToken),
			quantileRow("between tokens, "+path.name, path.BetweenTokens),
			quantileRow("between events, "+path.name, path.BetweenEvents),
			quantileRow("complete chat, "+path.name, path.WholeChat),
		)
		if path.WholeCall.Count > 0 {
			table.Rows = append(table.Rows, quantileRow("plain service call", path.WholeCall))
		}
		table.Rows = append(table.Rows, quantileRow("start delay, "+path.name, path.StartDelay))
	}
	return table
}

func quantileRow(name string, q Quantiles) []string {
	cell := func(value float64) string { return fmt.Sprintf("%.2f", value) }
	return []string{name, strconv.FormatInt(q.Count, 10), cell(q.P50), cell(q.P95), cell(q.P99), cell(q.P999), cell(q.Max)}
}

func (r Result) outcomeTable() experiment.Table {
	table := experiment.Table{Title: "Outcomes", Columns: []string{"way", "outcome", "requests"}}
	for _, path := range r.paths() {
		for _, kind := range []Outcome{Whole, Refused, Failed, Cut, Wrong, TimedOut, Transport, Dropped} {
			if count := path.Outcomes[kind]; count > 0 || kind == Cut || kind == Wrong {
				table.Rows = append(table.Rows, []string{path.name, string(kind), strconv.Itoa(count)})
			}
		}
	}
	return table
}

func (r Result) codeTable() experiment.Table {
	table := experiment.Table{Title: "Result codes", Columns: []string{"way", "code", "final answers", "repeated"}}
	for _, path := range r.paths() {
		seen := map[string]bool{}
		for code := range path.Codes {
			seen[code] = true
		}
		for code := range path.RetriedCodes {
			seen[code] = true
		}
		for _, code := range sortedKeys(seen) {
			table.Rows = append(table.Rows, []string{path.name, code, strconv.Itoa(path.Codes[code]), strconv.Itoa(path.RetriedCodes[code])})
		}
	}
	return table
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func addedTable(added AddedLatency) experiment.Table {
	return experiment.Table{
		Title: "Added time to first token (ms)", Columns: []string{"p50", "p95", "p99"},
		Rows: [][]string{{fmt.Sprintf("%.2f", added.P50), fmt.Sprintf("%.2f", added.P95), fmt.Sprintf("%.2f", added.P99)}},
	}
}

func (r Result) plots() []experiment.Plot {
	answers := experiment.Plot{Name: "load-answers", Title: "Requests by second of arrival", XLabel: "time (s)", YLabel: "requests"}
	first := experiment.Plot{Name: "load-first-token", Title: "Slowest first token by second of arrival", XLabel: "time (s)", YLabel: "first token (ms)"}
	for _, path := range r.paths() {
		add := func(plot *experiment.Plot, name string, value func(Second) float64) {
			line := experiment.Series{Name: name + path.name}
			for _, second := range path.Timeline {
				line.X = append(line.X, float64(second.Second))
				line.Y = append(line.Y, value(second))
			}
			plot.Series = append(plot.Series, line)
		}
		add(&answers, "arrived, ", func(s Second) float64 { return float64(s.Arrived) })
		add(&answers, "complete, ", func(s Second) float64 { return float64(s.Whole) })
		add(&answers, "refused, ", func(s Second) float64 { return float64(s.Refused) })
		add(&first, "", func(s Second) float64 { return s.MaxFirstTokenMS })
	}
	return []experiment.Plot{answers, first}
}

func (r Result) notes() []string {
	var notes []string
	for _, path := range r.paths() {
		for _, kind := range []Outcome{Refused, Failed, Cut, Wrong, TimedOut, Transport} {
			if example := path.Examples[kind]; example != "" {
				notes = append(notes, fmt.Sprintf("%s, %s, for example: %s", path.name, kind, example))
			}
		}
	}
	return notes
}
