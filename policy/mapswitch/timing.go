package mapswitch

import "time"

// oldSampleWeight is the weight of what is known against a new sample: about the last
// five changes and passes count.
const oldSampleWeight = 0.8

// passTiming is how fast the group runs passes and how long its ranks take to be armed.
// The hold of a change is put so many passes ahead that the group hardly rests.
type passTiming struct {
	pass   int64 // The last one seen.
	passAt time.Time

	passTime time.Duration // Of one pass; 0 while unknown.
	armTime  time.Duration // From the order to hold to the release; 0 while unknown.
}

// observePass takes in the last pass that the group has begun.
func (t *passTiming) observePass(pass int64, now time.Time) {
	if pass <= t.pass {
		return
	}
	if t.pass != 0 {
		t.passTime = movingAverage(t.passTime, now.Sub(t.passAt)/time.Duration(pass-t.pass))
	}
	t.pass, t.passAt = pass, now
}

// observeArming takes in how long a change took from the order to hold to the release. One
// that took long counts at once.
func (t *passTiming) observeArming(took time.Duration) {
	t.armTime = max(took, movingAverage(t.armTime, took))
}

func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return time.Duration(oldSampleWeight*float64(average) + (1-oldSampleWeight)*float64(sample))
}

// lead returns how many passes ahead a hold is put in a group of so many ranks, so
// that they are armed before the held pass is due. No rest is planned for: it comes
// on top of a pass, and every stream of the group sees it.
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
