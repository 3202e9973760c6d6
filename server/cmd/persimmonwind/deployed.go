package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/server/boundedlog"
	"persimmonwind.dev/server/deployed"
	"persimmonwind.dev/server/logevent"
)

const (
	// defaultMetricsPort is the metrics port in deploy/system.toml.
	defaultMetricsPort = 9464
	// memoryLimitFraction is the garbage collector's soft limit, as a fraction of the
	// memory use at which the process is killed.
	memoryLimitFraction = 0.7
	// gcPercent is the growth of the heap before a collection. At 300 the heap of an idle
	// process grows to 12 MB before the first one, because the runtime multiplies its
	// smallest heap of 4 MB by it; at 50 a coordinator's collections take more time.
	gcPercent = 100
	// settingsPollInterval is the time between two reads of the settings file, which
	// may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// process is an entry or an agent that runs on the users' platform.
type process interface {
	Run(ctx context.Context, metricsPort int) error
}

func newPlatformCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a process on the users' platform",
	}
	command.AddCommand(
		newPlatformProcessCommand("entry", "Run an entry instance on the users' platform",
			func(s platform.Settings, log *logrus.Entry) process { return deployed.NewEntry(s, log) }),
		newPlatformProcessCommand("agent", "Run the agent beside a rank of a model group on the users' platform",
			func(s platform.Settings, log *logrus.Entry) process { return deployed.NewAgent(s, log) }),
	)
	return command
}

func newPlatformProcessCommand(use, short string, build func(platform.Settings, *logrus.Entry) process) *cobra.Command {
	var metricsPort int
	var level string
	command := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	command.Flags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port of the metrics on the instance's own address")
	command.Flags().StringVar(&level, "log-level", "info", "lowest level that is logged: debug, info, warning or error")
	command.RunE = func(command *cobra.Command, _ []string) error {
		path, err := platform.SettingsPath(os.LookupEnv)
		if err != nil {
			return err
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			return err
		}
		out := boundedlog.New(os.Stdout)
		defer out.Close()
		log, err := newPlatformLog(out, level)
		if err != nil {
			return err
		}
		log = log.WithField("process", settings.Instance)
		tuneRuntime(settings)
		logStart(log, logrus.Fields{
			"role": use, "data_centre": settings.DataCentre, "store": settings.StoreAddress,
			"memory_mb": settings.MemoryMB, "cpu_share": settings.CPUShare,
		})
		go watchSettings(command.Context(), path, settings, log)
		return logExit(log, build(settings, log).Run(command.Context(), metricsPort))
	}
	return command
}

func newPlatformLog(out *boundedlog.Writer, level string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	return logrus.NewEntry(logger), nil
}

// tuneRuntime adjusts the Go runtime to a fraction of one core and little memory.
func tuneRuntime(settings platform.Settings) {
	const bytesPerMB = 1 << 20
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB) * bytesPerMB))
}

// watchSettings reads the settings file again when it changes, with or without
// SIGHUP, and logs the outcome. Settings that a running process can't change, such
// as its addresses, take effect at the next start.
func watchSettings(ctx context.Context, path string, current platform.Settings, log *logrus.Entry) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-sighups:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(path)
		switch {
		case err != nil:
			logevent.Write(log, logevent.SettingsRejected, logrus.Fields{"error": err.Error()})
		case signalled || next != current:
			logevent.Write(log, logevent.SettingsReloaded, logrus.Fields{"changed": next != current, "signalled": signalled})
			current = next
		}
	}
}
