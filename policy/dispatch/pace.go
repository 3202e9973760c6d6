package dispatch

import (
	"math"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// paceGoalShare of the longest allowed pause is aimed at, so that the usual
	// variation of passes stays within it.
	paceGoalShare = 0.85
	// largePaceGoalShare is aimed at in groups of manyServers and more: over ten
	// entries place on reports that are a pass old, and after a jump of demand one
	// pass over the limit makes hundreds of streams late.
	largePaceGoalShare = 0.80
	manyServers        = 32 // The users' groups have 12 ranks, grown ones 63.
	// paceMemory is the time constant of the observed slope. A shift of demand
	// shows in a pass, so it is a few passes long.
	paceMemory = 300 * time.Millisecond
	// unknownSkew is the skew of experts that is assumed before any pass was
	// observed.
	unknownSkew = 1.5
	// firstEventPasses is the number of passes from placing a request to its first
	// event: half of the one under way on average, one that reads the prompt, one that
	// writes, and a part of one for a long prompt. With 2.5 half of the first events
	// came 20 to 25 ms later than predicted, in passes of 50 to 60 ms.
	firstEventPasses = 2.9
	// minPerServer keeps a group from starving on a wrong slope.
	minPerServer = 1.0
)

// ConcurrencyLimiter bounds how many requests may write at once in a group so that the
// pause between events stays under its goal. All ranks advance in lock-step,
// so a pass grows with the requests of the whole group; the slope is observed
// and holds the skew of the experts and the prompts that are read meanwhile.
type ConcurrencyLimiter struct {
	engine  *topology.Engine
	goal    time.Duration
	slowest float64 // Slowness of the group's slowest server; 0 while unknown.
	slope   float64 // Seconds that one writing request of the group adds to a pass.
	seenAt  time.Time
	pass    time.Duration // Smoothed duration of a pass.
}

func (p *ConcurrencyLimiter) configure(engine *topology.Engine, goal time.Duration) {
	p.engine, p.goal = engine, goal
}

// base is the duration of a pass without work, in seconds: that of the slowest
// server.
func (p *ConcurrencyLimiter) base() float64 {
	return float64(p.engine.Stride) * p.engine.StepMS / 1000 * max(1, p.slowest)
}

// evenSlope is the slope of a group whose experts are spread perfectly.
func (p *ConcurrencyLimiter) evenSlope(servers int) float64 {
	return float64(p.engine.Stride) * p.engine.PerSequenceMS / 1000 / float64(max(1, servers))
}

func (p *ConcurrencyLimiter) observe(gap time.Duration, writers int, now time.Time) {
	if p.engine == nil || writers <= 0 || gap <= 0 {
		return
	}
	slope := max(0, gap.Seconds()-p.base()) / float64(writers)
	weight := 1.0
	if !p.seenAt.IsZero() {
		// Every stream of a pass observes it; together they move the slope by the
		// share of a pass in the memory.
		weight = 1 - math.Exp(-gap.Seconds()/paceMemory.Seconds()/float64(max(1, writers)))
		weight = max(weight, 1-math.Exp(-now.Sub(p.seenAt).Seconds()/paceMemory.Seconds()))
	}
	p.slope += weight * (slope - p.slope)
	p.pass += time.Duration(weight * float64(gap-p.pass))
	p.seenAt = now
}

// limit returns how many requests may be at the group's servers, 0 for no
// bound.
func (p *ConcurrencyLimiter) limit(servers int) int {
	if p.engine == nil || p.goal <= 0 || servers == 0 {
		return 0
	}
	even := p.evenSlope(servers)
	slope := p.slope
	if p.seenAt.IsZero() {
		slope = unknownSkew * even
	}
	slope = max(slope, even)
	share := paceGoalShare
	if servers >= manyServers {
		share = largePaceGoalShare
	}
	room := share*p.goal.Seconds() - p.base()
	limit := room / slope
	limit = max(limit, minPerServer*float64(servers))
	return int(min(limit, fillShare*float64(servers*p.engine.Slots)))
}

// passTime returns the usual duration of a pass at present.
func (p *ConcurrencyLimiter) passTime() time.Duration {
	return max(p.pass, time.Duration(p.base()*float64(time.Second)))
}

// passes returns the duration of so many passes at present.
func (p *ConcurrencyLimiter) passes(count float64) time.Duration {
	return time.Duration(count * float64(p.passTime()))
}

// firstEvent predicts the time from placing a request to its first event, zero
// where there is no engine.
func (p *ConcurrencyLimiter) firstEvent() time.Duration {
	if p.engine == nil {
		return 0
	}
	return p.passes(firstEventPasses)
}
