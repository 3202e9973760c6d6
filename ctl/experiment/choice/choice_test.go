package choice

import (
	"fmt"
	"strings"
	"testing"

	"persimmonwind.dev/ctl/experiment"
)

// On twelve servers with a drifting workload, probing a few agents finds more cached
// prefix tokens than policies that don't consider the prompt, and its p95 time to
// first token is no higher.
func TestChoosePolicyBeatsBaselines(t *testing.T) {
	options := experiment.Options{Seed: 1, Seeds: 1}
	var statsByPolicy []runStats
	for _, build := range policies {
		total, name := runSeeds(options, quickSizes[0], scenarios[0], build)
		t.Log(strings.Join(total.row(name), " | "))
		statsByPolicy = append(statsByPolicy, total)
	}
	choosePolicy := statsByPolicy[len(statsByPolicy)-1]
	for index, other := range statsByPolicy[:len(statsByPolicy)-1] {
		if choosePolicy.quantile(0.95) > other.quantile(0.95) {
			t.Errorf("p95 %.0f ms, baseline %d %.0f ms", choosePolicy.quantile(0.95), index, other.quantile(0.95))
		}
		if choosePolicy.cachedTokens <= other.cachedTokens {
			t.Errorf("%d cached tokens, baseline %d %d", choosePolicy.cachedTokens, index, other.cachedTokens)
		}
	}
}

// BenchmarkReport prints the full report.
func BenchmarkReport(b *testing.B) {
	for range b.N {
		report, err := Run(b.Context(), experiment.Options{Seed: 1, Seeds: 3})
		if err != nil {
			b.Fatal(err)
		}
		for _, table := range report.Tables {
			fmt.Printf("%s\n%s\n", table.Title, strings.Join(table.Columns, " | "))
			for _, row := range table.Rows {
				fmt.Println(strings.Join(row, " | "))
			}
		}
	}
}
