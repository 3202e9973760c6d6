package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/ctl/experiment"
)

func fakeExperiments() []experiment.Experiment {
	return []experiment.Experiment{
		{Name: "broken", Run: func(context.Context, experiment.Options) (experiment.Report, error) {
			return experiment.Report{}, errors.New("no workload")
		}},
		{Name: "wait", Run: func(_ context.Context, options experiment.Options) (experiment.Report, error) {
			line := experiment.Series{Name: "ours", X: []float64{1, 2}, Y: []float64{1, float64(options.Seeds)}}
			return experiment.Report{Title: "Wait", Plots: []experiment.Plot{{Name: "wait", Series: []experiment.Series{line}}}}, nil
		}},
	}
}

func runTool(arguments ...string) (string, error) {
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(arguments)
	err := root.Execute()
	return out.String(), err
}

func TestExperimentCommand(t *testing.T) {
	registered := experiments
	experiments = fakeExperiments()
	t.Cleanup(func() { experiments = registered })

	Convey("With two experiments of which one fails", t, func() {
		Convey("--all runs both, saves the report of the successful one and names the failed one", func() {
			directory := t.TempDir()
			_, err := runTool("experiment", "--all", "--seeds", "3", "--out", directory)
			So(err.Error(), ShouldContainSubstring, `experiment "broken": no workload`)
			body, err := os.ReadFile(filepath.Join(directory, "wait.json"))
			So(err, ShouldBeNil)
			var saved namedReport
			So(json.Unmarshal(body, &saved), ShouldBeNil)
			So(saved.Report.Plots[0].Series[0].Y, ShouldResemble, []float64{1, 3})
			_, err = os.Stat(filepath.Join(directory, "wait.png"))
			So(err, ShouldBeNil)
		})
		Convey("--output json writes one JSON report", func() {
			out, err := runTool("experiment", "wait", "--output", "json")
			So(err, ShouldBeNil)
			var printed namedReport
			So(json.Unmarshal([]byte(out), &printed), ShouldBeNil)
			So(printed.Name, ShouldEqual, "wait")
		})
		Convey("an unknown name lists the known ones", func() {
			_, err := runTool("experiment", "speed")
			So(err.Error(), ShouldEqual, `experiment "speed" does not exist; the names are [broken wait]`)
		})
	})
}
