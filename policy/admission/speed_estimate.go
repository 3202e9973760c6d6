package admission

import (
	"time"

	"persimmonwind.dev/policy/prefix"
)

const (
	lateFactor          = 3                      // Multiple of the expected time from which the first chunk of an answer is late.
	lateSlack           = 50 * time.Millisecond  // Added to that time for scheduling jitter on the agent's machine.
	baseTokens          = 64                     // Fixed cost of the first chunk of an answer, in tokens, besides the uncached tokens.
	minSamples          = 4                      // Samples needed before the first chunk of an answer can count as late.
	maxPendingSamples   = 64                     // Samples kept until a report shows whether the backend server was warm.
	slowdownStep        = 1.2                    // Largest factor by which one false alarm raises the estimated time per token.
	learnWeight         = 0.05                   // Weight of a new sample in the moving averages.
	coldWeight          = 0.2                    // Weight of a new sample in the moving average of cold start.
	coldFactor          = 4                      // Slowdown assumed in cold start before any sample in cold start.
	defaultTimePerToken = 200 * time.Microsecond // Time per token assumed before any sample.
)

// cost returns the estimated work, in tokens, before the first chunk of the answer
// to a prompt: the tokens that are not in the prefix cache, and a fixed base.
func cost(tokens, cachedBlocks int) float64 {
	return float64(baseTokens + max(0, tokens-cachedBlocks*prefix.BlockTokens))
}

// speedEstimate estimates the backend server's speed from observed answers: the
// time to the first chunk of an answer, divided by the request's estimated work in
// tokens, which the function cost returns.
type speedEstimate struct {
	samples             int           // Samples taken while the backend server was warm.
	warmSecondsPerToken float64       // Time to the first chunk in seconds, divided by the request's estimated work in tokens, when warm.
	cold                float64       // Time to the first chunk in seconds, divided by the request's estimated work in tokens, in cold start; 0 before any sample.
	lateSecondsPerToken float64       // Time to the first chunk in seconds, divided by the request's estimated work in tokens, of the last answer whose first chunk was late.
	pendingSamples      []speedSample // Samples for which it is not known yet whether the backend server was warm.
	requestSeconds      float64       // Duration of one whole request in seconds; 0 before any was completed.
}

type speedSample struct {
	at              time.Time
	secondsPerToken float64 // Time to the first chunk in seconds, divided by the request's estimated work in tokens.
}

// timeToFirstChunk returns the expected time to the first chunk of the answer to a
// prompt with this cost.
func (p *speedEstimate) timeToFirstChunk(cost float64, cold bool) time.Duration {
	secondsPerToken := p.warmSecondsPerToken
	if p.samples == 0 {
		secondsPerToken = defaultTimePerToken.Seconds()
	}
	switch {
	case cold && p.cold > 0:
		secondsPerToken = p.cold
	case cold:
		secondsPerToken *= coldFactor
	}
	return seconds(secondsPerToken * cost)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// calibrated reports whether there are enough samples to know the usual speed of
// the warm backend server.
func (p *speedEstimate) calibrated() bool { return p.samples >= minSamples }

func (p *speedEstimate) late(took time.Duration, cost float64) bool {
	return p.calibrated() && took > lateFactor*p.timeToFirstChunk(cost, false)+lateSlack
}

// addSample keeps the time to a first chunk until it is known whether the backend
// server was warm.
func (p *speedEstimate) addSample(now time.Time, took time.Duration, cost float64) {
	if len(p.pendingSamples) >= maxPendingSamples {
		p.pendingSamples = p.pendingSamples[1:]
	}
	p.pendingSamples = append(p.pendingSamples, speedSample{at: now, secondsPerToken: took.Seconds() / cost})
}

// learnUntil updates the estimate for the warm backend server from the pending
// samples up to the time at, until which the backend server is known to have been
// warm.
func (p *speedEstimate) learnUntil(at time.Time) {
	for len(p.pendingSamples) > 0 && !p.pendingSamples[0].at.After(at) {
		p.samples++
		weight := max(learnWeight, 1/float64(p.samples))
		p.warmSecondsPerToken += weight * (p.pendingSamples[0].secondsPerToken - p.warmSecondsPerToken)
		p.pendingSamples = p.pendingSamples[1:]
	}
}

// discardSamples drops the pending samples, which may come from a cold backend
// server.
func (p *speedEstimate) discardSamples() { p.pendingSamples = nil }

func (p *speedEstimate) learnCold(took time.Duration, cost float64) {
	sample := took.Seconds() / cost
	if p.cold == 0 {
		p.cold = sample
	}
	p.cold += coldWeight * (sample - p.cold)
}

func (p *speedEstimate) recordLate(took time.Duration, cost float64) {
	p.lateSecondsPerToken = took.Seconds() / cost
}

// adaptToFalseAlarm raises the estimated time per token after a load report has
// shown that a cold start was suspected wrongly because of a late first chunk: the
// backend server is warm but slower than before. The estimate moves towards the
// time per token of that late answer, by a small step, so that a real cold start
// is still detected.
func (p *speedEstimate) adaptToFalseAlarm(openSign sign) {
	if openSign == signLate && p.lateSecondsPerToken > p.warmSecondsPerToken {
		p.warmSecondsPerToken = min(p.lateSecondsPerToken, p.warmSecondsPerToken*slowdownStep)
	}
}

// recordCompleted updates the average duration of whole requests.
func (p *speedEstimate) recordCompleted(took time.Duration) {
	if p.requestSeconds == 0 {
		p.requestSeconds = took.Seconds()
		return
	}
	p.requestSeconds += learnWeight * (took.Seconds() - p.requestSeconds)
}

// serviceTime returns the expected duration of one whole request.
func (p *speedEstimate) serviceTime() time.Duration {
	if p.requestSeconds == 0 {
		return defaultService
	}
	return seconds(p.requestSeconds)
}
