package report

import (
	"encoding/json"
	"fmt"
	"os"

	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/ctl/load"
)

// ReadFile reads a result written by `persimmonctl load --result` or a report
// written by `persimmonctl experiment --out`.
func ReadFile(path string) (Section, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Section{}, fmt.Errorf("read report: %w", err)
	}
	var kind struct {
		Report   *experiment.Report `json:"report"`
		Arrivals *load.Arrivals     `json:"arrivals"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		return Section{}, fmt.Errorf("report %s is not valid JSON: %w", path, err)
	}
	if kind.Report != nil {
		return Section{Source: path, Report: *kind.Report}, nil
	}
	if kind.Arrivals == nil {
		return Section{}, fmt.Errorf("%s is neither an experiment report nor a load result", path)
	}
	var result load.Result
	if err := json.Unmarshal(text, &result); err != nil {
		return Section{}, fmt.Errorf("decode load result %s: %w", path, err)
	}
	return Section{Source: path, Report: result.Report()}, nil
}
