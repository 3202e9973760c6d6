package admission

import (
	"time"

	"persimmonwind.dev/policy/prefix"
)

const (
	lateFactor        = 3                      // Multiple of the usual time from which a first piece is late.
	lateSlack         = 50 * time.Millisecond  // Allowance for scheduling jitter on the agent's machine.
	baseTokens        = 64                     // Fixed cost of a first piece, in tokens, besides the uncached tokens.
	minSamples        = 4                      // Samples needed before a first piece can count as late.
	maxPendingSamples = 64                     // Samples kept until a report shows whether they count.
	slowdownStep      = 1.2                    // Largest factor by which one false alarm changes the usual pace.
	learnWeight       = 0.05                   // Weight of a new sample.
	coldWeight        = 0.2                    // Weight of a new sample in cold start.
	coldFactor        = 4                      // Slowdown assumed in cold start before any sample.
	defaultPace       = 200 * time.Microsecond // Time per token of cost assumed before any sample.
)

// cost returns the cost, in tokens, of reading a prompt before the first piece:
// the tokens not cached and a fixed base.
func cost(tokens, cachedBlocks int) float64 {
	return float64(baseTokens + max(0, tokens-cachedBlocks*prefix.BlockTokens))
}

// pace estimates the backend server's speed from observed answers.
type pace struct {
	samples             int
	warm                float64 // Seconds to the first piece per token of cost.
	cold                float64 // The same in cold start; 0 before any sample.
	lateSecondsPerToken float64 // The same for the latest late first piece.
	pendingSamples      []paceSample
	requestSeconds      float64 // Duration of one whole request in seconds; 0 before any was completed.
}

type paceSample struct {
	at              time.Time
	secondsPerToken float64 // Seconds to the first piece per token of cost.
}

// timeToFirstPiece returns the expected time to the first piece of a prompt with
// this cost.
func (p *pace) timeToFirstPiece(cost float64, cold bool) time.Duration {
	secondsPerToken := p.warm
	if p.samples == 0 {
		secondsPerToken = defaultPace.Seconds()
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

// calibrated reports whether there are enough samples to know the usual pace.
func (p *pace) calibrated() bool { return p.samples >= minSamples }

func (p *pace) late(took time.Duration, cost float64) bool {
	return p.calibrated() && took > lateFactor*p.timeToFirstPiece(cost, false)+lateSlack
}

// addSample keeps the time to a first piece until it is known whether the backend
// server was warm.
func (p *pace) addSample(now time.Time, took time.Duration, cost float64) {
	if len(p.pendingSamples) >= maxPendingSamples {
		p.pendingSamples = p.pendingSamples[1:]
	}
	p.pendingSamples = append(p.pendingSamples, paceSample{at: now, secondsPerToken: took.Seconds() / cost})
}

// learnUntil learns from the samples up to the time at, as the backend server was
// warm until then.
func (p *pace) learnUntil(at time.Time) {
	for len(p.pendingSamples) > 0 && !p.pendingSamples[0].at.After(at) {
		p.samples++
		weight := max(learnWeight, 1/float64(p.samples))
		p.warm += weight * (p.pendingSamples[0].secondsPerToken - p.warm)
		p.pendingSamples = p.pendingSamples[1:]
	}
}

// discardSamples drops the pending samples, which may come from a cold backend
// server.
func (p *pace) discardSamples() { p.pendingSamples = nil }

func (p *pace) learnCold(took time.Duration, cost float64) {
	sample := took.Seconds() / cost
	if p.cold == 0 {
		p.cold = sample
	}
	p.cold += coldWeight * (sample - p.cold)
}

func (p *pace) recordLate(took time.Duration, cost float64) {
	p.lateSecondsPerToken = took.Seconds() / cost
}

// adaptToFalseAlarm moves the usual pace towards that of a late first piece after a
// warm report has shown that it was no sign of a cold start: the backend server is
// warm but slower than before. The step is small, so that a cold start is still
// detected.
func (p *pace) adaptToFalseAlarm(openSign sign) {
	if openSign == signLate && p.lateSecondsPerToken > p.warm {
		p.warm = min(p.lateSecondsPerToken, p.warm*slowdownStep)
	}
}

// recordCompleted learns from the duration of one whole request.
func (p *pace) recordCompleted(took time.Duration) {
	if p.requestSeconds == 0 {
		p.requestSeconds = took.Seconds()
		return
	}
	p.requestSeconds += learnWeight * (took.Seconds() - p.requestSeconds)
}

// serviceTime returns the expected duration of one whole request.
func (p *pace) serviceTime() time.Duration {
	if p.requestSeconds == 0 {
		return defaultService
	}
	return seconds(p.requestSeconds)
}
