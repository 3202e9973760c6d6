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

// reportFlags are the flags of the report command.
type reportFlags struct {
	title     string
	file      string
	processes []string
	samples   int
	interval  time.Duration
}

func reportCommands() []*cobra.Command {
	var flags reportFlags
	command := &cobra.Command{
		Use:   "report [FILE...]",
		Short: "Make one HTML page of reports, load results or a running deployment",
		Long: "The page holds its plots and needs nothing else. Files are reports of\n" +
			"\"persimmonctl experiment --out\" and results of \"persimmonctl load --result\";\n" +
			"--process reads the metrics of running processes.",
		RunE: func(command *cobra.Command, paths []string) error {
			if err := makeReport(command.Context(), paths, flags); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "wrote", flags.file)
			return nil
		},
	}
	set := command.Flags()
	set.StringVar(&flags.title, "title", "persimmonwind", "title of the page")
	set.StringVar(&flags.file, "out", "report.html", "file for the page")
	set.StringSliceVar(&flags.processes, "process", nil, "base URLs of processes that serve /metrics: entries' operators' sockets, agents' health sockets")
	set.IntVar(&flags.samples, "samples", 12, "readings of the processes' metrics")
	set.DurationVar(&flags.interval, "interval", time.Second, "time between two readings")
	return []*cobra.Command{command}
}

func makeReport(ctx context.Context, paths []string, flags reportFlags) error {
	if len(paths) == 0 && len(flags.processes) == 0 {
		return errors.New("nothing to report on: give files or --process")
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
	return writePage(flags.file, page)
}

func writePage(path string, page report.Page) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return report.Write(file, page)
}
