package dispatch

import (
	"math"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// pauseGoalShare is the share of the longest allowed pause between two events
	// of a stream that one pass of the group may take. The rest allows for the
	// usual variation of passes.
	pauseGoalShare = 0.85
	// largeGroupPauseGoalShare replaces pauseGoalShare in groups of at least
	// largeGroupServers. There over ten entries dispatch on load reports that are
	// one pass old, and after a jump of demand a single pass over the limit makes
	// hundreds of streams late.
	largeGroupPauseGoalShare = 0.80
	// largeGroupServers is the number of servers from which a group counts as large.
	// It lies between the users' groups of 12 ranks and grown groups of 63.
	largeGroupServers = 32
	// slopeTimeConstant is the time constant of the smoothed
	// ConcurrencyLimiter.slope. A shift of demand shows within one pass, so the
	// constant is a few passes long.
	slopeTimeConstant = 300 * time.Millisecond
	// initialSkew is the expert load skew (the load of the busiest rank relative to
	// the mean) assumed before any pass was observed.
	initialSkew = 1.5
	// firstEventPasses is the number of passes from sending a request to its first
	// event: on average half of the pass in progress, one that reads the prompt, one
	// that writes, and part of one for a long prompt. With 2.5, half of the first
	// events come 20 to 25 ms later than predicted, in passes of 50 to 60 ms.
	firstEventPasses = 2.9
	// minRequestsPerServer is the lower bound of the concurrency limit, so that a
	// wrong estimate of the slope does not starve a group.
	minRequestsPerServer = 1.0
)

// ConcurrencyLimiter bounds the number of requests in flight in a group so that
// the pause between events of a stream stays under its goal. All ranks advance in
// lock-step, so the duration of a pass grows with the requests of the whole group.
// The slope of that growth, the time that each request adds to a pass, is measured.
// It includes the effect of expert load skew and of prompts read in the same
// passes.
type ConcurrencyLimiter struct {
	engine       *topology.Engine // Nil for a plain service.
	pauseGoal    time.Duration    // Longest allowed pause between two events of a stream.
	maxSlowdown  float64          // Slowdown of the group's slowest server, 1 for a normal one; 0 while unknown.
	slope        float64          // Seconds that one request in flight in the group adds to a pass.
	observedAt   time.Time
	smoothedPass time.Duration // Smoothed duration of a pass.
	classed      bool          // The service's routes differ, so that it is scheduled by class.
	notBefore    time.Time     // Passes that began before are not observed; see discardObservations.
}

func (l *ConcurrencyLimiter) configure(engine *topology.Engine, pauseGoal time.Duration, classed bool) {
	l.engine, l.pauseGoal, l.classed = engine, pauseGoal, classed
}

// discardObservations forgets all passes that began before now.
func (l *ConcurrencyLimiter) discardObservations(now time.Time) {
	l.slope, l.smoothedPass, l.observedAt, l.notBefore = 0, 0, time.Time{}, now
}

// baseSeconds returns the duration in seconds of a pass without work at the slowest
// server.
func (l *ConcurrencyLimiter) baseSeconds() float64 {
	return float64(l.engine.Stride) * l.engine.StepMS / 1000 * max(1, l.maxSlowdown)
}

// evenSlope returns the slope of a group with perfectly balanced experts.
func (l *ConcurrencyLimiter) evenSlope(servers int) float64 {
	return float64(l.engine.Stride) * l.engine.PerSequenceMS / 1000 / float64(max(1, servers))
}

// observe updates the smoothed slope and pass duration from the gap between two
// events of a stream, which is the duration of one pass.
func (l *ConcurrencyLimiter) observe(gap time.Duration, inFlight int, now time.Time) {
	if l.engine == nil || inFlight <= 0 || gap <= 0 || now.Add(-gap).Before(l.notBefore) {
		return
	}
	slope := max(0, gap.Seconds()-l.baseSeconds()) / float64(inFlight)
	weight := 1.0
	if !l.observedAt.IsZero() {
		// Every stream in a pass reports its gap, so the weight that the time constant
		// gives to one pass is divided among the streams.
		weight = 1 - math.Exp(-gap.Seconds()/slopeTimeConstant.Seconds()/float64(max(1, inFlight)))
		weight = max(weight, 1-math.Exp(-now.Sub(l.observedAt).Seconds()/slopeTimeConstant.Seconds()))
	}
	l.slope += weight * (slope - l.slope)
	l.smoothedPass += time.Duration(weight * float64(gap-l.smoothedPass))
	l.observedAt = now
}

// limit returns the number of requests that may be in flight at the group's
// servers, 0 for no limit.
func (l *ConcurrencyLimiter) limit(servers int) int {
	if l.engine == nil || l.pauseGoal <= 0 || servers == 0 {
		return 0
	}
	even := l.evenSlope(servers)
	slope := l.slope
	if l.observedAt.IsZero() {
		slope = initialSkew * even
		if l.classed {
			slope = initialMapSkew * even
		}
	}
	slope = max(slope, even)
	availableSeconds := l.goalShare(servers)*l.pauseGoal.Seconds() - l.baseSeconds()
	limit := availableSeconds / slope
	limit = max(limit, minRequestsPerServer*float64(servers))
	return int(min(limit, engineFillShare*float64(servers*l.engine.Slots)))
}

// passDuration returns the current smoothed duration of a pass.
func (l *ConcurrencyLimiter) passDuration() time.Duration {
	return max(l.smoothedPass, time.Duration(l.baseSeconds()*float64(time.Second)))
}

// passesDuration returns the current duration of count passes.
func (l *ConcurrencyLimiter) passesDuration(count float64) time.Duration {
	return time.Duration(count * float64(l.passDuration()))
}

// predictFirstEvent returns the expected time from sending a request to its first
// event, zero at plain services.
func (l *ConcurrencyLimiter) predictFirstEvent() time.Duration {
	if l.engine == nil {
		return 0
	}
	return l.passesDuration(firstEventPasses)
}
