package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"persimmonwind.dev/ctl/chart"
	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/ctl/experiment/choice"
	"persimmonwind.dev/ctl/experiment/coldstart"
	"persimmonwind.dev/ctl/experiment/datacentre"
	"persimmonwind.dev/ctl/experiment/evidence"
	"persimmonwind.dev/ctl/experiment/expertmaps"
	"persimmonwind.dev/ctl/experiment/retries"
	"persimmonwind.dev/ctl/experiment/shares"
)

// experiments lists every named experiment.
var experiments = []experiment.Experiment{
	choice.Experiment,
	coldstart.Experiment,
	datacentre.Experiment,
	evidence.Experiment,
	expertmaps.Experiment,
	retries.Experiment,
	shares.Experiment,
}

func experimentCommands() []*cobra.Command {
	list := &cobra.Command{
		Use:   "experiments",
		Short: "List the named experiments",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			for _, e := range experiments {
				fmt.Fprintf(command.OutOrStdout(), "%-24s %s\n", e.Name, e.Summary)
			}
		},
	}
	return []*cobra.Command{list, newExperimentCommand()}
}

// experimentFlags holds the flags of the experiment command.
type experimentFlags struct {
	options   experiment.Options
	all       bool
	directory string
	output    string
}

// namedReport is a report with the name and options of its experiment.
type namedReport struct {
	Name   string            `json:"name"`
	Seed   uint64            `json:"seed"`
	Seeds  int               `json:"seeds"`
	Quick  bool              `json:"quick"`
	Report experiment.Report `json:"report"`
}

func newExperimentCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "experiment NAME | --all",
		Short: "Compare policies over the same seeds in tables and plots",
		Long: "Run one named experiment, or all of them. Tables are printed to the terminal.\n" +
			"With --out, plots are written as PNG files and each report as JSON,\n" +
			"which \"persimmonctl report\" renders as a page.",
		Args: cobra.MaximumNArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return experimentNames(), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(command *cobra.Command, names []string) error {
			return runExperiments(command.Context(), command.OutOrStdout(), names, flags)
		},
	}
	set := command.Flags()
	set.Uint64Var(&flags.options.Seed, "seed", 1, "first seed")
	set.IntVar(&flags.options.Seeds, "seeds", 5, "number of seeds")
	set.BoolVar(&flags.options.Quick, "quick", false, "run with smaller sizes for a quick overview")
	set.BoolVar(&flags.all, "all", false, "run every experiment")
	set.StringVar(&flags.directory, "out", "", "directory for the plots (PNG) and reports (JSON)")
	set.StringVar(&flags.output, "output", "table", "format of the output on the terminal: table or json")
	return command
}

func experimentNames() []string {
	names := make([]string, 0, len(experiments))
	for _, e := range experiments {
		names = append(names, e.Name)
	}
	slices.Sort(names)
	return names
}

func selectExperiments(names []string, all bool) ([]experiment.Experiment, error) {
	if all == (len(names) > 0) {
		return nil, fmt.Errorf("specify either the name of an experiment or --all; the names are %v", experimentNames())
	}
	if all {
		return experiments, nil
	}
	for _, e := range experiments {
		if e.Name == names[0] {
			return []experiment.Experiment{e}, nil
		}
	}
	return nil, fmt.Errorf("experiment %q does not exist; the names are %v", names[0], experimentNames())
}

// runExperiments runs the selected experiments. A failed one does not stop the
// others.
func runExperiments(ctx context.Context, w io.Writer, names []string, flags experimentFlags) error {
	if flags.output != "table" && flags.output != "json" {
		return fmt.Errorf("--output is %q, must be table or json", flags.output)
	}
	if flags.options.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, must be at least 1", flags.options.Seeds)
	}
	selected, err := selectExperiments(names, flags.all)
	if err != nil {
		return err
	}
	var failures []error
	for _, e := range selected {
		if err := runExperiment(ctx, w, e, flags); err != nil {
			failures = append(failures, fmt.Errorf("experiment %q: %w", e.Name, err))
		}
	}
	return errors.Join(failures...)
}

func runExperiment(ctx context.Context, w io.Writer, e experiment.Experiment, flags experimentFlags) error {
	report, err := e.Run(ctx, flags.options)
	if err != nil {
		return err
	}
	named := namedReport{
		Name: e.Name, Seed: flags.options.Seed, Seeds: flags.options.Seeds,
		Quick: flags.options.Quick, Report: report,
	}
	if err := printReport(w, named, flags.output); err != nil {
		return err
	}
	if flags.directory == "" {
		return nil
	}
	return saveReport(w, flags, named)
}

func printReport(w io.Writer, named namedReport, format string) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(named)
	}
	if err := named.Report.WriteText(w); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

func saveReport(w io.Writer, flags experimentFlags, named namedReport) error {
	if err := os.MkdirAll(flags.directory, 0o755); err != nil {
		return fmt.Errorf("create directory for reports: %w", err)
	}
	body, err := json.MarshalIndent(named, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	paths := []string{filepath.Join(flags.directory, named.Name+".json")}
	if err := os.WriteFile(paths[0], body, 0o644); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	for _, plot := range named.Report.Plots {
		path, err := chart.SavePNG(flags.directory, plot)
		if err != nil {
			return err
		}
		paths = append(paths, path)
	}
	if flags.output == "table" {
		for _, path := range paths {
			fmt.Fprintf(w, "wrote %s\n", path)
		}
	}
	return nil
}
