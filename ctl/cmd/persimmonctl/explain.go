package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"persimmonwind.dev/server/group"
)

func explainCommands() []*cobra.Command { return []*cobra.Command{newExplainCommand()} }

func newExplainCommand() *cobra.Command {
	var flags adminFlags
	command := &cobra.Command{
		Use:   "explain GROUP",
		Short: "Explain why the expert map of a group was changed or left unchanged",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			decision, err := client.Decision(command.Context(), args[0])
			if err != nil {
				return err
			}
			return printDecision(command.OutOrStdout(), flags.output, decision)
		},
	}
	flags.addTo(command)
	return command
}

func printDecision(w io.Writer, output string, decision group.Decision) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(decision)
	}
	_, err := fmt.Fprintf(w, "group %s, map %s, decided %s\n%s\nexperts to move %d, forecast skew %.3f, after the moves %.3f\n",
		decision.Group, decision.Map, decision.At.Format(time.RFC3339), decision.Reason,
		decision.Moves, decision.SkewBefore, decision.SkewAfter)
	return err
}
