package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"persimmonwind.dev/ctl/load"
)

func loadCommands() []*cobra.Command { return []*cobra.Command{newLoadCommand()} }

// loadFlags holds the flags of the load command.
type loadFlags struct {
	options    load.Options
	calls      []string
	output     string
	resultFile string
	quiet      bool
}

func newLoadCommand() *cobra.Command {
	flags := loadFlags{options: load.DefaultOptions()}
	command := &cobra.Command{
		Use:   "load",
		Short: "Generate load and measure what callers see",
		Long: "Requests start on schedule without waiting for earlier ones, and latencies\n" +
			"are measured from the intended start. The content of every answer is checked.\n" +
			"The exit code is 1 if an answer was truncated or belongs to another request.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runLoad(command.Context(), command.OutOrStdout(), command.ErrOrStderr(), flags)
		},
	}
	addTargetFlags(command, &flags)
	addWorkloadFlags(command, &flags)
	set := command.Flags()
	set.StringVar(&flags.output, "output", "table", "format of the output on the terminal: table or json")
	set.StringVar(&flags.resultFile, "result", "", "file for the JSON result")
	set.BoolVar(&flags.quiet, "quiet", false, "do not show progress")
	return command
}

func addTargetFlags(command *cobra.Command, flags *loadFlags) {
	set, options := command.Flags(), &flags.options
	set.StringSliceVar(&options.Entries, "entry", options.Entries, "base URLs of entries, used in round-robin order")
	set.StringSliceVar(&options.Engines, "engine", nil, "base URLs of stand-in engines, for a comparison with requests through the entries")
	set.Float64Var(&options.DirectShare, "direct", options.DirectShare, "share of chats sent directly to the engines, if any are given")
	set.StringSliceVar(&options.Keys, "key", options.Keys, "organisation keys, chosen uniformly at random")
	set.BoolVar(&options.AllowRemote, "allow-remote", false, "allow targets that are not on this machine")
	set.DurationVar(&options.Timeout, "timeout", options.Timeout, "timeout of a request including its retries")
	set.IntVar(&options.MaxRetries, "retries", 0, "maximum number of retries of a refused request")
	set.BoolVar(&options.HonourRetryAfter, "retry-after", options.HonourRetryAfter, "wait for the Retry-After time before a retry")
	set.IntVar(&options.MaxInFlight, "in-flight", options.MaxInFlight, "maximum number of concurrent requests; arrivals beyond it are counted as dropped")
	set.BoolVar(&options.Verify, "verify", options.Verify, "compare each answer with the one expected from the stand-in engine or service")
}

func addWorkloadFlags(command *cobra.Command, flags *loadFlags) {
	set, options := command.Flags(), &flags.options
	arrivals, workload := &options.Arrivals, &options.Workload
	set.Uint64Var(&options.Seed, "seed", options.Seed, "random seed of arrivals and requests")
	set.StringVar((*string)(&arrivals.Shape), "arrivals", string(arrivals.Shape), "arrival shape: constant, poisson or surge")
	set.Float64Var(&arrivals.Rate, "rate", arrivals.Rate, "requests per second")
	set.DurationVar(&arrivals.SurgeStart, "surge-at", 0, "start of the surge, from the start of the run")
	set.DurationVar(&arrivals.SurgeDuration, "surge-for", 0, "duration of the surge")
	set.Float64Var(&arrivals.SurgeFactor, "surge-factor", arrivals.SurgeFactor, "factor by which the surge multiplies the rate")
	set.DurationVar(&options.Duration, "duration", options.Duration, "time during which requests arrive")
	set.DurationVar(&options.WarmUp, "warm-up", options.WarmUp, "initial part of the duration whose requests are not counted")
	set.StringVar(&workload.Model, "model", workload.Model, "model of the chats")
	set.IntVar(&workload.MinTokens, "min-tokens", workload.MinTokens, "minimum number of tokens in an answer")
	set.IntVar(&workload.MaxTokens, "max-tokens", workload.MaxTokens, "maximum number of tokens in an answer")
	set.IntVar(&workload.PromptWords, "prompt-words", workload.PromptWords, "words in the unique part of a prompt")
	set.IntVar(&workload.Prefixes, "prefixes", workload.Prefixes, "number of distinct prompt prefixes shared by requests, 0 for none")
	set.IntVar(&workload.PrefixWords, "prefix-words", workload.PrefixWords, "words in a shared prefix")
	set.StringSliceVar(&flags.calls, "call", nil, "calls of plain services as service/operation=share; \"none\" for chats only (default registry/lookup=0.1,certifications/stamp=0.05)")
}

func runLoad(ctx context.Context, out, progress io.Writer, flags loadFlags) error {
	if flags.output != "table" && flags.output != "json" {
		return fmt.Errorf("--output is %q, must be table or json", flags.output)
	}
	if err := parseCalls(&flags); err != nil {
		return err
	}
	var report func(load.Progress)
	if !flags.quiet {
		report = func(p load.Progress) { printProgress(progress, p) }
	}
	result, err := load.Run(ctx, flags.options, report)
	if err != nil {
		return err
	}
	if !flags.quiet {
		fmt.Fprintln(progress)
	}
	if err := writeLoadResult(out, flags, result); err != nil {
		return err
	}
	if invalid := result.InvalidAnswers(); invalid > 0 {
		return fmt.Errorf("%d answers were truncated or belong to another request", invalid)
	}
	return nil
}

func parseCalls(flags *loadFlags) error {
	if len(flags.calls) == 0 {
		return nil
	}
	flags.options.Workload.Calls = nil
	if len(flags.calls) == 1 && flags.calls[0] == "none" {
		return nil
	}
	for _, text := range flags.calls {
		call, err := load.ParseServiceCall(text)
		if err != nil {
			return err
		}
		flags.options.Workload.Calls = append(flags.options.Workload.Calls, call)
	}
	return nil
}

func printProgress(w io.Writer, p load.Progress) {
	rate := float64(p.Tokens) / max(p.Elapsed.Seconds(), 1)
	fmt.Fprintf(w, "\r%5.1f s  arrived %d  in flight %d  complete %d  refused %d  other %d  %.0f tokens/s   ",
		p.Elapsed.Seconds(), p.Arrived, p.InFlight, p.Completed, p.Refused, p.Other, rate)
}

func writeLoadResult(out io.Writer, flags loadFlags, result load.Result) error {
	body, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if flags.resultFile != "" {
		if err := os.WriteFile(flags.resultFile, body, 0o644); err != nil {
			return fmt.Errorf("save result: %w", err)
		}
	}
	if flags.output == "json" {
		_, err = fmt.Fprintf(out, "%s\n", body)
		return err
	}
	return result.Report().WriteText(out)
}
