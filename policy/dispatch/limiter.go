package dispatch

import (
	"math"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// pauseGoalShare of the longest allowed pause is aimed at, so that the usual
	// variation of passes stays within it.
	pauseGoalShare = 0.85
	// largeGroupPauseGoalShare is aimed at in groups of largeGroupServers and more: over ten
	// entries place on reports that are a pass old, and after a jump of demand one
	// pass over the limit makes hundreds of streams late.
	largeGroupPauseGoalShare = 0.80
	largeGroupServers        = 32 // The users' groups have 12 ranks, grown ones 63.
	// slopeTimeConstant is the time constant of the observed slope. A shift of demand
	// shows in a pass, so it is a few passes long.
	slopeTimeConstant = 300 * time.Millisecond
	// initialSkew is the skew of experts that is assumed before any pass was
	// observed.
	initialSkew = 1.5
	// firstEventPasses is the number of passes from placing a request to its first
	// event: half of the one under way on average, one that reads the prompt, one that
	// writes, and a part of one for a long prompt. With 2.5 half of the first events
	// came 20 to 25 ms later than predicted, in passes of 50 to 60 ms.
	firstEventPasses = 2.9
	// minRequestsPerServer keeps a group from starving on a wrong slope.
	minRequestsPerServer = 1.0
)

// ConcurrencyLimiter bounds how many requests may write at once in a group so that the
// pause between events stays under its pauseGoal. All ranks advance in lock-step,
// so a pass grows with the requests of the whole group; the slope is observed
// and holds the skew of the experts and the prompts that are read meanwhile.
type ConcurrencyLimiter struct {
	engine     *topology.Engine
	pauseGoal  time.Duration
	slowest    float64 // Slowness of the group's slowest server; 0 while unknown.
	slope      float64 // Seconds that one writing request of the group adds to a pass.
	observedAt time.Time
	pass       time.Duration // Smoothed duration of a pass.
}

func (l *ConcurrencyLimiter) configure(engine *topology.Engine, pauseGoal time.Duration) {
	l.engine, l.pauseGoal = engine, pauseGoal
}

// base is the duration of a pass without work, in seconds: that of the slowest
// server.
func (l *ConcurrencyLimiter) base() float64 {
	return float64(l.engine.Stride) * l.engine.StepMS / 1000 * max(1, l.slowest)
}

// evenSlope is the slope of a group whose experts are spread perfectly.
func (l *ConcurrencyLimiter) evenSlope(servers int) float64 {
	return float64(l.engine.Stride) * l.engine.PerSequenceMS / 1000 / float64(max(1, servers))
}

func (l *ConcurrencyLimiter) observe(gap time.Duration, inFlight int, now time.Time) {
	if l.engine == nil || inFlight <= 0 || gap <= 0 {
		return
	}
	slope := max(0, gap.Seconds()-l.base()) / float64(inFlight)
	weight := 1.0
	if !l.observedAt.IsZero() {
		// Every stream of a pass observes it; together they move the slope by the
		// share of a pass in the memory.
		weight = 1 - math.Exp(-gap.Seconds()/slopeTimeConstant.Seconds()/float64(max(1, inFlight)))
		weight = max(weight, 1-math.Exp(-now.Sub(l.observedAt).Seconds()/slopeTimeConstant.Seconds()))
	}
	l.slope += weight * (slope - l.slope)
	l.pass += time.Duration(weight * float64(gap-l.pass))
	l.observedAt = now
}

// limit returns how many requests may be at the group's servers, 0 for no
// bound.
func (l *ConcurrencyLimiter) limit(servers int) int {
	if l.engine == nil || l.pauseGoal <= 0 || servers == 0 {
		return 0
	}
	even := l.evenSlope(servers)
	slope := l.slope
	if l.observedAt.IsZero() {
		slope = initialSkew * even
	}
	slope = max(slope, even)
	share := pauseGoalShare
	if servers >= largeGroupServers {
		share = largeGroupPauseGoalShare
	}
	room := share*l.pauseGoal.Seconds() - l.base()
	limit := room / slope
	limit = max(limit, minRequestsPerServer*float64(servers))
	return int(min(limit, engineFillShare*float64(servers*l.engine.Slots)))
}

// passDuration returns the usual duration of a pass at present.
func (l *ConcurrencyLimiter) passDuration() time.Duration {
	return max(l.pass, time.Duration(l.base()*float64(time.Second)))
}

// passesDuration returns the duration of so many passes at present.
func (l *ConcurrencyLimiter) passesDuration(count float64) time.Duration {
	return time.Duration(count * float64(l.passDuration()))
}

// predictFirstEvent predicts the time from placing a request to its first event, zero
// where there is no engine.
func (l *ConcurrencyLimiter) predictFirstEvent() time.Duration {
	if l.engine == nil {
		return 0
	}
	return l.passesDuration(firstEventPasses)
}
