package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"persimmonwind.dev/ctl/adminclient"
	"persimmonwind.dev/server/admin/adminapi"
)

// changeFlags are common to all commands that change the configuration.
type changeFlags struct {
	adminFlags
	id       string
	revision uint64
	wait     bool
	timeout  time.Duration
	allOut   bool
}

func (f *changeFlags) addTo(command *cobra.Command, revision bool) {
	f.adminFlags.addTo(command)
	set := command.Flags()
	set.StringVar(&f.id, "id", "", "ID of the change; a repeat with the same one returns the first outcome (default: a new one)")
	set.BoolVar(&f.wait, "wait", false, "wait until the change is in force everywhere, or name who lacks it")
	set.DurationVar(&f.timeout, "timeout", waitLimit, "longest time to wait")
	set.BoolVar(&f.allOut, "allow-last-data-centre", false, "permit that no data centre is left in service")
	if revision {
		set.Uint64Var(&f.revision, "revision", 0, "revision that the change was made against (default: the accepted one)")
	}
}

// change makes one change and reports it.
func (f *changeFlags) change(command *cobra.Command, make func(context.Context, *adminclient.Client) (adminapi.Accepted, error)) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	if f.id == "" {
		f.id = uuid.NewString()
	}
	ctx := command.Context()
	accepted, err := make(ctx, client)
	if err != nil {
		return fmt.Errorf("change %s: %w", f.id, err)
	}
	if f.output == "json" {
		err = printJSON(command.OutOrStdout(), accepted)
	} else {
		err = printAccepted(command.OutOrStdout(), accepted)
	}
	if err != nil || !f.wait {
		return err
	}
	if _, err := client.WaitForRevision(ctx, accepted.Revision, f.timeout); err != nil {
		return err
	}
	fmt.Fprintf(command.ErrOrStderr(), "revision %d is in force everywhere\n", accepted.Revision)
	return nil
}

// base returns the revision to change against.
func (f *changeFlags) base(ctx context.Context, client *adminclient.Client) (uint64, error) {
	if f.revision > 0 {
		return f.revision, nil
	}
	configuration, err := client.Configuration(ctx)
	return configuration.Revision, err
}

func newApply() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "apply FILE|DIRECTORY...",
		Short: "Accept whole configuration files",
		Long: "Files are named as in data_centres.jsonc. All files given are accepted in one\n" +
			"step or not at all. Give --revision to be refused where another change was\n" +
			"accepted since you read that revision.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			files, err := readFiles(paths)
			if err != nil {
				return err
			}
			return flags.change(command, func(ctx context.Context, client *adminclient.Client) (adminapi.Accepted, error) {
				base, err := flags.base(ctx, client)
				if err != nil {
					return adminapi.Accepted{}, err
				}
				return client.Apply(ctx, base, adminapi.ApplyRequest{ID: flags.id, Files: files, AllowLastDataCentre: flags.allOut})
			})
		},
	}
	flags.addTo(command, true)
	return command
}

func newRollback() *cobra.Command {
	var flags changeFlags
	var to uint64
	command := &cobra.Command{
		Use:   "rollback --to REVISION",
		Short: "Accept the files of an earlier revision as a new one",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.change(command, func(ctx context.Context, client *adminclient.Client) (adminapi.Accepted, error) {
				base, err := flags.base(ctx, client)
				if err != nil {
					return adminapi.Accepted{}, err
				}
				return client.Rollback(ctx, base, adminapi.RollbackRequest{ID: flags.id, Revision: to, AllowLastDataCentre: flags.allOut})
			})
		},
	}
	flags.addTo(command, true)
	command.Flags().Uint64Var(&to, "to", 0, "revision whose files to accept anew")
	_ = command.MarkFlagRequired("to")
	return command
}

func newTarget(name, short string, out bool) *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:               name + " data-centre|backend-server NAME",
		Short:             short,
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeTargets,
		RunE: func(command *cobra.Command, args []string) error {
			path, err := targetPath(args[0])
			if err != nil {
				return err
			}
			return flags.change(command, func(ctx context.Context, client *adminclient.Client) (adminapi.Accepted, error) {
				return client.SetTakenOut(ctx, path, args[1], out, adminapi.TargetRequest{ID: flags.id, AllowLastDataCentre: flags.allOut})
			})
		},
	}
	flags.addTo(command, false)
	return command
}

func printAccepted(out io.Writer, accepted adminapi.Accepted) error {
	if accepted.Unchanged {
		_, err := fmt.Fprintf(out, "unchanged: these files are in revision %d already\n", accepted.Revision)
		return err
	}
	fmt.Fprintf(out, "accepted as revision %d; %d of %d other processes reached at once\n", accepted.Revision, accepted.Reached, accepted.Processes)
	return printChanges(out, accepted.Changes)
}
