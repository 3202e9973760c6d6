package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"persimmonwind.dev/ctl/report"
)

// reportFlags holds the flags of the report command.
type reportFlags struct {
	title      string
	outputFile string
	processes  []string
	samples    int
	interval   time.Duration
}

func reportCommands() []*cobra.Command {
	var flags reportFlags
	command := &cobra.Command{
		Use:   "report [FILE...]",
		Short: "Generate an HTML page from reports, load results or a running deployment",
		Long: "The page is self-contained. Files are reports written by\n" +
			"\"persimmonctl experiment --out\" and results written by\n" +
			"\"persimmonctl load --result\"; --process scrapes the metrics of running processes.",
		RunE: func(command *cobra.Command, paths []string) error {
			if err := buildReport(command.Context(), paths, flags); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "wrote", flags.outputFile)
			return nil
		},
	}
	set := command.Flags()
	set.StringVar(&flags.title, "title", "persimmonwind", "title of the page")
	set.StringVar(&flags.outputFile, "out", "report.html", "output file")
	set.StringSliceVar(&flags.processes, "process", nil, "base URLs of processes that serve /metrics: operator listeners of entries, health listeners of agents")
	set.IntVar(&flags.samples, "samples", 12, "number of scrapes of the metrics of the processes")
	set.DurationVar(&flags.interval, "interval", time.Second, "time between two scrapes")
	return []*cobra.Command{command}
}

func buildReport(ctx context.Context, paths []string, flags reportFlags) error {
	if len(paths) == 0 && len(flags.processes) == 0 {
		return errors.New("nothing to report: specify files or --process")
	}
	page := report.Page{Title: flags.title, GeneratedAt: time.Now()}
	if len(flags.processes) > 0 {
		section, err := report.Watch(ctx, flags.processes, flags.samples, flags.interval)
		if err != nil {
			return err
		}
		page.Sections = append(page.Sections, section)
	}
	for _, path := range paths {
		section, err := report.ReadFile(path)
		if err != nil {
			return err
		}
		page.Sections = append(page.Sections, section)
	}
	return writePage(flags.outputFile, page)
}

func writePage(path string, page report.Page) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return report.Write(file, page)
}
