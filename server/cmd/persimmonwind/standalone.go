//go:build !platform_only

package main

import "github.com/spf13/cobra"

// addStandaloneCommands adds the commands that the users' platform does not run: the
// product's own entry and agent, the stand-ins and the development system.
func addStandaloneCommands(root *cobra.Command) {
	var profiles string
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return serveProfiles(profiles) }
	root.PersistentFlags().StringVar(&profiles, "pprof", "", "loopback address that serves the runtime's profiles (default: none)")
	root.AddCommand(newEntryCommand(), newAgentCommand(), newDevCommand(), newStandInCommand())
}
