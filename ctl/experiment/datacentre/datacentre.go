// Package datacentre measures the service while a data centre is taken out under
// load and returns in cold start. In the baseline the returned data centre gets full
// load at once, because its cold limit equals its warm limit.
package datacentre

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/ctl/adminclient"
	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/ctl/load"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/dev"
)

const (
	entryAddress = "127.0.0.1:18480"
	adminAddress = "127.0.0.1:18481"

	engineFullLimit   = 8    // Number of concurrent generations that each of the three engines can run when warm.
	engineColdLimit   = 2    // Number of concurrent generations that an engine can run in cold start.
	requestsPerSecond = 85.0 // Load in every phase; two engines can serve 100 requests per second.
	beforeDuration    = 8 * time.Second
	leaveDuration     = 12 * time.Second
	returnDuration    = 15 * time.Second
	changeDelay       = 2 * time.Second // Time from the start of a phase until its take-out or return.
	maxTakeOutDelay   = 5 * time.Second
	waitTimeout       = 9 * time.Second
	readyTimeout      = 10 * time.Second

	leavingEngine     = "engine-3"
	leavingDataCentre = "dc-3"
)

// Experiment measures the service while a data centre is taken out and returned.
var Experiment = experiment.Experiment{
	Name:    "data-centre",
	Summary: "service while a data centre is taken out under load and returns in cold start",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	table := experiment.Table{
		Title: "A third of the engines is taken out under load near the capacity of the rest, restarts and returns",
		Columns: []string{"return", "phase", "requests", "whole", "refused", "cut or lost", "first token p50", "p95", "p99",
			"started 5 s after the take-out", "falls", "in force everywhere"},
	}
	for seed := range uint64(max(options.Seeds, 1)) {
		for _, configuredColdLimit := range []int{engineColdLimit, engineFullLimit} {
			rows, err := measure(ctx, options.Seed+seed, configuredColdLimit)
			if err != nil {
				return experiment.Report{}, err
			}
			table.Rows = append(table.Rows, rows...)
		}
	}
	return experiment.Report{
		Title: "Take-out and return of a data centre", Tables: []experiment.Table{table},
		Notes: []string{
			fmt.Sprintf("Three engines with %d slots, %d in cold start; %.0f requests per second; the whole system runs in one process; callers don't retry.", engineFullLimit, engineColdLimit, requestsPerSecond),
			"The baseline is configured with the same limit for a cold engine as for a warm one, so the returned engine gets full load at once.",
		},
	}, nil
}

// testRun is a system under load while a data centre is taken out and returned.
type testRun struct {
	system *dev.System
	admin  *adminclient.Client
	seed   uint64
	name   string
	rows   [][]string
}

func measure(ctx context.Context, seed uint64, configuredColdLimit int) ([][]string, error) {
	ctx, stop := context.WithCancel(ctx)
	dir, err := writeConfig(configuredColdLimit)
	if err != nil {
		stop()
		return nil, err
	}
	defer os.RemoveAll(dir)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	system, err := dev.New(dev.Options{
		Listen: entryAddress, Admin: adminAddress, ConfigDir: dir, Log: logrus.NewEntry(logger), EngineColdLimit: engineColdLimit,
	})
	if err != nil {
		stop()
		return nil, err
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = system.Run(ctx)
	}()
	defer func() {
		stop()
		<-stopped
	}()
	r := &testRun{system: system, admin: adminclient.New([]string{"http://" + adminAddress}, dev.OperatorToken), seed: seed, name: "ramped"}
	if configuredColdLimit > engineColdLimit {
		r.name = "at once"
	}
	err = r.run(ctx)
	return r.rows, err
}

// writeConfig writes the development configuration, with smaller engine limits,
// to a temporary directory.
func writeConfig(configuredColdLimit int) (string, error) {
	files, err := dev.ReadFiles("")
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "persimmonwind-data-centre")
	if err != nil {
		return "", err
	}
	limits := fmt.Sprintf(`"full_limit": %d, "cold_limit": %d`, engineFullLimit, configuredColdLimit)
	for name, text := range files {
		if name == config.FileBackendServers {
			text = []byte(strings.ReplaceAll(string(text), `"full_limit": 64, "cold_limit": 4`, limits))
		}
		if err := os.WriteFile(filepath.Join(dir, name+".jsonc"), text, 0o600); err != nil {
			return "", err
		}
	}
	return dir, nil
}

func (r *testRun) run(ctx context.Context) error {
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	if err := r.runPhase(ctx, "before", beforeDuration, func(context.Context) (string, error) { return "", nil }); err != nil {
		return err
	}
	if err := r.runPhase(ctx, "leaves", leaveDuration, func(ctx context.Context) (string, error) { return r.setTakenOut(ctx, true) }); err != nil {
		return err
	}
	return r.runPhase(ctx, "returns", returnDuration, func(ctx context.Context) (string, error) {
		r.system.Engines[leavingEngine].Restart()
		return r.setTakenOut(ctx, false)
	})
}

func (r *testRun) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, err := r.admin.Status(ctx); err == nil && allInForce(status) {
			return nil
		}
	}
	return errors.New("development system did not become ready in time")
}

func allInForce(status adminapi.Status) bool {
	for _, process := range status.Processes {
		if process.Revision == 0 {
			return false
		}
	}
	return len(status.Processes) > 1
}

// setTakenOut takes out or returns the data centre. It returns, as text, the time
// until the change was in force in every process.
func (r *testRun) setTakenOut(ctx context.Context, takenOut bool) (string, error) {
	began := time.Now()
	accepted, err := r.admin.SetTakenOut(ctx, adminapi.PathDataCentres, leavingDataCentre, takenOut, adminapi.TargetRequest{})
	if err != nil {
		return "", err
	}
	if _, err := r.admin.WaitForRevision(ctx, accepted.Revision, waitTimeout); err != nil {
		return "", err
	}
	return fmt.Sprintf("%.0f ms", float64(time.Since(began).Microseconds())/1000), nil
}

// runPhase sends load for the duration, calls change meanwhile, and adds a row with
// the figures of the phase.
func (r *testRun) runPhase(ctx context.Context, name string, duration time.Duration, change func(context.Context) (string, error)) error {
	engine := r.system.Engines[leavingEngine]
	overloads := r.overloads()
	type outcome struct {
		timeToInForce      string // Time until the change was in force everywhere.
		err                error
		startedGenerations int // Number of generations that the leaving engine started up to maxTakeOutDelay after the change.
	}
	outcomes := make(chan outcome, 1)
	go func() {
		time.Sleep(changeDelay)
		timeToInForce, err := change(ctx)
		time.Sleep(maxTakeOutDelay)
		outcomes <- outcome{timeToInForce, err, engine.StartedGenerations()}
	}()
	result, err := load.Run(ctx, r.loadOptions(duration), nil)
	changeOutcome := <-outcomes
	if err := errors.Join(err, changeOutcome.err); err != nil {
		return err
	}
	started := ""
	if name == "leaves" {
		started = fmt.Sprint(engine.StartedGenerations() - changeOutcome.startedGenerations)
	}
	entryResult := result.Entry
	lost := entryResult.Requests - entryResult.Outcomes[load.Whole] - entryResult.Outcomes[load.Refused]
	r.rows = append(r.rows, []string{
		r.name, name, fmt.Sprint(entryResult.Requests), fmt.Sprint(entryResult.Outcomes[load.Whole]), fmt.Sprint(entryResult.Outcomes[load.Refused]), fmt.Sprint(lost),
		seconds(entryResult.FirstToken.P50), seconds(entryResult.FirstToken.P95), seconds(entryResult.FirstToken.P99),
		started, fmt.Sprint(r.overloads() - overloads), changeOutcome.timeToInForce,
	})
	return nil
}

func (r *testRun) loadOptions(duration time.Duration) load.Options {
	options := load.DefaultOptions()
	options.Entries = []string{"http://" + entryAddress}
	options.Seed = r.seed
	options.Arrivals.Rate = requestsPerSecond
	options.Duration, options.WarmUp = duration, 0
	options.Workload.MinTokens, options.Workload.MaxTokens = 32, 128
	options.Workload.Calls = nil
	return options
}

// overloads returns how often all engines together crashed from overload in cold
// start.
func (r *testRun) overloads() int {
	total := 0
	for _, engine := range r.system.Engines {
		total += engine.OverloadCrashes()
	}
	return total
}

func seconds(ms float64) string { return fmt.Sprintf("%.3f s", ms/1000) }
