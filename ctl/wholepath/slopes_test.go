package wholepath

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"persimmonwind.dev/ctl/load"
	"persimmonwind.dev/server/standin/store"
)

const (
	settleTime        = 4 * time.Second
	measureTime       = 10 * time.Second
	streamArrivalTime = 4 * time.Second // Time within which all streams are opened.
	streamSettleTime  = 2 * time.Second
	streamTokenTime   = 500 * time.Millisecond
	streamTokens      = 24
	tokensPerEvent    = 16 // Number of tokens that a stand-in engine sends in one event of a stream.
)

// BenchmarkRest measures the resources that the entry and the agent use while they are
// idle, without callers, for several sizes of the configuration.
func BenchmarkRest(b *testing.B) {
	sizes := []systemSize{
		{engines: 1, organisations: 10}, {engines: 1, organisations: 5000}, {engines: 1, organisations: 15000},
		{engines: 1, idleServers: 100}, {engines: 1, idleServers: 600}, {engines: 1, idleServers: 1900},
		{engines: 1, idleServers: 1900, organisations: 15000},
	}
	for range b.N {
		fmt.Printf("\n%8s %8s %-8s %10s %14s %12s %10s\n", "servers", "orgs", "role", "cores", "bytes/s", "MB resident", "reads/s")
		for _, size := range sizes {
			measureIdle(b, size)
		}
	}
}

func measureIdle(b *testing.B, size systemSize) {
	s := startSystem(b, size)
	defer s.stop()
	time.Sleep(settleTime)
	before, reads := usages(b, s), s.storeReads(b)
	started := time.Now()
	time.Sleep(measureTime)
	elapsed := time.Since(started).Seconds()
	after := usages(b, s)
	perSecond := float64(s.storeReads(b)-reads) / elapsed
	for _, role := range []string{"entry", "agent"} {
		used := after[role].since(before[role])
		fmt.Printf("%8d %8d %-8s %10.4f %14.0f %12.1f %10.2f\n", size.engines+size.idleServers, max(size.organisations, 1), role,
			used.cpu.Seconds()/elapsed, float64(used.bytes)/elapsed, float64(after[role].resident)/1e6, perSecond)
	}
}

// storeReads returns the number of reads of the table service by all processes so far.
func (s *system) storeReads(b *testing.B) int {
	b.Helper()
	return s.storeCounts(b).Reads
}

func (s *system) storeCounts(b *testing.B) store.Counts {
	b.Helper()
	response, err := http.Get(s.storeURL + "/counts")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var counts store.Counts
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		b.Fatal(err)
	}
	return counts
}

// BenchmarkStreams measures the memory per open stream.
func BenchmarkStreams(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%8s %-8s %14s %18s\n", "streams", "role", "MB resident", "kB a stream")
		for _, streams := range []int{500, 1000, 2000, 4000} {
			measureStreams(b, streams)
		}
	}
}

func measureStreams(b *testing.B, streams int) {
	s := startSystem(b, systemSize{engines: 1}, "--tokens-per-piece", "1", "--token-time", streamTokenTime.String())
	defer s.stop()
	time.Sleep(settleTime)
	before := usages(b, s)
	options := loadOptions(s)
	options.Engines = nil
	options.Arrivals = load.Arrivals{Shape: load.Constant, Rate: float64(streams) / streamArrivalTime.Seconds()}
	options.Duration, options.WarmUp = streamArrivalTime, 0
	options.Workload.MinTokens, options.Workload.MaxTokens = streamTokens, streamTokens
	ended := make(chan load.Result, 1)
	go func() {
		result, _ := load.Run(context.Background(), options, nil)
		ended <- result
	}()
	time.Sleep(streamArrivalTime + streamSettleTime)
	after := usages(b, s)
	result := <-ended
	if whole := result.Entry.Outcomes[load.Whole]; whole != result.Entry.Requests {
		fmt.Printf("%d of %d answers were incomplete: %v\n", result.Entry.Requests-whole, result.Entry.Requests, result.Entry.Outcomes)
	}
	for _, role := range []string{"entry", "agent"} {
		grown := after[role].resident - before[role].resident
		fmt.Printf("%8d %-8s %14.1f %18.1f\n", streams, role, float64(after[role].resident)/1e6, float64(grown)/1e3/float64(streams))
	}
}

// BenchmarkRequests measures the processor time and bytes per request for answers of 1, 8
// and 32 events, which gives the cost of a request with one event and of each further
// event.
func BenchmarkRequests(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%10s %8s %-8s %10s %16s %14s\n", "requests/s", "events", "role", "cores", "ms a request", "kB a request")
		for _, events := range []int{1, 8, 32} {
			for _, perSecond := range []float64{25, 50, 100} {
				measureRequests(b, perSecond, events, 2)
			}
		}
	}
}

// BenchmarkProbes measures the processor time and bytes per request for different numbers
// of engines; each request has a one-event answer. An entry probes up to five agents for
// each request, so the cost depends on the number of engines.
func BenchmarkProbes(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%10s %8s %-8s %10s %16s %14s\n", "requests/s", "events", "role", "cores", "ms a request", "kB a request")
		for _, engines := range []int{1, 2, 3, 5, 8} {
			fmt.Println("engines:", engines)
			measureRequests(b, 50, 1, engines)
		}
	}
}

func measureRequests(b *testing.B, perSecond float64, events, engines int) {
	s := startSystem(b, systemSize{engines: engines}, "--tokens-per-piece", fmt.Sprint(tokensPerEvent), "--token-time", tokenTime.String())
	defer s.stop()
	time.Sleep(settleTime)
	options := loadOptions(s)
	options.Engines = nil
	options.Arrivals.Rate = perSecond
	options.Duration, options.WarmUp = measureTime, 0
	options.Workload.MinTokens, options.Workload.MaxTokens = events*tokensPerEvent, events*tokensPerEvent
	before, started := usages(b, s), time.Now()
	result, err := load.Run(context.Background(), options, nil)
	if err != nil {
		b.Fatal(err)
	}
	elapsed := time.Since(started).Seconds()
	after := usages(b, s)
	count := float64(result.Entry.Requests)
	for _, role := range []string{"entry", "agent"} {
		used := after[role].since(before[role])
		fmt.Printf("%10.0f %8d %-8s %10.4f %16.3f %14.2f\n", perSecond, events, role, used.cpu.Seconds()/elapsed,
			used.cpu.Seconds()*1e3/count, float64(used.bytes)/1e3/count)
	}
}

// BenchmarkKeyedCalls measures the reads and writes of the table service per
// non-idempotent call. Such a call has an idempotency key, under which the system
// stores the state of the call in the table service.
func BenchmarkKeyedCalls(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%10s %8s %14s %15s %12s\n", "calls/s", "calls", "reads a call", "writes a call", "p50 ms")
		for _, perSecond := range []float64{10, 20, 40} {
			measureKeyedCalls(b, perSecond)
		}
	}
}

func measureKeyedCalls(b *testing.B, perSecond float64) {
	s := startSystem(b, systemSize{services: 2})
	defer s.stop()
	time.Sleep(settleTime)
	options := loadOptions(s)
	options.Engines = nil
	options.Arrivals.Rate = perSecond
	options.Duration, options.WarmUp = measureTime, 0
	options.Workload.Calls = []load.ServiceCall{{Service: service, Operation: operation, Share: 1}}
	idle, idleStarted := s.storeCounts(b), time.Now()
	time.Sleep(settleTime)
	before := s.storeCounts(b)
	idleReadsPerSecond := float64(before.Reads-idle.Reads) / time.Since(idleStarted).Seconds()
	started := time.Now()
	result, err := load.Run(context.Background(), options, nil)
	if err != nil {
		b.Fatal(err)
	}
	after := s.storeCounts(b)
	count := float64(result.Entry.Requests)
	reads := float64(after.Reads-before.Reads) - idleReadsPerSecond*time.Since(started).Seconds()
	fmt.Printf("%10.0f %8d %14.2f %15.2f %12.2f\n", perSecond, result.Entry.Outcomes[load.Whole],
		reads/count, float64(after.Writes-before.Writes)/count, result.Entry.WholeCall.P50)
}
