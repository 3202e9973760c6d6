package mapswitch

import "time"

// oldSampleWeight is the share of the old value in an exponential moving average when
// a sample is added, so that the average covers about the last five changes or
// passes.
const oldSampleWeight = 0.8

// passTiming estimates how fast the group runs passes and how long it takes to arm its
// ranks. Both determine how many passes ahead of the group a hold must be set so that
// the group hardly stalls.
type passTiming struct {
	pass   int64     // The last pass seen.
	passAt time.Time // When pass was first seen.

	passTime time.Duration // Duration of one pass; 0 while unknown.
	armTime  time.Duration // Time from the order to hold to the release; 0 while unknown.
}

// observePass records the last pass that the group has begun.
func (t *passTiming) observePass(pass int64, now time.Time) {
	if pass <= t.pass {
		return
	}
	if t.pass != 0 {
		t.passTime = movingAverage(t.passTime, now.Sub(t.passAt)/time.Duration(pass-t.pass))
	}
	t.pass, t.passAt = pass, now
}

// observeArming records how long a change took from the order to hold to the
// release. A time above the average replaces it at once.
func (t *passTiming) observeArming(duration time.Duration) {
	t.armTime = max(duration, movingAverage(t.armTime, duration))
}

func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return time.Duration(oldSampleWeight*float64(average) + (1-oldSampleWeight)*float64(sample))
}

// lead returns how many passes ahead to set a hold in a group of the given
// number of ranks, so that they are armed before the held pass is due. No stall
// is planned for: it would lengthen a pass, and every stream of the group would
// see it.
func (t *passTiming) lead(ranks int) int64 {
	armTime := t.armTime
	if armTime == 0 {
		armTime = time.Duration(ranks) * armTimePerRank
	}
	lead := int64(passLead)
	for remaining := armTime; remaining > 0 && t.passTime > 0 && lead < maxPassLead-1; remaining -= t.passTime {
		lead++
	}
	return lead
}

// soonestLead returns how many passes ahead to set a hold so that the ranks are armed, as
// estimated, when the held pass is due: 1 if enough of the current pass is left. The
// estimate varies, so that the group may stall for a moment.
func (t *passTiming) soonestLead(ranks int, now time.Time) int64 {
	remaining := t.armTime
	if remaining == 0 {
		remaining = time.Duration(ranks) * armTimePerRank
	}
	remaining -= max(0, t.passTime-now.Sub(t.passAt)) // What is left of the current pass.
	lead := int64(passLead)
	for ; remaining > 0 && t.passTime > 0 && lead < maxPassLead-1; remaining -= t.passTime {
		lead++
	}
	return lead
}
