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

// changeFlags holds the flags common to all commands that change the
// configuration.
type changeFlags struct {
	adminFlags
	id                  string
	revision            uint64
	wait                bool
	timeout             time.Duration
	allowLastDataCentre bool
}

func (f *changeFlags) addTo(command *cobra.Command, revision bool) {
	f.adminFlags.addTo(command)
	set := command.Flags()
	set.StringVar(&f.id, "id", "", "ID of the change; a retry with the same ID returns the first outcome (default: a new ID)")
	set.BoolVar(&f.wait, "wait", false, "wait until the change is in force everywhere, or list the processes where it is not")
	set.DurationVar(&f.timeout, "timeout", defaultWaitTimeout, "maximum time to wait")
	set.BoolVar(&f.allowLastDataCentre, "allow-last-data-centre", false, "allow a change that leaves no data centre in service")
	if revision {
		set.Uint64Var(&f.revision, "revision", 0, "revision that the change is based on (default: the accepted one)")
	}
}

// submit calls make, which submits one change, and prints the outcome. With --wait
// it then waits until the change is in force in every process.
func (f *changeFlags) submit(command *cobra.Command, make func(context.Context, *adminclient.Client) (adminapi.AcceptedChange, error)) error {
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

// baseRevision returns the revision that the change is based on.
func (f *changeFlags) baseRevision(ctx context.Context, client *adminclient.Client) (uint64, error) {
	if f.revision > 0 {
		return f.revision, nil
	}
	configuration, err := client.Configuration(ctx)
	return configuration.Revision, err
}

func newApplyCommand() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "apply FILE|DIRECTORY...",
		Short: "Apply complete configuration files",
		Long: "Files are named after the configuration, for example data_centres.jsonc. All\n" +
			"files are accepted in one step or not at all. With --revision, the change is\n" +
			"refused if another change was accepted after that revision.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			files, err := readFiles(paths)
			if err != nil {
				return err
			}
			return flags.submit(command, func(ctx context.Context, client *adminclient.Client) (adminapi.AcceptedChange, error) {
				baseRevision, err := flags.baseRevision(ctx, client)
				if err != nil {
					return adminapi.AcceptedChange{}, err
				}
				return client.Apply(ctx, baseRevision, adminapi.ApplyRequest{ID: flags.id, Files: files, AllowLastDataCentre: flags.allowLastDataCentre})
			})
		},
	}
	flags.addTo(command, true)
	return command
}

func newRollbackCommand() *cobra.Command {
	var flags changeFlags
	var to uint64
	command := &cobra.Command{
		Use:   "rollback --to REVISION",
		Short: "Apply the files of an earlier revision as a new revision",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.submit(command, func(ctx context.Context, client *adminclient.Client) (adminapi.AcceptedChange, error) {
				baseRevision, err := flags.baseRevision(ctx, client)
				if err != nil {
					return adminapi.AcceptedChange{}, err
				}
				return client.Rollback(ctx, baseRevision, adminapi.RollbackRequest{ID: flags.id, Revision: to, AllowLastDataCentre: flags.allowLastDataCentre})
			})
		},
	}
	flags.addTo(command, true)
	command.Flags().Uint64Var(&to, "to", 0, "revision whose files to apply")
	_ = command.MarkFlagRequired("to")
	return command
}

func newTakenOutCommand(name, short string, takenOut bool) *cobra.Command {
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
			return flags.submit(command, func(ctx context.Context, client *adminclient.Client) (adminapi.AcceptedChange, error) {
				return client.SetTakenOut(ctx, path, args[1], takenOut, adminapi.TargetRequest{ID: flags.id, AllowLastDataCentre: flags.allowLastDataCentre})
			})
		},
	}
	flags.addTo(command, false)
	return command
}

func printAccepted(out io.Writer, accepted adminapi.AcceptedChange) error {
	if accepted.Unchanged {
		_, err := fmt.Fprintf(out, "unchanged: revision %d already has these files\n", accepted.Revision)
		return err
	}
	fmt.Fprintf(out, "accepted as revision %d; %d of %d other processes reached at once\n", accepted.Revision, accepted.Reached, accepted.Processes)
	return printChanges(out, accepted.Changes)
}
