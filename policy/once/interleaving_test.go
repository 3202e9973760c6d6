package once

import (
	"flag"
	"testing"
)

// quickScenarios have few enough states to be enumerated in every test run.
var quickScenarios = []scenario{
	{"two entries, delayed write", []string{"a", "a"}, true, faultBudget{DelayedWrite: 1, Timeout: 1}, 2, 0},
	{"two entries, lost answer", []string{"a", "a"}, true, faultBudget{LostAnswer: 1, Refusal: 1}, 2, 0},
	{"two entries, restarts", []string{"a", "a"}, true, faultBudget{EntryCrash: 1, AgentCrash: 1, Timeout: 1}, 2, 0},
	{"two entries, duplicates", []string{"a", "a"}, true, faultBudget{Duplicate: 1, Timeout: 1}, 2, 0},
	{"two entries, released start", []string{"a", "a"}, true, faultBudget{LateStart: 1, BackendNotCalled: 1, Timeout: 1}, 2, 0},
	{"two entries, refusals", []string{"a", "a"}, true, faultBudget{Timeout: 1, Refusal: 1}, 2, 0},
	{"three requests, inactive start", []string{"a", "a", "a"}, true, faultBudget{BackendNotCalled: 1, StoreDown: 1}, 2, 1},
	{"another body", []string{"a", "b"}, true, faultBudget{Timeout: 1, Refusal: 1}, 2, 0},
	{"generated key", []string{"a"}, false, faultBudget{DelayedWrite: 1, StoreDown: 1, Timeout: 1, Refusal: 1}, 3, 0},
}

// fullScenarios take minutes to enumerate; run them with -args -full.
var fullScenarios = []scenario{
	{"two entries, store faults", []string{"a", "a"}, true, faultBudget{LostAnswer: 1, DelayedWrite: 1, Timeout: 1, Refusal: 1}, 3, 0},
	{"two entries, restarts", []string{"a", "a"}, true, faultBudget{EntryCrash: 1, AgentCrash: 1, Timeout: 1, StoreDown: 1, DelayedWrite: 1}, 3, 0},
	{"two entries, duplicates", []string{"a", "a"}, true, faultBudget{Duplicate: 1, Timeout: 1, Refusal: 1, BackendNotCalled: 1, DelayedWrite: 1}, 2, 0},
	{"two entries, late start", []string{"a", "a"}, true, faultBudget{LateStart: 1, DelayedWrite: 1, Timeout: 1, Refusal: 1}, 3, 0},
	{"three requests, one refused", []string{"a", "a", "a"}, true, faultBudget{Timeout: 1}, 3, 1},
	{"three requests, released start", []string{"a", "a", "a"}, true, faultBudget{BackendNotCalled: 1, StoreDown: 1}, 3, 1},
	{"three requests, refusals", []string{"a", "a", "a"}, true, faultBudget{Timeout: 1, Refusal: 2, DelayedWrite: 1}, 2, 0},
	{"another body", []string{"a", "b"}, true, faultBudget{Timeout: 1, DelayedWrite: 1, Refusal: 1}, 3, 0},
	{"generated key", []string{"a"}, false, faultBudget{LostAnswer: 1, DelayedWrite: 1, Timeout: 1, Refusal: 2, AgentCrash: 1, BackendNotCalled: 1}, 3, 0},
}

var full = flag.Bool("full", false, "also enumerate the large scenarios")

func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	settings := quickScenarios
	if *full {
		settings = append(settings, fullScenarios...)
	}
	for _, s := range settings {
		t.Run(s.name, func(t *testing.T) {
			x := explore(t, s)
			t.Logf("%d states, ends %v", len(x.visited), x.outcomes)
		})
	}
}
