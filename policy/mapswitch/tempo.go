package mapswitch

import "time"

// tempoMemory is the weight of what is known against a new sample: about the last
// five changes and passes count.
const tempoMemory = 0.8

// tempo is how fast the group runs passes and how long its ranks take to be armed.
// The hold of a change is put so many passes ahead that the group hardly rests.
type tempo struct {
	pass   int64 // The last one seen.
	passAt time.Time

	passTime time.Duration // Of one pass; 0 while unknown.
	armTime  time.Duration // From the order to hold to the release; 0 while unknown.
}

// see takes in the last pass that the group has begun.
func (t *tempo) see(pass int64, now time.Time) {
	if pass <= t.pass {
		return
	}
	if t.pass != 0 {
		t.passTime = blend(t.passTime, now.Sub(t.passAt)/time.Duration(pass-t.pass))
	}
	t.pass, t.passAt = pass, now
}

// armed takes in how long a change took from the order to hold to the release. One
// that took long counts at once.
func (t *tempo) armed(took time.Duration) {
	t.armTime = max(took, blend(t.armTime, took))
}

func blend(known, sample time.Duration) time.Duration {
	if known == 0 {
		return sample
	}
	return time.Duration(tempoMemory*float64(known) + (1-tempoMemory)*float64(sample))
}

// lead returns how many passes ahead a hold is put in a group of so many ranks, so
// that they are armed before the held pass is due. No rest is planned for: it comes
// on top of a pass, and every stream of the group sees it.
func (t *tempo) lead(ranks int) int64 {
	armTime := t.armTime
	if armTime == 0 {
		armTime = time.Duration(ranks) * armTimePerRank
	}
	lead := int64(passLead)
	for rest := armTime; rest > 0 && t.passTime > 0 && lead < maxPassLead-1; rest -= t.passTime {
		lead++
	}
	return lead
}
