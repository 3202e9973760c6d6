package shares

import (
	"fmt"
	"strings"
	"testing"

	"persimmonwind.dev/ctl/experiment"
)

func TestLimitsHoldAcrossEntries(t *testing.T) {
	for _, sz := range sizes[:2] {
		result := run(1, sz, false).summary()
		t.Logf("%+v: %+v", sz, result)
		if result.minBusyRate < 1-tolerance || result.maxBusyRate > 1+tolerance {
			t.Errorf("%d entries: busy organisations got %.2f to %.2f of their limits", sz.entries, result.minBusyRate, result.maxBusyRate)
		}
		if result.orgsBeyondBurst > 0 {
			t.Errorf("%d entries: %d organisations got more than their limit and one burst", sz.entries, result.orgsBeyondBurst)
		}
		if result.maxSlotsInUse > 1 {
			t.Errorf("%d entries: up to %.2f of the limit of slots in use", sz.entries, result.maxSlotsInUse)
		}
	}
}

// BenchmarkReport prints the full report.
func BenchmarkReport(b *testing.B) {
	for range b.N {
		report, err := Run(b.Context(), experiment.Options{Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
		fmt.Println(strings.Join(report.Tables[0].Columns, " | "))
		for _, row := range report.Tables[0].Rows {
			fmt.Println(strings.Join(row, " | "))
		}
	}
}
