package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"persimmonwind.dev/ctl/adminclient"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/jsonfile"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
)

const (
	envServers         = "PERSIMMONWIND_ADMIN"
	envToken           = "PERSIMMONWIND_TOKEN"
	defaultWaitTimeout = 9 * time.Second
)

// Exit codes of persimmonctl.
const (
	exitFailure        = 1
	exitInvalidFile    = 3
	exitConflict       = 4
	exitOutcomeUnknown = 5 // The outcome of a change is not known.
	exitNotInForce     = 6 // The change was accepted, but is not in force in every process.
	exitUnreachable    = 7 // No entry answered, or the entry or the store is not available.
	exitForbidden      = 8 // The operator is unknown or lacks the permission.
)

// exitCode returns the exit code of persimmonctl for the error.
func exitCode(err error) int {
	var notInForce *adminclient.NotInForceError
	var problems jsonfile.Problems
	var apiErr *adminclient.Error
	switch {
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &problems):
		return exitInvalidFile
	case errors.As(err, &apiErr):
		return exitCodeForResult(apiErr.Code)
	case errors.Is(err, adminclient.ErrUnreachable):
		return exitUnreachable
	}
	return exitFailure
}

func exitCodeForResult(code result.Code) int {
	switch code {
	case result.InvalidFile, result.LastDataCentre, result.FileTooLarge:
		return exitInvalidFile
	case result.RevisionConflict:
		return exitConflict
	case result.ApplyUnknown:
		return exitOutcomeUnknown
	case result.StoreUnavailable, result.NotReady:
		return exitUnreachable
	case result.UnknownOperator, result.OperatorForbidden:
		return exitForbidden
	}
	return exitFailure
}

// adminFlags holds the flags common to all commands that call the administration
// API.
type adminFlags struct {
	servers []string
	token   string
	output  string
}

func configurationCommands() []*cobra.Command {
	commands := []*cobra.Command{
		newValidateCommand(), newDiffCommand(), newApplyCommand(), newGetCommand(), newRollbackCommand(), newAuditCommand(), newStatusCommand(), newOutcomeCommand(),
		newTakenOutCommand("drain", "Take a data centre or backend server out of service", true),
		newTakenOutCommand("return", "Return a data centre or backend server to service", false),
	}
	return commands
}

// addTo registers the flags on the command. The environment variables
// PERSIMMONWIND_ADMIN and PERSIMMONWIND_TOKEN provide defaults.
func (f *adminFlags) addTo(command *cobra.Command) {
	servers := strings.Split(os.Getenv(envServers), ",")
	if os.Getenv(envServers) == "" {
		servers = []string{"http://127.0.0.1:8081"}
	}
	set := command.Flags()
	set.StringSliceVar(&f.servers, "server", servers, "base URLs of the administration API of entries, tried in order ($"+envServers+")")
	set.StringVar(&f.token, "token-file", "", "file with the operator token (default: $"+envToken+")")
	set.StringVar(&f.output, "output", "table", "output format: table or json")
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

func (f *adminFlags) client() (*adminclient.Client, error) {
	if f.output != "table" && f.output != "json" {
		return nil, fmt.Errorf("--output is %q, must be table or json", f.output)
	}
	token := os.Getenv(envToken)
	if f.token != "" {
		text, err := os.ReadFile(f.token)
		if err != nil {
			return nil, fmt.Errorf("read operator token: %w", err)
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, fmt.Errorf("no operator token: set %s or --token-file", envToken)
	}
	return adminclient.New(f.servers, token), nil
}

// readFiles reads configuration files. A directory stands for all configuration
// files in it. The name of a configuration file is its file name without the
// extension.
func readFiles(paths []string) (config.Files, error) {
	files := config.Files{}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			if err := readFile(files, path); err != nil {
				return nil, err
			}
			continue
		}
		for _, name := range config.FileNames {
			err := readFile(files, filepath.Join(path, name+".jsonc"))
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				return nil, err
			}
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no configuration file found in %s", strings.Join(paths, ", "))
	}
	return files, nil
}

func readFile(files config.Files, path string) error {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if !config.KnownFile(name) {
		return fmt.Errorf("%s: unknown configuration file %q; valid names are %s", path, name, strings.Join(config.FileNames, ", "))
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > jsonfile.MaxBytes {
		return jsonfile.Problems{{
			File: path, Message: fmt.Sprintf("the file has %d bytes", info.Size()),
			Hint: fmt.Sprintf("at most %d bytes are accepted", jsonfile.MaxBytes),
		}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files[name] = text
	return nil
}

func completeTargets(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return []string{"data-centre", "backend-server"}, cobra.ShellCompDirectiveNoFileComp
}

func targetPath(kind string) (string, error) {
	switch kind {
	case "data-centre":
		return adminapi.PathDataCentres, nil
	case "backend-server":
		return adminapi.PathBackendServers, nil
	}
	return "", fmt.Errorf("target kind is %q, must be data-centre or backend-server", kind)
}
