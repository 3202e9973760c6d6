package load

import (
	"fmt"
	"sort"
	"strconv"

	"persimmonwind.dev/ctl/experiment"
)

// Report returns the result as tables and plots.
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

// namedSide is a side with its name for a reader.
type namedSide struct {
	name string
	*PathResult
}

func (r Result) sides() []namedSide {
	var sides []namedSide
	if r.Entry != nil {
		sides = append(sides, namedSide{"through the entry", r.Entry})
	}
	if r.Direct != nil {
		sides = append(sides, namedSide{"straight to the engine", r.Direct})
	}
	return sides
}

func (r Result) throughputTable() experiment.Table {
	table := experiment.Table{Title: "Throughput", Columns: []string{"way", "requests", "attempts", "whole/s", "tokens/s"}}
	for _, side := range r.sides() {
		table.Rows = append(table.Rows, []string{
			side.name, strconv.Itoa(side.Requests), strconv.Itoa(side.Attempts),
			fmt.Sprintf("%.1f", side.RequestsPerSecond), fmt.Sprintf("%.0f", side.TokensPerSecond),
		})
	}
	return table
}

func (r Result) latencyTable() experiment.Table {
	table := experiment.Table{
		Title:   "Latency from the intended start (ms)",
		Columns: []string{"what", "count", "p50", "p95", "p99", "p99.9", "max"},
	}
	for _, side := range r.sides() {
		table.Rows = append(table.Rows,
			quantileRow("first token, "+side.name, side.FirstToken),
			quantileRow("between tokens, "+side.name, side.BetweenTokens),
			quantileRow("between events, "+side.name, side.BetweenEvents),
			quantileRow("whole chat, "+side.name, side.WholeChat),
		)
		if side.WholeCall.Count > 0 {
			table.Rows = append(table.Rows, quantileRow("plain service call", side.WholeCall))
		}
		table.Rows = append(table.Rows, quantileRow("start behind its time, "+side.name, side.StartDelay))
	}
	return table
}

func quantileRow(name string, q Quantiles) []string {
	cell := func(value float64) string { return fmt.Sprintf("%.2f", value) }
	return []string{name, strconv.FormatInt(q.Count, 10), cell(q.P50), cell(q.P95), cell(q.P99), cell(q.P999), cell(q.Max)}
}

func (r Result) outcomeTable() experiment.Table {
	table := experiment.Table{Title: "Outcomes", Columns: []string{"way", "outcome", "requests"}}
	for _, side := range r.sides() {
		for _, kind := range []Outcome{Whole, Refused, Failed, Cut, Wrong, TimedOut, Transport, Dropped} {
			if count := side.Outcomes[kind]; count > 0 || kind == Cut || kind == Wrong {
				table.Rows = append(table.Rows, []string{side.name, string(kind), strconv.Itoa(count)})
			}
		}
	}
	return table
}

func (r Result) codeTable() experiment.Table {
	table := experiment.Table{Title: "Result codes", Columns: []string{"way", "code", "final answers", "repeated"}}
	for _, side := range r.sides() {
		seen := map[string]bool{}
		for code := range side.Codes {
			seen[code] = true
		}
		for code := range side.RetriedCodes {
			seen[code] = true
		}
		for _, code := range sortedKeys(seen) {
			table.Rows = append(table.Rows, []string{side.name, code, strconv.Itoa(side.Codes[code]), strconv.Itoa(side.RetriedCodes[code])})
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
	answers := experiment.Plot{Name: "load-answers", Title: "Requests by the second of their arrival", XLabel: "time (s)", YLabel: "requests"}
	first := experiment.Plot{Name: "load-first-token", Title: "Slowest first token by the second of arrival", XLabel: "time (s)", YLabel: "first token (ms)"}
	for _, side := range r.sides() {
		add := func(plot *experiment.Plot, name string, value func(Second) float64) {
			line := experiment.Series{Name: name + side.name}
			for _, second := range side.Timeline {
				line.X = append(line.X, float64(second.Second))
				line.Y = append(line.Y, value(second))
			}
			plot.Series = append(plot.Series, line)
		}
		add(&answers, "arrived, ", func(s Second) float64 { return float64(s.Arrived) })
		add(&answers, "whole, ", func(s Second) float64 { return float64(s.Whole) })
		add(&answers, "refused, ", func(s Second) float64 { return float64(s.Refused) })
		add(&first, "", func(s Second) float64 { return s.FirstTokenMS })
	}
	return []experiment.Plot{answers, first}
}

func (r Result) notes() []string {
	var notes []string
	for _, side := range r.sides() {
		for _, kind := range []Outcome{Refused, Failed, Cut, Wrong, TimedOut, Transport} {
			if example := side.Examples[kind]; example != "" {
				notes = append(notes, fmt.Sprintf("%s, %s, one example: %s", side.name, kind, example))
			}
		}
	}
	return notes
}
