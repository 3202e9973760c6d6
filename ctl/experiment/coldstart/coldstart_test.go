package coldstart

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"persimmonwind.dev/ctl/experiment"
)

// minThroughputShare is the minimum throughput, as a share of the throughput with
// the true limit known.
const minThroughputShare = 0.8

func TestColdServerIsNeverOverloadedAndThroughputStaysHigh(t *testing.T) {
	const seeds, length = 2, 90 * time.Second
	for _, sc := range scenarios {
		var policy, oracle runStats
		for seed := range uint64(seeds) {
			policy.add(run(seed, sc, length, false))
			oracle.add(run(seed, sc, length, true))
		}
		t.Logf("%s: %+v, known limit %+v", sc.name, policy, oracle)
		if policy.overloads != 0 {
			t.Errorf("%s: %d overloads", sc.name, policy.overloads)
		}
		if oracle.overloads != 0 {
			t.Errorf("%s: %d overloads with the known limit", sc.name, oracle.overloads)
		}
		if share := float64(policy.completed) / float64(oracle.completed); share < minThroughputShare {
			t.Errorf("%s: %.2f of the throughput with the known limit", sc.name, share)
		}
	}
}

// BenchmarkReport prints the full report.
func BenchmarkReport(b *testing.B) {
	for range b.N {
		report, err := Run(b.Context(), experiment.Options{Seed: 1, Seeds: 20})
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
