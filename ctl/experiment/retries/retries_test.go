package retries

import (
	"fmt"
	"strings"
	"testing"

	"persimmonwind.dev/ctl/experiment"
)

const (
	maxAttemptsPerRequest = 1.2
	minGoodputShare       = 0.9
)

func TestRetriesStayBoundedWhenHalfOfTheServersStop(t *testing.T) {
	budgeted := policies[len(policies)-1]
	for seed := range uint64(2) {
		stopped, baseline := run(seed, budgeted, false), run(seed, budgeted, true)
		t.Logf("seed %d: %+v, remaining half alone %+v", seed, stopped, baseline)
		if got := stopped.attemptsPerRequest(); got >= maxAttemptsPerRequest {
			t.Errorf("seed %d: %.3f attempts per request", seed, got)
		}
		if share := float64(stopped.completed) / float64(baseline.completed); share < minGoodputShare {
			t.Errorf("seed %d: goodput is %.2f of that of the remaining half alone", seed, share)
		}
		if stopped.refusalsWithoutRetryAfter > 0 {
			t.Errorf("seed %d: %d refusals have no RetryAfter", seed, stopped.refusalsWithoutRetryAfter)
		}
	}
}

// BenchmarkReport prints the full report.
func BenchmarkReport(b *testing.B) {
	for range b.N {
		report, err := Run(b.Context(), experiment.Options{Seed: 1, Seeds: 10})
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
