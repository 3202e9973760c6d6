package poison

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

// clearanceSpread is the time over which entries publish clearances of the same part, so
// that the first ones spare the others the write.
const clearanceSpread = time.Second

// scheduleClearances chooses a time for publishing clearances if the records accuse a
// part that this entry has seen answered since.
func (s State) scheduleClearances(crashes []Crash, cleared map[clearedPart]time.Time, input reduce.Input) State {
	if len(s.publishable(crashes, cleared)) == 0 {
		s.clearAt = time.Time{}
	} else if s.clearAt.IsZero() {
		fraction := float64(input.Random>>11) / (1 << 53)
		s.clearAt = input.Now.Add(time.Duration(fraction * float64(clearanceSpread)))
	}
	return s
}

// publishClearances adds the clearances that are due to the entry's record.
func (s State) publishClearances(now time.Time) State {
	if s.clearAt.IsZero() || now.Before(s.clearAt) {
		return s
	}
	for _, clearance := range s.publishable(s.crashes(now), s.clearances()) {
		s.own.addClearance(clearance)
	}
	return s
}

// publishable returns the clearances that are missing in the records: of the parts that
// they accuse, in the prompts of organisations to whom this entry has seen them answered
// after a crash that counts.
func (s State) publishable(crashes []Crash, cleared map[clearedPart]time.Time) []Clearance {
	var missing []Clearance
	published := func(suspect organisationKey, part string) time.Time { return cleared[clearedPart{suspect, part}] }
	for key, accusation := range accusations(crashes, published) {
		for _, organisation := range accusation.Organisations {
			at := wireTime(s.sound.last(organisationKey{key.service, organisation}, key.part))
			if at.After(accusation.FirstCrash) {
				missing = append(missing, Clearance{key.service, organisation, key.part, at})
			}
		}
	}
	return missing
}
