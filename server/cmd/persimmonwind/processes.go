//go:build !platform_only

package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"persimmonwind.dev/server/agent"
	"persimmonwind.dev/server/entry"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/settings"
)

func newEntryCommand() *cobra.Command {
	config := settings.DefaultEntry()
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance",
		Args:  cobra.NoArgs,
	}
	loader := settings.NewLoader(command.Flags(), &config)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := errors.Join(loader.Load(os.LookupEnv), config.Validate()); err != nil {
			return err
		}
		listeners, err := listenEntry(config)
		if err != nil {
			return err
		}
		log := newLog().WithField("process", config.ID)
		logStart(log, logrus.Fields{"role": "entry"})
		return logExit(log, entry.New(config, listeners, log).Run(command.Context()))
	}
	return command
}

func listenEntry(config settings.Entry) (entry.Listeners, error) {
	source, err := loadKeys(config.TLS)
	if err != nil {
		return entry.Listeners{}, err
	}
	control, controlErr := net.Listen("tcp", config.Control)
	callers, callersErr := net.Listen("tcp", config.Listen)
	admin, adminErr := net.Listen("tcp", config.Admin)
	if err := errors.Join(controlErr, callersErr, adminErr); err != nil {
		return entry.Listeners{}, fmt.Errorf("listen: %w", err)
	}
	return entry.Listeners{Control: control, Callers: callers, Admin: admin, Keys: source}, nil
}

func newAgentCommand() *cobra.Command {
	config := settings.DefaultAgent()
	command := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent beside a backend server",
		Args:  cobra.NoArgs,
	}
	loader := settings.NewLoader(command.Flags(), &config)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := errors.Join(loader.Load(os.LookupEnv), config.Validate()); err != nil {
			return err
		}
		listeners, err := listenAgent(config)
		if err != nil {
			return err
		}
		log := newLog().WithField("process", config.ID)
		logStart(log, logrus.Fields{"role": "agent"})
		return logExit(log, agent.New(config, listeners, log).Run(command.Context()))
	}
	return command
}

func listenAgent(config settings.Agent) (agent.Listeners, error) {
	source, err := loadKeys(config.TLS)
	if err != nil {
		return agent.Listeners{}, err
	}
	control, controlErr := net.Listen("tcp", config.Control)
	traffic, trafficErr := net.Listen("tcp", config.Traffic)
	health, healthErr := net.Listen("tcp", config.Health)
	if err := errors.Join(controlErr, trafficErr, healthErr); err != nil {
		return agent.Listeners{}, fmt.Errorf("listen: %w", err)
	}
	return agent.Listeners{Control: control, Traffic: traffic, Health: health, Keys: source}, nil
}

// loadKeys returns the source of the TLS keys, or nil if no key files are set.
func loadKeys(files keys.Files) (keys.Source, error) {
	if !files.IsSet() {
		return nil, nil
	}
	return keys.NewReloader(files)
}
