// Package datacentre measures the service while a data centre leaves and
// returns cold, against a baseline that returns it at once.
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
	callersAddress = "127.0.0.1:18480"
	adminAddress   = "127.0.0.1:18481"

	fullLimit   = 8 // Generations at a time of each of the three engines.
	coldLimit   = 2
	rate        = 85.0 // Requests a second; two engines have slots for 100.
	beforeTime  = 8 * time.Second
	leaveTime   = 12 * time.Second
	returnTime  = 15 * time.Second
	changeAfter = 2 * time.Second // From the start of a phase.
	outBound    = 5 * time.Second
	waitTimeout = 9 * time.Second
	readyLimit  = 10 * time.Second

	leavingEngine     = "engine-3"
	leavingDataCentre = "dc-3"
)

// Experiment measures a data centre's leaving and return.
var Experiment = experiment.Experiment{
	Name:    "data-centre",
	Summary: "Service while a data centre leaves under load and returns cold",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	table := experiment.Table{
		Title: "A third of the engines leaves under load near what the rest carries, restarts, and returns",
		Columns: []string{"return", "phase", "requests", "whole", "refused", "cut or lost", "first token p50", "p95", "p99",
			"started 5 s after the take-out", "falls", "in force everywhere"},
	}
	for seed := range uint64(max(options.Seeds, 1)) {
		for _, configured := range []int{coldLimit, fullLimit} {
			rows, err := measure(ctx, options.Seed+seed, configured)
			if err != nil {
				return experiment.Report{}, err
			}
			table.Rows = append(table.Rows, rows...)
		}
	}
	return experiment.Report{
		Title: "A data centre leaves and returns", Tables: []experiment.Table{table},
		Notes: []string{
			fmt.Sprintf("Three engines with %d slots, %d in cold start; %.0f requests a second; one process for the whole system; callers repeat nothing.", fullLimit, coldLimit, rate),
			"The baseline is told that a cold engine bears as much as a warm one, and so returns it at once.",
		},
	}, nil
}

// bench is one running system with its load.
type bench struct {
	system *dev.System
	admin  *adminclient.Client
	seed   uint64
	name   string
	rows   [][]string
}

func measure(ctx context.Context, seed uint64, configuredCold int) ([][]string, error) {
	ctx, stop := context.WithCancel(ctx)
	dir, err := writeConfig(configuredCold)
	if err != nil {
		stop()
		return nil, err
	}
	defer os.RemoveAll(dir)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	system, err := dev.New(dev.Options{
		Listen: callersAddress, Admin: adminAddress, ConfigDir: dir, Log: logrus.NewEntry(logger), EngineColdLimit: coldLimit,
	})
	if err != nil {
		stop()
		return nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = system.Run(ctx)
	}()
	defer func() {
		stop()
		<-ended
	}()
	b := &bench{system: system, admin: adminclient.New([]string{"http://" + adminAddress}, dev.OperatorToken), seed: seed, name: "ramped"}
	if configuredCold > coldLimit {
		b.name = "at once"
	}
	err = b.run(ctx)
	return b.rows, err
}

// writeConfig writes the development configuration with small engines.
func writeConfig(configuredCold int) (string, error) {
	files, err := dev.ReadFiles("")
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "persimmonwind-data-centre")
	if err != nil {
		return "", err
	}
	limits := fmt.Sprintf(`"full_limit": %d, "cold_limit": %d`, fullLimit, configuredCold)
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

func (b *bench) run(ctx context.Context) error {
	if err := b.awaitReady(ctx); err != nil {
		return err
	}
	if err := b.phase(ctx, "before", beforeTime, func(context.Context) (string, error) { return "", nil }); err != nil {
		return err
	}
	if err := b.phase(ctx, "leaves", leaveTime, func(ctx context.Context) (string, error) { return b.change(ctx, true) }); err != nil {
		return err
	}
	return b.phase(ctx, "returns", returnTime, func(ctx context.Context) (string, error) {
		b.system.Engines[leavingEngine].Restart()
		return b.change(ctx, false)
	})
}

func (b *bench) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, err := b.admin.Status(ctx); err == nil && allInForce(status) {
			return nil
		}
	}
	return errors.New("the development system did not become ready")
}

func allInForce(status adminapi.Status) bool {
	for _, process := range status.Processes {
		if process.Revision == 0 {
			return false
		}
	}
	return len(status.Processes) > 1
}

// change takes out or returns the data centre and tells how long it took until
// that was in force everywhere.
func (b *bench) change(ctx context.Context, out bool) (string, error) {
	began := time.Now()
	accepted, err := b.admin.SetTakenOut(ctx, adminapi.PathDataCentres, leavingDataCentre, out, adminapi.TargetRequest{})
	if err != nil {
		return "", err
	}
	if _, err := b.admin.WaitForRevision(ctx, accepted.Revision, waitTimeout); err != nil {
		return "", err
	}
	return fmt.Sprintf("%.0f ms", float64(time.Since(began).Microseconds())/1000), nil
}

// phase sends load and makes the change in its course.
func (b *bench) phase(ctx context.Context, name string, duration time.Duration, change func(context.Context) (string, error)) error {
	engine := b.system.Engines[leavingEngine]
	falls := b.falls()
	type outcome struct {
		took  string
		err   error
		after int
	}
	changed := make(chan outcome, 1)
	go func() {
		time.Sleep(changeAfter)
		took, err := change(ctx)
		time.Sleep(outBound)
		changed <- outcome{took, err, engine.Started()}
	}()
	result, err := load.Run(ctx, b.loadOptions(duration), nil)
	made := <-changed
	if err := errors.Join(err, made.err); err != nil {
		return err
	}
	started := ""
	if name == "leaves" {
		started = fmt.Sprint(engine.Started() - made.after)
	}
	side := result.Entry
	lost := side.Requests - side.Outcomes[load.Whole] - side.Outcomes[load.Refused]
	b.rows = append(b.rows, []string{
		b.name, name, fmt.Sprint(side.Requests), fmt.Sprint(side.Outcomes[load.Whole]), fmt.Sprint(side.Outcomes[load.Refused]), fmt.Sprint(lost),
		seconds(side.FirstToken.P50), seconds(side.FirstToken.P95), seconds(side.FirstToken.P99),
		started, fmt.Sprint(b.falls() - falls), made.took,
	})
	return nil
}

func (b *bench) loadOptions(duration time.Duration) load.Options {
	options := load.DefaultOptions()
	options.Entries = []string{"http://" + callersAddress}
	options.Seed = b.seed
	options.Arrivals.Rate = rate
	options.Duration, options.WarmUp = duration, 0
	options.Workload.MinTokens, options.Workload.MaxTokens = 32, 128
	options.Workload.Calls = nil
	return options
}

// falls counts how often any engine fell over in cold start.
func (b *bench) falls() int {
	total := 0
	for _, engine := range b.system.Engines {
		total += engine.Overloads()
	}
	return total
}

func seconds(ms float64) string { return fmt.Sprintf("%.3f s", ms/1000) }
