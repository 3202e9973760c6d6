//go:build !platform_only

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"persimmonwind.dev/server/standin/engine"
	"persimmonwind.dev/server/standin/ranks"
	"persimmonwind.dev/server/standin/service"
	"persimmonwind.dev/server/standin/store"
)

func newStandInCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of the platform or of a backend server",
	}
	command.AddCommand(newStandInStoreCommand(), newStandInEngineCommand(), newStandInServiceCommand(), newStandInRanksCommand())
	return command
}

func newStandInStoreCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "store",
		Short: "Run the stand-in of the platform's store",
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, store.New().Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address")
	return command
}

func newStandInEngineCommand() *cobra.Command {
	var listen string
	options := engine.DefaultOptions()
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run the stand-in of a model engine",
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, engine.New(options).Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:9010", "address")
	flags.IntVar(&options.FullLimit, "full-limit", options.FullLimit, "concurrent generations when warm")
	flags.IntVar(&options.ColdLimit, "cold-limit", options.ColdLimit, "concurrent generations in cold start")
	flags.IntVar(&options.WarmAfter, "warm-after", options.WarmAfter, "completed generations until warm")
	flags.DurationVar(&options.TokenTime, "token-time", options.TokenTime, "time of one decode step")
	flags.DurationVar(&options.PrefillTime, "prefill-time", options.PrefillTime, "time for each prompt token that is not cached")
	flags.DurationVar(&options.ColdDelay, "cold-delay", options.ColdDelay, "time before the prefill in cold start")
	flags.DurationVar(&options.ReportLag, "report-lag", options.ReportLag, "age of the load report")
	flags.IntVar(&options.TokensPerPiece, "tokens-per-piece", options.TokensPerPiece, "tokens in one piece of the stream")
	flags.BoolVar(&options.IgnoreFence, "ignore-fence", false, "accept orders with outdated fencing numbers")
	return command
}

func newStandInServiceCommand() *cobra.Command {
	var listen string
	var workTime time.Duration
	command := &cobra.Command{
		Use:   "service",
		Short: "Run the stand-in of plain services",
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, service.New(workTime).Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:9020", "address")
	command.Flags().DurationVar(&workTime, "work-time", 20*time.Millisecond, "time that each run takes")
	return command
}

// serve serves the handler until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newStandInRanksCommand() *cobra.Command {
	var listen string
	options := ranks.DefaultOptions()
	command := &cobra.Command{
		Use:   "ranks",
		Short: "Run the stand-in of a group of ranks in lock-step",
		RunE: func(command *cobra.Command, _ []string) error {
			group := ranks.New(options)
			go group.Run(command.Context())
			return serve(command.Context(), listen, group.Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:9030", "address")
	flags.IntVar(&options.Shape.Ranks, "ranks", options.Shape.Ranks, "ranks of the group")
	flags.DurationVar(&options.StepTime, "step-time", options.StepTime, "time of one step")
	flags.BoolVar(&options.IgnoreFence, "ignore-fence", false, "accept orders with outdated fencing numbers")
	return command
}
