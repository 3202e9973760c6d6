package poison

import (
	"slices"
	"time"
)

// addCrash adds a crash, or its suspects if the crash is known. If there are too many, the
// oldest one is dropped that counts for no verdict: many servers may be lost at once.
func (r *Record) addCrash(crash Crash, verdicts *Verdicts) {
	i := slices.IndexFunc(r.Crashes, func(known Crash) bool { return known.Service == crash.Service && known.Server == crash.Server })
	if i < 0 {
		crash.Suspects = bounded(crash.Suspects)
		r.Crashes = append(slices.Clone(r.Crashes), crash)
		if len(r.Crashes) > maxCrashes {
			dropped := max(0, slices.IndexFunc(r.Crashes, func(crash Crash) bool { return !verdicts.countsFor(crash) }))
			r.Crashes = slices.Delete(r.Crashes, dropped, dropped+1)
		}
		return
	}
	merged := slices.Clone(r.Crashes[i].Suspects)
	for _, suspect := range crash.Suspects {
		if !slices.ContainsFunc(merged, suspect.equal) {
			merged = append(merged, suspect)
		}
	}
	r.Crashes = slices.Clone(r.Crashes)
	r.Crashes[i].Suspects = bounded(merged)
}

// addClearance adds a clearance, which replaces an older one of the same trait.
func (r *Record) addClearance(clearance Clearance) {
	kept := slices.DeleteFunc(slices.Clone(r.Clearances), func(known Clearance) bool {
		return known.Service == clearance.Service && known.Organisation == clearance.Organisation && known.Trait == clearance.Trait && !known.At.After(clearance.At)
	})
	if slices.ContainsFunc(kept, func(known Clearance) bool {
		return known.Service == clearance.Service && known.Organisation == clearance.Organisation && known.Trait == clearance.Trait
	}) {
		return
	}
	r.Clearances = append(kept, clearance)
	if len(r.Clearances) > maxClearances {
		r.Clearances = r.Clearances[len(r.Clearances)-maxClearances:]
	}
}

// dropExpired removes what is older than evidenceTTL.
func (r *Record) dropExpired(now time.Time) {
	expired := func(at time.Time) bool { return now.Sub(at) > evidenceTTL }
	r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(crash Crash) bool { return expired(crash.At) })
	r.Clearances = slices.DeleteFunc(slices.Clone(r.Clearances), func(clearance Clearance) bool { return expired(clearance.At) })
}

func (r Record) clone() Record {
	return Record{Crashes: slices.Clone(r.Crashes), Clearances: slices.Clone(r.Clearances)}
}

func (r Record) equal(other Record) bool {
	return slices.EqualFunc(r.Crashes, other.Crashes, func(a, b Crash) bool {
		return a.Service == b.Service && a.Server == b.Server && a.At.Equal(b.At) && slices.EqualFunc(a.Suspects, b.Suspects, Suspect.equal)
	}) && slices.EqualFunc(r.Clearances, other.Clearances, func(a, b Clearance) bool {
		return a.Service == b.Service && a.Organisation == b.Organisation && a.Trait == b.Trait && a.At.Equal(b.At)
	})
}

func (s Suspect) equal(other Suspect) bool {
	return s.Organisation == other.Organisation && s.Fingerprint == other.Fingerprint && slices.Equal(s.Parts, other.Parts)
}

// bounded drops the suspects with the most parts until all together weigh at most
// maxSuspectWeight.
func bounded(suspects []Suspect) []Suspect {
	suspects = slices.Clone(suspects)
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return len(a.Parts) - len(b.Parts) })
	weight := 0
	for i, suspect := range suspects {
		if weight += suspectWeight + len(suspect.Parts); weight > maxSuspectWeight {
			return suspects[:i]
		}
	}
	return suspects
}
