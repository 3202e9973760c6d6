//go:build !platform_only

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"persimmonwind.dev/server/dev"
)

const (
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 10 * time.Second
)

func newDevCommand() *cobra.Command {
	var options dev.Options
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole development system in one process, on loopback",
		RunE: func(command *cobra.Command, _ []string) error {
			for _, address := range []string{options.Listen, options.Admin} {
				if err := dev.CheckLoopback(address); err != nil {
					return err
				}
			}
			options.Log = newLog()
			system, err := dev.New(options)
			if err != nil {
				return err
			}
			go printUsageWhenReady(command.Context(), command.OutOrStdout(), system)
			return system.Run(command.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Listen, "listen", "127.0.0.1:8080", "address for callers")
	flags.StringVar(&options.Admin, "admin", "127.0.0.1:8081", "address for operators")
	flags.StringVar(&options.ConfigDir, "config", "", "directory of configuration files (default: the embedded ones)")
	return command
}

// printUsageWhenReady prints how to use the system once every entry is ready.
func printUsageWhenReady(ctx context.Context, out io.Writer, system *dev.System) {
	for _, entry := range system.Entries {
		if !awaitReady(ctx, "http://"+entry.Callers+"/readyz") {
			return
		}
	}
	fmt.Fprint(out, system.Usage())
}

func awaitReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, err := http.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(readyPollInterval)
	}
	return false
}
