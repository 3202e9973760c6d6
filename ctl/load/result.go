package load

import (
	"fmt"
	"time"

	"persimmonwind.dev/policy/result"
)

// Result is the outcome of a run. Latencies are measured from the intended start
// of a request, not from its actual one, to avoid coordinated omission: a slow
// answer is counted in full even if it delays no other request.
type Result struct {
	Seed         uint64        `json:"seed"`
	Arrivals     Arrivals      `json:"arrivals"`
	Workload     Workload      `json:"workload"`
	Duration     float64       `json:"duration_s"`       // Measured period: from the end of the warm-up to the end of arrivals.
	Entry        *PathResult   `json:"entry,omitempty"`  // Requests through the entries; nil if there were none.
	Direct       *PathResult   `json:"direct,omitempty"` // Chats sent directly to the engines; nil if there were none.
	AddedLatency *AddedLatency `json:"added,omitempty"`
}

// PathResult is the result of one path to the engines: through the entries or
// directly.
type PathResult struct {
	Requests          int                `json:"requests"` // Number of requests that arrived after the warm-up.
	Attempts          int                `json:"attempts"` // Number of attempts of these requests, including retries.
	Outcomes          map[Outcome]int    `json:"outcomes"`
	Codes             map[string]int     `json:"codes,omitempty"`         // Number of final answers by result code.
	RetriedCodes      map[string]int     `json:"retried_codes,omitempty"` // Number of retried attempts by result code.
	Examples          map[Outcome]string `json:"examples,omitempty"`      // Detail of the first failure of each outcome.
	RequestsPerSecond float64            `json:"requests_per_s"`          // Rate of the complete answers that ended within the measured period.
	TokensPerSecond   float64            `json:"tokens_per_s"`            // Rate of the tokens of the chats that ended within the measured period.
	FirstToken        Quantiles          `json:"first_token"`
	BetweenTokens     Quantiles          `json:"between_tokens"` // Time between two events of a stream, divided by the number of tokens in the later one.
	BetweenEvents     Quantiles          `json:"between_events"` // Time between two events of a stream.
	WholeChat         Quantiles          `json:"whole_chat"`     // Total time of the completely answered chats.
	WholeCall         Quantiles          `json:"whole_call"`     // Total time of the completely answered service calls.
	StartDelay        Quantiles          `json:"start_late"`     // Time by which the load generator started a request later than intended.
	Timeline          []Second           `json:"timeline"`
}

// Quantiles summarises a latency distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// AddedLatency is the time to first token that the load balancer adds: each
// quantile through the entry minus the same quantile directly to the engine.
type AddedLatency struct {
	P50 float64 `json:"first_token_p50_ms"`
	P95 float64 `json:"first_token_p95_ms"`
	P99 float64 `json:"first_token_p99_ms"`
}

func (l latencyHistogram) quantiles() Quantiles {
	at := func(quantile float64) float64 { return microsToMS(l.histogram.ValueAtQuantile(quantile)) }
	return Quantiles{
		Count: l.histogram.TotalCount(), Mean: l.histogram.Mean() / 1000,
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: microsToMS(l.histogram.Max()),
	}
}

func microsToMS(micros int64) float64 { return float64(micros) / 1000 }

func (r *recorder) pathResult(period time.Duration) *PathResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	pathResult := &PathResult{
		Attempts: r.attempts, Outcomes: r.outcomes, Codes: countsByName(r.codes), RetriedCodes: countsByName(r.retriedCodes),
		Examples:          r.examples,
		RequestsPerSecond: float64(r.completeAnswers) / period.Seconds(),
		TokensPerSecond:   float64(r.chatTokens) / period.Seconds(),
		FirstToken:        r.firstToken.quantiles(),
		BetweenTokens:     r.betweenTokens.quantiles(),
		BetweenEvents:     r.betweenEvents.quantiles(),
		WholeChat:         r.wholeChat.quantiles(),
		WholeCall:         r.wholeCall.quantiles(),
		StartDelay:        r.startDelay.quantiles(),
		Timeline:          r.timeline.seconds,
	}
	for _, count := range r.outcomes {
		pathResult.Requests += count
	}
	return pathResult
}

func countsByName(codes map[result.Code]int) map[string]int {
	names := make(map[string]int, len(codes))
	for code, count := range codes {
		names[fmt.Sprintf("%d %s", int(code), code)] += count
	}
	return names
}

func addedLatency(entry, direct *PathResult) *AddedLatency {
	return &AddedLatency{
		P50: entry.FirstToken.P50 - direct.FirstToken.P50,
		P95: entry.FirstToken.P95 - direct.FirstToken.P95,
		P99: entry.FirstToken.P99 - direct.FirstToken.P99,
	}
}

// InvalidAnswers returns the number of answers that a caller must never see:
// truncated ones and those that belong to another request.
func (r Result) InvalidAnswers() int {
	count := 0
	for _, pathResult := range []*PathResult{r.Entry, r.Direct} {
		if pathResult != nil {
			count += pathResult.Outcomes[Wrong] + pathResult.Outcomes[Cut]
		}
	}
	return count
}
