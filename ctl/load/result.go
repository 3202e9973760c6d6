package load

import (
	"fmt"
	"time"

	"persimmonwind.dev/policy/result"
)

// Result is what a run measured. Latencies count from the intended start of a
// request, so that a slow answer that holds up nothing is still seen.
type Result struct {
	Seed         uint64        `json:"seed"`
	Arrivals     Arrivals      `json:"arrivals"`
	Workload     Workload      `json:"workload"`
	Duration     float64       `json:"duration_s"` // Counted part: without the warm-up.
	Entry        *PathResult   `json:"entry,omitempty"`
	Direct       *PathResult   `json:"direct,omitempty"`
	AddedLatency *AddedLatency `json:"added,omitempty"`
}

// PathResult is what one way to the engines measured.
type PathResult struct {
	Requests          int                `json:"requests"` // Arrived after the warm-up.
	Attempts          int                `json:"attempts"`
	Outcomes          map[Outcome]int    `json:"outcomes"`
	Codes             map[string]int     `json:"codes,omitempty"`         // Final answers by result code.
	RetriedCodes      map[string]int     `json:"retried_codes,omitempty"` // Answers that were repeated.
	Examples          map[Outcome]string `json:"examples,omitempty"`
	RequestsPerSecond float64            `json:"requests_per_s"` // Whole answers that ended while requests still arrived.
	TokensPerSecond   float64            `json:"tokens_per_s"`   // Of answers that ended while requests still arrived.
	FirstToken        Quantiles          `json:"first_token"`
	BetweenTokens     Quantiles          `json:"between_tokens"` // Gap between events over the later one's tokens.
	BetweenEvents     Quantiles          `json:"between_events"`
	WholeChat         Quantiles          `json:"whole_chat"`
	WholeCall         Quantiles          `json:"whole_call"`
	StartDelay        Quantiles          `json:"start_late"` // The load generator's own delay.
	Timeline          []Second           `json:"timeline"`
}

// Quantiles are of a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// AddedLatency is the time to first token that the load balancer adds: each quantile
// through the entry less the same quantile straight to the engine.
type AddedLatency struct {
	P50 float64 `json:"first_token_p50_ms"`
	P95 float64 `json:"first_token_p95_ms"`
	P99 float64 `json:"first_token_p99_ms"`
}

func (l latency) quantiles() Quantiles {
	at := func(quantile float64) float64 { return microsToMS(l.histogram.ValueAtQuantile(quantile)) }
	return Quantiles{
		Count: l.histogram.TotalCount(), Mean: l.histogram.Mean() / 1000,
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: microsToMS(l.histogram.Max()),
	}
}

func microsToMS(micros int64) float64 { return float64(micros) / 1000 }

func (r *recorder) side(counted time.Duration) *PathResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	side := &PathResult{
		Attempts: r.attempts, Outcomes: r.outcomes, Codes: named(r.codes), RetriedCodes: named(r.retriedCodes),
		Examples:          r.examples,
		RequestsPerSecond: float64(r.served) / counted.Seconds(),
		TokensPerSecond:   float64(r.servedTokens) / counted.Seconds(),
		FirstToken:        r.firstToken.quantiles(),
		BetweenTokens:     r.betweenTokens.quantiles(),
		BetweenEvents:     r.betweenEvents.quantiles(),
		WholeChat:         r.wholeChat.quantiles(),
		WholeCall:         r.wholeCall.quantiles(),
		StartDelay:        r.startLate.quantiles(),
		Timeline:          r.timeline.seconds,
	}
	for _, count := range r.outcomes {
		side.Requests += count
	}
	return side
}

func named(codes map[result.Code]int) map[string]int {
	names := make(map[string]int, len(codes))
	for code, count := range codes {
		names[fmt.Sprintf("%d %s", int(code), code)] += count
	}
	return names
}

func added(entry, direct *PathResult) *AddedLatency {
	return &AddedLatency{
		P50: entry.FirstToken.P50 - direct.FirstToken.P50,
		P95: entry.FirstToken.P95 - direct.FirstToken.P95,
		P99: entry.FirstToken.P99 - direct.FirstToken.P99,
	}
}

// InvalidAnswers returns the number of answers that a caller must never see: cut, or
// another request's.
func (r Result) InvalidAnswers() int {
	count := 0
	for _, side := range []*PathResult{r.Entry, r.Direct} {
		if side != nil {
			count += side.Outcomes[Wrong] + side.Outcomes[Cut]
		}
	}
	return count
}
