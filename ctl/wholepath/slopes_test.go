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
	restSettle  = 4 * time.Second
	restTime    = 10 * time.Second
	holdArrive  = 4 * time.Second // During which held streams arrive.
	holdSettle  = 2 * time.Second
	holdToken   = 500 * time.Millisecond
	holdTokens  = 24
	singleEvent = 16 // Tokens of an answer that is one event.
)

// BenchmarkRest measures each process of a system without callers, at sizes of
// the configuration.
func BenchmarkRest(b *testing.B) {
	sizes := []size{
		{engines: 1, organisations: 10}, {engines: 1, organisations: 5000}, {engines: 1, organisations: 15000},
		{engines: 1, idleServers: 100}, {engines: 1, idleServers: 600}, {engines: 1, idleServers: 1900},
		{engines: 1, idleServers: 1900, organisations: 15000},
	}
	for range b.N {
		fmt.Printf("\n%8s %8s %-8s %10s %14s %12s %10s\n", "servers", "orgs", "role", "cores", "bytes/s", "MB resident", "reads/s")
		for _, sized := range sizes {
			rest(b, sized)
		}
	}
}

func rest(b *testing.B, sized size) {
	s := startSystem(b, sized)
	defer s.stop()
	time.Sleep(restSettle)
	before, reads := usages(b, s), s.storeReads(b)
	started := time.Now()
	time.Sleep(restTime)
	elapsed := time.Since(started).Seconds()
	after := usages(b, s)
	perSecond := float64(s.storeReads(b)-reads) / elapsed
	for _, role := range []string{"entry", "agent"} {
		used := after[role].since(before[role])
		fmt.Printf("%8d %8d %-8s %10.4f %14.0f %12.1f %10.2f\n", sized.engines+sized.idleServers, max(sized.organisations, 1), role,
			used.cpu.Seconds()/elapsed, float64(used.bytes)/elapsed, float64(after[role].resident)/1e6, perSecond)
	}
}

// storeReads returns the reads of the table service so far, of all processes.
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

// BenchmarkStreams measures the memory of open streams.
func BenchmarkStreams(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%8s %-8s %14s %18s\n", "streams", "role", "MB resident", "kB a stream")
		for _, streams := range []int{500, 1000, 2000, 4000} {
			holdStreams(b, streams)
		}
	}
}

func holdStreams(b *testing.B, streams int) {
	s := startSystem(b, size{engines: 1}, "--tokens-per-piece", "1", "--token-time", holdToken.String())
	defer s.stop()
	time.Sleep(restSettle)
	before := usages(b, s)
	options := loadOptions(s)
	options.Engines = nil
	options.Arrivals = load.Arrivals{Shape: load.Constant, Rate: float64(streams) / holdArrive.Seconds()}
	options.Duration, options.WarmUp = holdArrive, 0
	options.Workload.MinTokens, options.Workload.MaxTokens = holdTokens, holdTokens
	ended := make(chan load.Result, 1)
	go func() {
		result, _ := load.Run(context.Background(), options, nil)
		ended <- result
	}()
	time.Sleep(holdArrive + holdSettle)
	after := usages(b, s)
	result := <-ended
	if whole := result.Entry.Outcomes[load.Whole]; whole != result.Entry.Requests {
		fmt.Printf("%d of %d answers were not whole: %v\n", result.Entry.Requests-whole, result.Entry.Requests, result.Entry.Outcomes)
	}
	for _, role := range []string{"entry", "agent"} {
		grown := after[role].resident - before[role].resident
		fmt.Printf("%8d %-8s %14.1f %18.1f\n", streams, role, float64(after[role].resident)/1e6, float64(grown)/1e3/float64(streams))
	}
}

// BenchmarkRequests measures the processor time and bytes of a request with
// one event, and of each further event.
func BenchmarkRequests(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%10s %8s %-8s %10s %16s %14s\n", "requests/s", "events", "role", "cores", "ms a request", "kB a request")
		for _, events := range []int{1, 8, 32} {
			for _, perSecond := range []float64{25, 50, 100} {
				requests(b, perSecond, events, 2)
			}
		}
	}
}

// BenchmarkProbes measures a request with one event by the number of engines:
// an entry asks up to five agents about each request.
func BenchmarkProbes(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%10s %8s %-8s %10s %16s %14s\n", "requests/s", "events", "role", "cores", "ms a request", "kB a request")
		for _, engines := range []int{1, 2, 3, 5, 8} {
			fmt.Println("engines:", engines)
			requests(b, 50, 1, engines)
		}
	}
}

func requests(b *testing.B, perSecond float64, events, engines int) {
	s := startSystem(b, size{engines: engines}, "--tokens-per-piece", fmt.Sprint(singleEvent), "--token-time", tokenTime.String())
	defer s.stop()
	time.Sleep(restSettle)
	options := loadOptions(s)
	options.Engines = nil
	options.Arrivals.Rate = perSecond
	options.Duration, options.WarmUp = restTime, 0
	options.Workload.MinTokens, options.Workload.MaxTokens = events*singleEvent, events*singleEvent
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

// BenchmarkKeyedCalls measures what a non-idempotent call asks of the table
// service.
func BenchmarkKeyedCalls(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%10s %8s %14s %15s %12s\n", "calls/s", "calls", "reads a call", "writes a call", "p50 ms")
		for _, perSecond := range []float64{10, 20, 40} {
			keyedCalls(b, perSecond)
		}
	}
}

func keyedCalls(b *testing.B, perSecond float64) {
	s := startSystem(b, size{services: 2})
	defer s.stop()
	time.Sleep(restSettle)
	options := loadOptions(s)
	options.Engines = nil
	options.Arrivals.Rate = perSecond
	options.Duration, options.WarmUp = restTime, 0
	options.Workload.Calls = []load.ServiceCall{{Service: service, Operation: operation, Share: 1}}
	rested, restStarted := s.storeCounts(b), time.Now()
	time.Sleep(restSettle)
	before := s.storeCounts(b)
	atRest := float64(before.Reads-rested.Reads) / time.Since(restStarted).Seconds()
	started := time.Now()
	result, err := load.Run(context.Background(), options, nil)
	if err != nil {
		b.Fatal(err)
	}
	after := s.storeCounts(b)
	count := float64(result.Entry.Requests)
	reads := float64(after.Reads-before.Reads) - atRest*time.Since(started).Seconds()
	fmt.Printf("%10.0f %8d %14.2f %15.2f %12.2f\n", perSecond, result.Entry.Outcomes[load.Whole],
		reads/count, float64(after.Writes-before.Writes)/count, result.Entry.WholeCall.P50)
}
