package poison

import (
	"cmp"
	"slices"
	"time"

	"persimmonwind.dev/policy/reduce"
)

// clearanceSpread is the time over which entries publish clearances of the same trait, so
// that the first ones spare the others the write.
const clearanceSpread = time.Second

// scheduleClearances chooses a time for publishing clearances if the records accuse a
// trait that this entry has seen answered since.
func (s State) scheduleClearances(accused map[traitKey]Accusation, cleared map[traitKey]map[string]time.Time, input reduce.Input) State {
	if len(s.publishable(accused, cleared)) == 0 {
		s.clearAt = time.Time{}
	} else if s.clearAt.IsZero() {
		fraction := float64(input.Random>>11) / (1 << 53)
		s.clearAt = input.Now.Add(time.Duration(fraction * float64(clearanceSpread)))
	}
	return s
}

// publishClearances adds the clearances that are due to the entry's record. It reports
// whether any were due.
func (s State) publishClearances(now time.Time) (_ State, published bool) {
	if s.clearAt.IsZero() || now.Before(s.clearAt) {
		return s, false
	}
	cleared := s.clearances(now)
	for _, clearance := range s.publishable(accusedByRecords(s.crashes(now), cleared), cleared) {
		s.own.addClearance(clearance)
	}
	return s, true
}

// accusedByRecords returns the traits that the records accuse, without what this entry
// has seen answered but not published.
func accusedByRecords(crashes []Crash, cleared map[traitKey]map[string]time.Time) map[traitKey]Accusation {
	return accusations(crashes, func(key traitKey) map[string]time.Time { return cleared[key] })
}

// publishable returns the clearances that are missing in the records: of the traits
// that they accuse, for organisations to whom this entry has seen them answered after a crash
// that counts; the accused ones first.
func (s State) publishable(accused map[traitKey]Accusation, cleared map[traitKey]map[string]time.Time) []Clearance {
	var missing []Clearance
	for key, accusation := range accused {
		var found []Clearance
		for organisation, at := range s.sound.organisations(key) {
			at = wireTime(at)
			if at.After(accusation.FirstCrash) && at.After(cleared[key][organisation]) {
				found = append(found, Clearance{key.service, organisation, key.trait, at})
			}
		}
		rank := func(clearance Clearance) int {
			if slices.Contains(accusation.Organisations, clearance.Organisation) {
				return 0
			}
			return 1
		}
		slices.SortFunc(found, func(a, b Clearance) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), b.At.Compare(a.At), cmp.Compare(a.Organisation, b.Organisation))
		})
		missing = append(missing, found[:min(len(found), clearingOrganisations)]...)
	}
	return missing
}
