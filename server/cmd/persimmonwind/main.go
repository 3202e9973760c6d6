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

	"persimmonwind.dev/server/buildinfo"
	"persimmonwind.dev/server/logevent"
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
	root := &cobra.Command{
		Use:           "persimmonwind",
		Short:         "Load balancer for expert-parallel model groups",
		Version:       buildinfo.Revision(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand())
	addStandaloneCommands(root)
	return root
}

func newLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(os.Stderr)
	return logrus.NewEntry(logger)
}

// logStart logs the start of a process with the fields and the program's revision.
func logStart(log *logrus.Entry, fields logrus.Fields) {
	fields["revision"] = buildinfo.Revision()
	logevent.Write(log, logevent.ProcessStarted, fields)
}

// logExit logs whether the process stopped or failed, and returns err.
func logExit(log *logrus.Entry, err error) error {
	if err != nil {
		logevent.Write(log, logevent.ProcessFailed, logrus.Fields{"error": err.Error()})
		return err
	}
	logevent.Write(log, logevent.ProcessStopped, nil)
	return nil
}
