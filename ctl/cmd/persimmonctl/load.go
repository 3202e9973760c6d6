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

func loadCommands() []*cobra.Command { return []*cobra.Command{newLoad()} }

// loadFlags are the flags of the load command beside load.Options.
type loadFlags struct {
	options load.Options
	calls   []string
	output  string
	file    string
	quiet   bool
}

func newLoad() *cobra.Command {
	flags := loadFlags{options: load.DefaultOptions()}
	command := &cobra.Command{
		Use:   "load",
		Short: "Send a drawn workload and measure what callers see",
		Long: "Requests arrive on their schedule whatever became of earlier ones, and\n" +
			"latencies count from the intended start. Every answer is checked by its\n" +
			"content. The exit code is 1 where an answer was cut or another request's.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runLoad(command.Context(), command.OutOrStdout(), command.ErrOrStderr(), flags)
		},
	}
	addTargetFlags(command, &flags)
	addWorkloadFlags(command, &flags)
	set := command.Flags()
	set.StringVar(&flags.output, "output", "table", "what goes to the terminal: table or json")
	set.StringVar(&flags.file, "result", "", "file for the JSON result")
	set.BoolVar(&flags.quiet, "quiet", false, "show no progress")
	return command
}

func addTargetFlags(command *cobra.Command, flags *loadFlags) {
	set, options := command.Flags(), &flags.options
	set.StringSliceVar(&options.Entries, "entry", options.Entries, "base URLs of entries, used in turn")
	set.StringSliceVar(&options.Engines, "engine", nil, "base URLs of stand-in engines, for a comparison with the way through the entries")
	set.Float64Var(&options.DirectShare, "direct", options.DirectShare, "share of chats that go straight to the engines, if any are given")
	set.StringSliceVar(&options.Keys, "key", options.Keys, "organisation keys, drawn evenly")
	set.BoolVar(&options.AllowRemote, "allow-remote", false, "allow targets that are not on this machine")
	set.DurationVar(&options.Timeout, "timeout", options.Timeout, "longest time of a request with its retries")
	set.IntVar(&options.MaxRetries, "retries", 0, "most repeats of a refused request")
	set.BoolVar(&options.HonourRetryAfter, "retry-after", options.HonourRetryAfter, "wait as Retry-After asks before a repeat")
	set.IntVar(&options.MaxInFlight, "in-flight", options.MaxInFlight, "most requests at a time; arrivals beyond it are dropped and counted")
	set.BoolVar(&options.Verify, "verify", options.Verify, "check each answer against the stand-ins' content")
}

func addWorkloadFlags(command *cobra.Command, flags *loadFlags) {
	set, options := command.Flags(), &flags.options
	arrivals, work := &options.Arrivals, &options.Workload
	set.Uint64Var(&options.Seed, "seed", options.Seed, "seed of arrivals and requests")
	set.StringVar((*string)(&arrivals.Shape), "arrivals", string(arrivals.Shape), "constant, poisson or surge")
	set.Float64Var(&arrivals.Rate, "rate", arrivals.Rate, "requests a second")
	set.DurationVar(&arrivals.SurgeAt, "surge-at", 0, "start of the surge")
	set.DurationVar(&arrivals.SurgeDuration, "surge-for", 0, "length of the surge")
	set.Float64Var(&arrivals.SurgeFactor, "surge-factor", arrivals.SurgeFactor, "how many times the rate during the surge")
	set.DurationVar(&options.Duration, "duration", options.Duration, "time during which requests arrive")
	set.DurationVar(&options.WarmUp, "warm-up", options.WarmUp, "first part of the duration, not counted")
	set.StringVar(&work.Model, "model", work.Model, "model of the chats")
	set.IntVar(&work.MinTokens, "min-tokens", work.MinTokens, "fewest tokens of an answer")
	set.IntVar(&work.MaxTokens, "max-tokens", work.MaxTokens, "most tokens of an answer")
	set.IntVar(&work.PromptWords, "prompt-words", work.PromptWords, "words of a prompt's own part")
	set.IntVar(&work.Prefixes, "prefixes", work.Prefixes, "number of prompt prefixes that requests share, 0 for none")
	set.IntVar(&work.PrefixWords, "prefix-words", work.PrefixWords, "words of a shared prefix")
	set.StringSliceVar(&flags.calls, "call", nil, "plain services' calls as service/operation=share; \"none\" for chats only (default registry/lookup=0.1,certifications/stamp=0.05)")
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
	if faulty := result.InvalidAnswers(); faulty > 0 {
		return fmt.Errorf("%d answers were cut or another request's", faulty)
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
	fmt.Fprintf(w, "\r%5.1f s  arrived %d  in flight %d  whole %d  refused %d  other %d  %.0f tokens/s   ",
		p.Elapsed.Seconds(), p.Arrived, p.InFlight, p.Whole, p.Refused, p.Other, rate)
}

func writeLoadResult(out io.Writer, flags loadFlags, result load.Result) error {
	body, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if flags.file != "" {
		if err := os.WriteFile(flags.file, body, 0o644); err != nil {
			return fmt.Errorf("save result: %w", err)
		}
	}
	if flags.output == "json" {
		_, err = fmt.Fprintf(out, "%s\n", body)
		return err
	}
	return result.Report().WriteText(out)
}
