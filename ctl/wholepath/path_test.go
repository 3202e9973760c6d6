package wholepath

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonwind.dev/ctl/load"
)

var (
	rate             = flag.Float64("rate", 2700, "total requests per second")
	directShare      = flag.Float64("direct", 0.05, "share of requests sent directly to the engines")
	engines          = flag.Int("engines", 8, "number of model engines, each with its agent")
	tokens           = flag.Int("tokens", 370, "tokens per answer")
	pieceTokens      = flag.Int("piece-tokens", 16, "tokens per event of a stream")
	tokenTime        = flag.Duration("token-time", 2*time.Millisecond, "time between two tokens of the stand-in engines")
	duration         = flag.Duration("duration", 12*time.Second, "time during which requests arrive")
	warmUp           = flag.Duration("warm-up", 3*time.Second, "initial part of the duration that is not counted")
	seed             = flag.Uint64("seed", 1, "random seed of arrivals and requests")
	processors       = flag.Int("processors", 10, "GOMAXPROCS of each process, as on a small instance")
	frozenAgents     = flag.Int("frozen", 0, "number of agents suspended by SIGSTOP before the requests arrive")
	useTLS           = flag.Bool("tls", true, "TLS between the system's processes")
	profileDirectory = flag.String("profiles", "", "directory for processor profiles of the entry, the first agent and the first engine")
	profileDelay     = 2 * time.Second
)

func loadOptions(s *system) load.Options {
	options := load.DefaultOptions()
	options.Entries = []string{s.entryURL}
	options.Engines = s.engineURLs
	options.DirectShare = *directShare
	options.Keys = []string{key}
	options.Seed = *seed
	options.Arrivals = load.Arrivals{Shape: load.Poisson, Rate: *rate}
	options.Duration, options.WarmUp = *duration, *warmUp
	options.Workload.Model = model
	options.Workload.Calls = nil
	options.Workload.MinTokens, options.Workload.MaxTokens = *tokens, *tokens
	return options
}

// BenchmarkWholePath sends chats through one entry and its agents and, in the same run,
// a share of them directly to the stand-in engines. The difference is the latency that
// the system adds.
func BenchmarkWholePath(b *testing.B) {
	for range b.N {
		s := startSystem(b, systemSize{engines: *engines},
			"--tokens-per-piece", fmt.Sprint(*pieceTokens), "--token-time", tokenTime.String())
		s.freezeAgents(b, *frozenAgents)
		before := usages(b, s)
		waitForProfiles := s.saveProfiles(b)
		started := time.Now()
		result, err := load.Run(context.Background(), loadOptions(s), nil)
		if err != nil {
			b.Fatal(err)
		}
		waitForProfiles()
		var text strings.Builder
		if err := result.Report().WriteText(&text); err != nil {
			b.Fatal(err)
		}
		fmt.Printf("\n%s\n%s\n", text.String(), usageTable(b, s, before, time.Since(started)))
		elapsed := time.Since(started)
		for role, used := range usages(b, s) {
			if role != "store" {
				b.ReportMetric(used.since(before[role]).cpu.Seconds()/elapsed.Seconds(), role+"-cores")
			}
		}
		b.ReportMetric(result.Entry.RequestsPerSecond, "requests/s")
		b.ReportMetric(result.Entry.TokensPerSecond, "tokens/s")
		b.ReportMetric(float64(result.Entry.Requests-result.Entry.Outcomes[load.Whole]), "not-whole")
		if result.AddedLatency != nil {
			b.ReportMetric(result.AddedLatency.P50, "added-p50-ms")
			b.ReportMetric(result.AddedLatency.P99, "added-p99-ms")
		}
	}
}

// freezeAgents suspends the last count agents by SIGSTOP, without notice to any other
// process.
func (s *system) freezeAgents(b *testing.B, count int) {
	b.Helper()
	for _, p := range s.agents[len(s.agents)-count:] {
		if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
			b.Fatal(err)
		}
	}
}

// saveProfiles starts to record processor profiles of the entry, the first agent and
// the first engine if -profiles is set. The returned function waits for their end.
func (s *system) saveProfiles(b *testing.B) (wait func()) {
	b.Helper()
	if *profileDirectory == "" {
		return func() {}
	}
	var wg sync.WaitGroup
	for _, p := range []*process{s.entry, s.agents[0], s.engines[0]} {
		wg.Go(func() {
			time.Sleep(profileDelay)
			if err := p.saveProfile(*profileDirectory, int((*duration - profileDelay).Seconds())); err != nil {
				b.Errorf("profile %s: %v", p.name, err)
			}
		})
	}
	return wg.Wait
}

// usages returns the resources that all processes of each role have used so far. The
// role "client" is the benchmark's own process, which generates the load.
func usages(b *testing.B, s *system) map[string]usage {
	b.Helper()
	sums := map[string]usage{"client": usageOf(b, os.Getpid())}
	for role, processes := range s.roles() {
		var sum usage
		for _, p := range processes {
			used := p.usage(b)
			sum.cpu += used.cpu
			sum.bytes += used.bytes
			sum.resident += used.resident
		}
		sums[role] = sum
	}
	return sums
}

// usageTable formats the resources that each role has used since before.
func usageTable(b *testing.B, s *system, before map[string]usage, elapsed time.Duration) string {
	b.Helper()
	after := usages(b, s)
	var text strings.Builder
	fmt.Fprintf(&text, "%-8s %9s %12s %12s %14s\n", "role", "processes", "cores", "MB resident", "MB/s read+written")
	for _, role := range []string{"client", "entry", "agent", "engine", "store"} {
		used := after[role].since(before[role])
		fmt.Fprintf(&text, "%-8s %9d %12.3f %12.1f %14.3f\n", role, max(len(s.roles()[role]), 1),
			used.cpu.Seconds()/elapsed.Seconds(), float64(after[role].resident)/1e6, float64(used.bytes)/1e6/elapsed.Seconds())
	}
	return text.String()
}
