package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	// episodeLength is the time within which crashes belong to one episode: servers that
	// are lost together, or that began their part of a queue at the same moment.
	episodeLength = time.Second
	// accusingEpisodes is the number of episodes from which a part is accused.
	accusingEpisodes = 2
	// accusingServers is the number of servers from which one episode is enough.
	accusingServers = 3
	// trustedEpisodes replaces both for organisations whose requests with the part were
	// answered before; longHoldServers in accusingEpisodes count as much.
	trustedEpisodes = 3
	// clearingOrganisations is the number of organisations whose answers clear a part for
	// all, as the requests of that many accuse it for all.
	clearingOrganisations = 2
	// shortHold and longHold are how long after the latest crash requests with a part are
	// refused: the long one from longHoldServers crashed servers.
	shortHold       = 5 * time.Minute
	longHold        = time.Hour
	longHoldServers = 5
)

type partKey struct{ service, part string }

// Accusation is the evidence against a part.
type Accusation struct {
	Servers    []string // IDs of the servers that ended, in the order in which they did.
	Episodes   int
	FirstCrash time.Time
	LastCrash  time.Time
	// Organisations lists whose requests with the part were at the servers. A single one
	// is the only one whose requests are refused.
	Organisations []string

	trusting map[string]time.Time // When requests of an organisation with the part were last answered.
}

// Until returns the time until which requests with the part are refused.
func (a Accusation) Until() time.Time {
	if len(a.Servers) >= longHoldServers {
		return a.LastCrash.Add(longHold)
	}
	return a.LastCrash.Add(shortHold)
}

// applies reports whether requests of the organisation are refused.
func (a Accusation) applies(organisation string, now time.Time) bool {
	if now.After(a.Until()) {
		return false
	}
	strong := a.Episodes >= trustedEpisodes || a.Episodes >= accusingEpisodes && len(a.Servers) >= longHoldServers
	if _, trusting := a.trusting[organisation]; trusting && !strong {
		return false
	}
	return len(a.Organisations) > 1 || slices.Contains(a.Organisations, organisation)
}

// Verdicts holds the accused parts. It is immutable.
type Verdicts struct{ accused map[partKey]Accusation }

// Find returns the first part by which a request is refused, with the accusation.
func (v *Verdicts) Find(service, organisation string, parts []string, now time.Time) (part string, accusation Accusation, found bool) {
	if len(v.accused) == 0 {
		return "", Accusation{}, false
	}
	for _, part := range parts {
		if accusation, ok := v.accused[partKey{service, part}]; ok && accusation.applies(organisation, now) {
			return part, accusation, true
		}
	}
	return "", Accusation{}, false
}

// countsFor reports whether a part of a suspect of the crash is accused.
func (v *Verdicts) countsFor(crash Crash) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
		return slices.ContainsFunc(suspect.Parts, func(part string) bool {
			_, accused := v.accused[partKey{crash.Service, part}]
			return accused
		})
	})
}

// Len returns the number of accused parts.
func (v *Verdicts) Len() int { return len(v.accused) }

// judge derives the verdicts from all records.
func (s State) judge(input reduce.Input) (State, []reduce.Effect) {
	now := input.Now
	known := s.crashes(now)
	cleared := s.clearances(now)
	accused := accusations(known, func(key partKey) map[string]time.Time {
		answered := s.sound.organisations(key)
		for organisation, at := range cleared[key] {
			answered[organisation] = latest(answered[organisation], at)
		}
		return answered
	})
	for key, accusation := range accused {
		accusation.trusting = s.sound.organisations(key)
		accused[key] = accusation
	}
	dropExplained(accused)
	byRecords := accusedByRecords(known, cleared)
	s.watched = map[partKey]bool{}
	for _, parts := range []map[partKey]Accusation{accused, byRecords} {
		for key := range parts {
			s.watched[key] = true
		}
	}
	s.judgedAt = now
	s = s.scheduleClearances(byRecords, cleared, input)
	effects := verdictChanges(s.Verdicts.accused, accused)
	if len(accused) > 0 || len(s.Verdicts.accused) > 0 {
		s.Verdicts = &Verdicts{accused: accused}
	}
	return s, effects
}

// dropExplained removes parts whose crashes are all explained by an accused part with
// more of them: what crashing prompts have in common with sound ones is at some of the
// same servers.
func dropExplained(accused map[partKey]Accusation) {
	for key, accusation := range accused {
		for other, stronger := range accused {
			if len(stronger.trusting) > 0 {
				continue // Likely to be cleared soon.
			}
			if other.service == key.service && len(stronger.Servers) > len(accusation.Servers) && containsAll(stronger.Servers, accusation.Servers) {
				delete(accused, key)
				break
			}
		}
	}
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(server string) bool { return !slices.Contains(all, server) })
}

// accusations returns the parts that the crashes accuse. answered returns when requests
// with a part were last answered, by organisation: earlier crashes don't count.
func accusations(crashes []Crash, answered func(key partKey) map[string]time.Time) map[partKey]Accusation {
	evidence := map[partKey]Accusation{}
	answers := map[partKey]map[string]time.Time{}
	episodeStart := map[partKey]time.Time{}
	for _, crash := range crashes {
		for _, suspect := range crash.Suspects {
			for _, part := range suspect.Parts {
				key := partKey{crash.Service, part}
				if answers[key] == nil {
					answers[key] = answered(key)
				}
				if clears(answers[key], suspect.Organisation, crash.At) {
					continue
				}
				accusation := evidence[key]
				if !slices.Contains(accusation.Organisations, suspect.Organisation) {
					accusation.Organisations = append(accusation.Organisations, suspect.Organisation)
				}
				if len(accusation.Servers) == 0 {
					accusation.FirstCrash = crash.At
				}
				if !slices.Contains(accusation.Servers, crash.Server) {
					accusation.Servers = append(accusation.Servers, crash.Server)
					accusation.LastCrash = crash.At
					if accusation.Episodes == 0 || crash.At.Sub(episodeStart[key]) > episodeLength {
						accusation.Episodes++
						episodeStart[key] = crash.At
					}
				}
				evidence[key] = accusation
			}
		}
	}
	maps.DeleteFunc(evidence, func(_ partKey, accusation Accusation) bool {
		return accusation.Episodes < accusingEpisodes && len(accusation.Servers) < accusingServers
	})
	return evidence
}

// clears reports whether the answers to requests with a part clear it of a crash in which
// the organisation had one: answers to that organisation, or to any two.
func clears(answers map[string]time.Time, organisation string, crashedAt time.Time) bool {
	if answers[organisation].After(crashedAt) {
		return true
	}
	since := 0
	for _, at := range answers {
		if at.After(crashedAt) {
			since++
		}
	}
	return since >= clearingOrganisations
}

// crashes returns the crashes in all records in the order of their times, each once with
// the suspects of all entries.
func (s State) crashes(now time.Time) []Crash {
	type incarnation struct{ service, server string }
	merged := map[incarnation]Crash{}
	add := func(record Record) {
		for _, crash := range record.Crashes {
			if now.Sub(crash.At) > evidenceTTL || crash.At.Sub(now) > maxClockSkew {
				continue
			}
			// A clock that is a little ahead must not outdate later clearances.
			crash.At = earliest(crash.At, now)
			key := incarnation{crash.Service, crash.Server}
			if known, ok := merged[key]; ok {
				crash.At = earliest(crash.At, known.At)
				crash.Suspects = slices.Concat(known.Suspects, crash.Suspects)
			}
			merged[key] = crash
		}
	}
	add(s.own)
	for entry, row := range s.rows {
		if entry != s.entry {
			add(row.Record)
		}
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server))
	})
}

// clearances returns the times of the latest clearances of each part in all records, by
// organisation.
func (s State) clearances(now time.Time) map[partKey]map[string]time.Time {
	cleared := map[partKey]map[string]time.Time{}
	add := func(record Record) {
		for _, clearance := range record.Clearances {
			if clearance.At.Sub(now) > maxClockSkew {
				continue
			}
			key := partKey{clearance.Service, clearance.Part}
			if cleared[key] == nil {
				cleared[key] = map[string]time.Time{}
			}
			cleared[key][clearance.Organisation] = latest(cleared[key][clearance.Organisation], clearance.At)
		}
	}
	add(s.own)
	for _, row := range s.rows {
		add(row.Record)
	}
	return cleared
}

// verdictChanges returns an effect for each part whose evidence has changed.
func verdictChanges(before, after map[partKey]Accusation) []reduce.Effect {
	var effects []reduce.Effect
	for key, accusation := range after {
		if known, ok := before[key]; !ok || len(known.Servers) != len(accusation.Servers) || len(known.Organisations) != len(accusation.Organisations) {
			effects = append(effects, VerdictChanged{Service: key.service, Part: key.part, Accusation: accusation})
		}
	}
	for key, accusation := range before {
		if _, ok := after[key]; !ok {
			effects = append(effects, VerdictChanged{Service: key.service, Part: key.part, Accusation: accusation, Cleared: true})
		}
	}
	return effects
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
