// Command persimmonctl is the command-line tool for operators of persimmonwind.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "persimmonctl:", err)
		os.Exit(exitCode(err))
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "persimmonctl",
		Short:         "Operate a persimmonwind system",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(configurationCommands()...)
	root.AddCommand(explainCommands()...)
	root.AddCommand(loadCommands()...)
	root.AddCommand(experimentCommands()...)
	root.AddCommand(reportCommands()...)
	return root
}
