package report

import (
	"context"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/policy/result"
)

// Watch scrapes the metrics of the processes of a running deployment a number of
// times and reports what happened in between. The addresses are base URLs of the
// operator listeners of entries and the health listeners of agents.
func Watch(ctx context.Context, addresses []string, samples int, interval time.Duration) (Section, error) {
	if samples < 2 {
		return Section{}, fmt.Errorf("cannot compute rates from %d samples: at least 2 are required", samples)
	}
	var scrapes []scrape
	for index := range samples {
		if index > 0 {
			select {
			case <-time.After(interval):
			case <-ctx.Done():
				return Section{}, ctx.Err()
			}
		}
		scrapes = append(scrapes, scrapeAll(ctx, addresses))
	}
	return Section{Source: strings.Join(addresses, ", "), Report: deploymentReport(addresses, scrapes)}, nil
}

func deploymentReport(addresses []string, scrapes []scrape) experiment.Report {
	first, last := scrapes[0], scrapes[len(scrapes)-1]
	report := experiment.Report{
		Title: fmt.Sprintf("Deployment: processes: %d, time: %.0f s", len(addresses), last.at.Sub(first.at).Seconds()),
		Tables: []experiment.Table{
			revisionTable(last), processTable(addresses, last), codeTable(first, last), firstByteTable(first, last),
		},
		Plots: deploymentPlots(scrapes),
	}
	for _, err := range last.errors {
		if err != nil {
			report.Notes = append(report.Notes, "No response: "+err.Error())
		}
	}
	return report
}

func revisionTable(last scrape) experiment.Table {
	counts := map[float64]int{}
	unresponsive := 0
	for _, process := range last.processes {
		if process == nil {
			unresponsive++
			continue
		}
		counts[process.gauge(metricPrefix+"revision")]++
	}
	revisions := make([]float64, 0, len(counts))
	for revision := range counts {
		revisions = append(revisions, revision)
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(revisions)))
	table := experiment.Table{Title: "Revisions in force", Columns: []string{"revision", "processes"}}
	for _, revision := range revisions {
		table.Rows = append(table.Rows, []string{fmt.Sprintf("%.0f", revision), strconv.Itoa(counts[revision])})
	}
	if unresponsive > 0 {
		table.Rows = append(table.Rows, []string{"no answer", strconv.Itoa(unresponsive)})
	}
	return table
}

// maxProcessRows is the maximum number of processes listed in the process table.
const maxProcessRows = 40

func processTable(addresses []string, last scrape) experiment.Table {
	table := experiment.Table{
		Title:   "Processes",
		Columns: []string{"process", "revision", "in flight", "admitted", "limit", "queued", "state", "MB resident"},
	}
	for index, process := range last.processes {
		if index == maxProcessRows {
			table.Rows = append(table.Rows, []string{fmt.Sprintf("and %d more", len(addresses)-maxProcessRows), "", "", "", "", "", "", ""})
			break
		}
		table.Rows = append(table.Rows, processRow(addresses[index], process))
	}
	return table
}

func processRow(address string, process families) []string {
	if process == nil {
		return []string{address, "", "", "", "", "", "no answer", ""}
	}
	rounded := func(name string) string { return fmt.Sprintf("%.0f", process.gauge(metricPrefix+name)) }
	return []string{
		address, rounded("revision"), rounded("in_flight_requests"), rounded("admission_running"),
		rounded("admission_limit"), rounded("admission_queued"), processState(process),
		fmt.Sprintf("%.0f", process.gauge("process_resident_memory_bytes")/1e6),
	}
}

func processState(process families) string {
	agent := process.gauge(metricPrefix+"admission_limit") > 0 // Entries have no admission limit.
	switch {
	case process.gauge(metricPrefix+"leaving") > 0:
		return "leaving"
	case agent && process.gauge(metricPrefix+"backend_down") > 0:
		return "down"
	case agent && process.gauge(metricPrefix+"backend_cold") > 0:
		return "cold"
	default:
		return "ready"
	}
}

func codeTable(first, last scrape) experiment.Table {
	counts := map[string]float64{}
	for index := range last.processes {
		for code, count := range last.processes[index].requestsByCode() {
			counts[code] += count
		}
		for code, count := range first.processes[index].requestsByCode() {
			counts[code] -= count
		}
	}
	codes := make([]string, 0, len(counts))
	for code := range counts {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	table := experiment.Table{Title: "Answers by result code", Columns: []string{"code", "answers"}}
	for _, code := range codes {
		name := code
		if number, err := strconv.Atoi(code); err == nil {
			name = fmt.Sprintf("%d %s", number, result.Code(number))
		}
		table.Rows = append(table.Rows, []string{name, fmt.Sprintf("%.0f", counts[code])})
	}
	return table
}

func firstByteTable(first, last scrape) experiment.Table {
	table := experiment.Table{Title: "First byte of an answer (upper bound, ms)", Columns: []string{"p50", "p95", "p99"}}
	counts := firstByteCounts(first, last)
	row := make([]string, 0, len(table.Columns))
	for _, share := range []float64{0.5, 0.95, 0.99} {
		row = append(row, quantileText(counts, share))
	}
	table.Rows = [][]string{row}
	return table
}

func quantileText(counts bucketCounts, share float64) string {
	bound, ok := counts.quantile(share)
	switch {
	case !ok:
		return "none"
	case math.IsInf(bound, 1):
		return "above all buckets"
	default:
		return fmt.Sprintf("%.0f", bound*1e3)
	}
}

// firstByteCounts returns the histogram of the times to first byte between two
// scrapes.
func firstByteCounts(first, last scrape) bucketCounts {
	counts := bucketCounts{}
	for index := range last.processes {
		counts.add(last.processes[index].histogram(metricPrefix+"first_byte_seconds"), 1)
		counts.add(first.processes[index].histogram(metricPrefix+"first_byte_seconds"), -1)
	}
	return counts
}

func deploymentPlots(scrapes []scrape) []experiment.Plot {
	completeRate := experiment.Series{Name: "complete answers"}
	otherRate := experiment.Series{Name: "other answers"}
	p95 := experiment.Series{Name: "p95"}
	behind := experiment.Series{Name: "not at the newest revision"}
	for index := 1; index < len(scrapes); index++ {
		before, now := scrapes[index-1], scrapes[index]
		at, seconds := now.at.Sub(scrapes[0].at).Seconds(), now.at.Sub(before.at).Seconds()
		whole, other := answersBetween(before, now)
		appendPoint(&completeRate, at, whole/seconds)
		appendPoint(&otherRate, at, other/seconds)
		appendPoint(&behind, at, float64(processesBehind(now)))
		if bound, ok := firstByteCounts(before, now).quantile(0.95); ok && !math.IsInf(bound, 1) {
			appendPoint(&p95, at, bound*1e3)
		}
	}
	return []experiment.Plot{
		{Name: "answers", Title: "Answers", XLabel: "time (s)", YLabel: "answers per second", Series: []experiment.Series{completeRate, otherRate}},
		{Name: "first-byte", Title: "First byte of an answer", XLabel: "time (s)", YLabel: "upper bound (ms)", Series: []experiment.Series{p95}},
		{Name: "revisions", Title: "Processes behind", XLabel: "time (s)", YLabel: "processes", Series: []experiment.Series{behind}},
	}
}

func appendPoint(line *experiment.Series, x, y float64) {
	line.X = append(line.X, x)
	line.Y = append(line.Y, y)
}

// answersBetween returns the number of complete answers, and of all others,
// between two scrapes.
func answersBetween(before, now scrape) (whole, other float64) {
	okCode := strconv.Itoa(int(result.OK))
	count := func(s scrape, sign float64) {
		for _, process := range s.processes {
			for code, answered := range process.requestsByCode() {
				if code == okCode {
					whole += sign * answered
				} else {
					other += sign * answered
				}
			}
		}
	}
	count(now, 1)
	count(before, -1)
	return whole, other
}

// processesBehind counts the processes that do not have the newest revision in
// force or do not respond.
func processesBehind(s scrape) int {
	newest := 0.0
	for _, process := range s.processes {
		newest = max(newest, process.gauge(metricPrefix+"revision"))
	}
	behind := 0
	for _, process := range s.processes {
		if process.gauge(metricPrefix+"revision") < newest {
			behind++
		}
	}
	return behind
}
