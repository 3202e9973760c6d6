package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonwind.dev/policy/result"
)

// Range, in microseconds, and precision, in significant decimal digits, of the
// latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Outcome says how a request ended.
type Outcome string

// Possible outcomes.
const (
	Whole     Outcome = "whole"     // The complete answer arrived and, if enabled, was verified.
	Refused   Outcome = "refused"   // The response is an error which states that the request was not run.
	Failed    Outcome = "failed"    // The response is an error after which the request may have run.
	Cut       Outcome = "cut"       // The answer was truncated.
	Wrong     Outcome = "wrong"     // The content of the answer does not belong to this request.
	TimedOut  Outcome = "timed_out" // The request did not finish within its timeout.
	Transport Outcome = "transport" // The connection failed without a result code.
	Dropped   Outcome = "dropped"   // The request was not sent, because too many requests were in flight.
)

type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{histogram: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

func (l latencyHistogram) add(value time.Duration, count int64) {
	micros := min(max(value.Microseconds(), lowestMicros), highestMicros)
	_ = l.histogram.RecordValues(micros, count) // Cannot fail: the value is clamped to the range.
}

// requestRecord is what the load generator measured about one request.
type requestRecord struct {
	req        request
	intended   time.Duration // Intended start, as an offset from the start of the run.
	delay      time.Duration // Time between the intended and the actual start.
	first      time.Duration // Time from the intended start to the first token.
	totalTime  time.Duration // Time from the intended start to the end of the request.
	attempts   int
	retryCodes []result.Code // Result codes of the attempts that were retried.
	trace      answerTrace
	failure    *failure // Why there is no complete answer; nil if there is one.
}

// recorder aggregates the finished requests of one path to the engines: through the
// entries, or directly.
type recorder struct {
	mu              sync.Mutex
	outcomes        map[Outcome]int
	codes           map[result.Code]int // Number of final answers by result code.
	retriedCodes    map[result.Code]int // Number of retried attempts by result code.
	examples        map[Outcome]string  // Detail of the first failure of each kind.
	attempts        int
	completeAnswers int // Number of complete answers that ended within the measured period.
	chatTokens      int // Number of tokens of all chats that ended within the measured period.
	firstToken      latencyHistogram
	betweenTokens   latencyHistogram
	betweenEvents   latencyHistogram
	wholeChat       latencyHistogram
	wholeCall       latencyHistogram
	startDelay      latencyHistogram
	timeline        *timeline
}

func newRecorder() *recorder {
	return &recorder{
		outcomes: map[Outcome]int{}, codes: map[result.Code]int{}, retriedCodes: map[result.Code]int{},
		examples:   map[Outcome]string{},
		firstToken: newLatencyHistogram(), betweenTokens: newLatencyHistogram(), betweenEvents: newLatencyHistogram(),
		wholeChat: newLatencyHistogram(), wholeCall: newLatencyHistogram(), startDelay: newLatencyHistogram(),
		timeline: newTimeline(),
	}
}

// add records one finished request. Throughput counts the requests that ended
// after the warm-up and before arrivals stopped; all other figures, except the
// timeline, count the requests that arrived after the warm-up.
func (r *recorder) add(record requestRecord, options Options) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline.add(record)
	if end := record.intended + record.totalTime; end >= options.WarmUp && end < options.Duration {
		r.addThroughput(record)
	}
	if record.intended < options.WarmUp {
		return
	}
	r.attempts += record.attempts
	for _, code := range record.retryCodes {
		r.retriedCodes[code]++
	}
	r.startDelay.add(record.delay, 1)
	r.addOutcome(record)
	r.addLatencies(record)
}

func (r *recorder) addThroughput(record requestRecord) {
	r.chatTokens += record.trace.tokens
	if record.failure == nil {
		r.completeAnswers++
	}
}

func (r *recorder) addOutcome(record requestRecord) {
	kind := Whole
	if record.failure != nil {
		kind = record.failure.kind
		if record.failure.code != result.OK {
			r.codes[record.failure.code]++
		}
		if r.examples[kind] == "" {
			r.examples[kind] = record.failure.detail
		}
	}
	r.outcomes[kind]++
}

// addLatencies records the latencies that the caller saw. It records the time to
// first token also for an answer that failed later, but the total time only for
// complete answers.
func (r *recorder) addLatencies(record requestRecord) {
	if !record.trace.first.IsZero() {
		r.firstToken.add(record.first, 1)
	}
	for _, gap := range record.trace.gaps {
		r.betweenEvents.add(gap.duration, 1)
		if gap.tokens > 0 {
			r.betweenTokens.add(gap.duration/time.Duration(gap.tokens), int64(gap.tokens))
		}
	}
	if record.failure != nil {
		return
	}
	if record.req.chat {
		r.wholeChat.add(record.totalTime, 1)
		return
	}
	r.wholeCall.add(record.totalTime, 1)
}
