package deployed

import (
	"context"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/server/logevent"
)

// Agent is the process beside one rank of a model group.
type Agent struct {
	settings platform.Settings
	log      *logrus.Entry
}

// NewAgent returns an agent that has not started.
func NewAgent(settings platform.Settings, log *logrus.Entry) *Agent {
	return &Agent{settings: settings, log: log}
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context, metricsPort int) error {
	var group run.Group
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) {})
	logevent.Write(a.log, logevent.ProcessReady, logrus.Fields{"metrics_port": metricsPort})
	return group.Run()
}
