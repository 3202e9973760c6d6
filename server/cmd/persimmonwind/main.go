// Command persimmonwind runs one process of the system: an entry instance, an
// agent, a stand-in, or a whole development system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "persimmonwind:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var profiles string
	root := &cobra.Command{
		Use:           "persimmonwind",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return serveProfiles(profiles) }
	root.PersistentFlags().StringVar(&profiles, "pprof", "", "loopback address that serves the runtime's profiles (default: none)")
	root.AddCommand(newEntryCommand(), newAgentCommand(), newPlatformCommand(), newDevCommand(), newStandInCommand())
	return root
}

func newLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(os.Stderr)
	return logrus.NewEntry(logger)
}
