package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/configstore"
)

const (
	columnPadding    = 2
	watchInterval    = time.Second
	maxValueBytes    = 40 // Maximum length of a value in a table.
	maxListedChanges = 20 // Maximum number of changes listed for one audit record.
)

func newValidateCommand() *cobra.Command {
	return newCompareCommand("validate", "Validate files together with the accepted ones without applying them", func(out io.Writer, comparison adminapi.Comparison) error {
		_, err := fmt.Fprintf(out, "valid against revision %d; %d fields would change\n", comparison.Base, len(comparison.Changes))
		return err
	})
}

func newDiffCommand() *cobra.Command {
	return newCompareCommand("diff", "Show the fields that files would change", func(out io.Writer, comparison adminapi.Comparison) error {
		fmt.Fprintf(out, "compared with revision %d\n", comparison.Base)
		return printChanges(out, comparison.Changes)
	})
}

func newCompareCommand(name, short string, print func(io.Writer, adminapi.Comparison) error) *cobra.Command {
	var flags adminFlags
	command := &cobra.Command{
		Use:   name + " FILE|DIRECTORY...",
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			files, err := readFiles(paths)
			if err != nil {
				return err
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			comparison, err := client.Compare(command.Context(), files)
			if err != nil {
				return err
			}
			if flags.output == "json" {
				return printJSON(command.OutOrStdout(), comparison)
			}
			return print(command.OutOrStdout(), comparison)
		},
	}
	flags.addTo(command)
	return command
}

func newGetCommand() *cobra.Command {
	var flags adminFlags
	var revision uint64
	command := &cobra.Command{
		Use:       "get [FILE]",
		Short:     "Print an accepted file, or list the accepted files",
		Args:      cobra.MaximumNArgs(1),
		ValidArgs: config.FileNames,
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				configuration, err := client.Configuration(command.Context())
				if err != nil {
					return err
				}
				return printJSON(command.OutOrStdout(), configuration)
			}
			text, read, err := client.File(command.Context(), args[0], revision)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.ErrOrStderr(), "revision %d\n", read)
			_, err = command.OutOrStdout().Write(text)
			return err
		},
	}
	flags.addTo(command)
	command.Flags().Uint64Var(&revision, "revision", 0, "revision to read (default: the accepted one)")
	return command
}

func newOutcomeCommand() *cobra.Command {
	var flags adminFlags
	command := &cobra.Command{
		Use:   "outcome ID",
		Short: "Show the outcome of a change whose outcome was unknown",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			accepted, err := client.Outcome(command.Context(), args[0])
			if err != nil {
				return err
			}
			return printJSON(command.OutOrStdout(), accepted)
		},
	}
	flags.addTo(command)
	return command
}

func newAuditCommand() *cobra.Command {
	var flags adminFlags
	var after uint64
	var limit int
	var verify bool
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show the audit records: who changed which fields, and when",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			if verify {
				verification, err := client.Verify(command.Context())
				if err != nil {
					return err
				}
				fmt.Fprintf(command.OutOrStdout(), "the chain of %d records is intact\n", verification.Records)
				return nil
			}
			var from *uint64
			if command.Flags().Changed("after") {
				from = &after
			}
			records, err := client.Audit(command.Context(), from, limit)
			if err != nil {
				return err
			}
			if flags.output == "json" {
				return printJSON(command.OutOrStdout(), records)
			}
			return printAudit(command.OutOrStdout(), records)
		},
	}
	flags.addTo(command)
	command.Flags().Uint64Var(&after, "after", 0, "show records after this revision (default: the newest records)")
	command.Flags().IntVar(&limit, "limit", 20, "maximum number of records")
	command.Flags().BoolVar(&verify, "verify", false, "verify the audit chain instead of printing records")
	return command
}

func newStatusCommand() *cobra.Command {
	var flags adminFlags
	var watch bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Show which revision of each file is in force in every process",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			for {
				status, err := client.Status(command.Context())
				if err != nil {
					return err
				}
				if err := printStatus(command.OutOrStdout(), flags.output, status); err != nil || !watch {
					return err
				}
				select {
				case <-time.After(watchInterval):
				case <-command.Context().Done():
					return nil
				}
			}
		},
	}
	flags.addTo(command)
	command.Flags().BoolVar(&watch, "watch", false, "refresh every second")
	return command
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printChanges(out io.Writer, changes []config.Change) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	for _, change := range changes {
		fmt.Fprintf(table, "%s\t%s\t->\t%s\n", change.Path, shortenValue(change.Old), shortenValue(change.New))
	}
	return table.Flush()
}

// shortenValue truncates a value to maxValueBytes for a table.
func shortenValue(value string) string {
	switch {
	case value == "":
		return "(none)"
	case len(value) > maxValueBytes:
		return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
	}
	return value
}

func printAudit(out io.Writer, records []configstore.Record) error {
	for _, record := range records {
		fmt.Fprintf(out, "revision %d  %s  %s  %s  through %s\n", record.Revision, record.At.Format(time.RFC3339), record.Operator, record.Kind, record.Entry)
		listed := record.Changes[:min(len(record.Changes), maxListedChanges)]
		if err := printChanges(out, listed); err != nil {
			return err
		}
		if more := len(record.Changes) - len(listed); more > 0 {
			fmt.Fprintf(out, "and %d more fields; use --output json to show all\n", more)
		}
	}
	return nil
}

func printStatus(out io.Writer, format string, status adminapi.Status) error {
	if format == "json" {
		return printJSON(out, status)
	}
	source := "accepted"
	if !status.FromStore {
		source = "newest known; the store is unreachable"
	}
	fmt.Fprintf(out, "revision %d (%s)\n", status.Revision, source)
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprint(table, "PROCESS\tDATA CENTRE\tREVISION")
	for _, name := range config.FileNames {
		fmt.Fprintf(table, "\t%s", strings.ToUpper(name))
	}
	fmt.Fprintln(table, "\tCURRENT\tSTATE")
	for _, process := range status.Processes {
		printProcess(table, status, process)
	}
	return table.Flush()
}

func printProcess(table io.Writer, status adminapi.Status, process adminapi.Process) {
	fmt.Fprintf(table, "%s\t%s\t%d", process.ID, process.DataCentre, process.Revision)
	for _, name := range config.FileNames {
		fmt.Fprintf(table, "\t%d", process.Files[name])
	}
	age := "unknown"
	if process.CurrentAgeMS >= 0 {
		age = fmt.Sprintf("%.1f s ago", float64(process.CurrentAgeMS)/1000)
	}
	fmt.Fprintf(table, "\t%s\t%s\n", age, processState(status, process))
}

func processState(status adminapi.Status, process adminapi.Process) string {
	switch {
	case !process.Answered:
		return "no answer"
	case process.Revision < status.Revision:
		return "behind"
	case process.Leaving:
		return "leaving"
	}
	return "in force"
}
