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
	// accusingRequestServers is the number of servers from which a whole request is accused,
	// and trustedRequestServers in accusingEpisodes if it was answered before. They are fewer
	// than for parts, as other requests that were at the servers by chance are new ones each time.
	accusingRequestServers = 2
	trustedRequestServers  = 3
	// clearingOrganisations is the number of organisations whose answers clear a trait for
	// all, as the requests of that many accuse it for all.
	clearingOrganisations = 2
	// shortHold and longHold are how long after the latest crash requests with a trait are
	// refused: the long one from longHoldServers crashed servers.
	shortHold       = 5 * time.Minute
	longHold        = time.Hour
	longHoldServers = 5
)

type traitKey struct {
	service string
	trait   Trait
}

// Accusation is the evidence against a trait.
type Accusation struct {
	Servers    []string // IDs of the servers that ended, in the order in which they did.
	Episodes   int
	FirstCrash time.Time
	LastCrash  time.Time
	// Organisations lists whose requests with the trait were at the servers. A single one
	// is the only one whose requests are refused.
	Organisations []string

	trusting map[string]time.Time // When requests of an organisation with the trait were last answered.
}

// Until returns the time until which requests with the trait are refused.
func (a Accusation) Until() time.Time {
	if len(a.Servers) >= longHoldServers {
		return a.LastCrash.Add(longHold)
	}
	return a.LastCrash.Add(shortHold)
}

// sufficient reports whether the evidence accuses a trait of the kind that was never
// answered.
func (a Accusation) sufficient(kind Kind) bool {
	if kind == WholeRequest {
		return len(a.Servers) >= accusingRequestServers
	}
	return a.Episodes >= accusingEpisodes || len(a.Servers) >= accusingServers
}

// strong reports whether the evidence accuses a trait of the kind that was answered before
// the crashes.
func (a Accusation) strong(kind Kind) bool {
	if kind == WholeRequest {
		return a.Episodes >= accusingEpisodes && len(a.Servers) >= trustedRequestServers
	}
	return a.Episodes >= trustedEpisodes || a.Episodes >= accusingEpisodes && len(a.Servers) >= longHoldServers
}

// applies reports whether requests of the organisation with the trait of the kind are
// refused.
func (a Accusation) applies(kind Kind, organisation string, now time.Time) bool {
	if now.After(a.Until()) {
		return false
	}
	if _, trusting := a.trusting[organisation]; trusting && !a.strong(kind) {
		return false
	}
	return len(a.Organisations) > 1 || slices.Contains(a.Organisations, organisation)
}

// Verdicts holds the accused traits. It is immutable.
type Verdicts struct{ accused map[traitKey]Accusation }

// Find returns the first trait by which a request to the service is refused, with the
// accusation.
func (v *Verdicts) Find(service string, request Suspect, now time.Time) (trait Trait, accusation Accusation, found bool) {
	if len(v.accused) == 0 {
		return Trait{}, Accusation{}, false
	}
	for _, trait := range request.traits() {
		if accusation, ok := v.accused[traitKey{service, trait}]; ok && accusation.applies(trait.Kind, request.Organisation, now) {
			return trait, accusation, true
		}
	}
	return Trait{}, Accusation{}, false
}

// countsFor reports whether a trait of a suspect of the crash is accused.
func (v *Verdicts) countsFor(crash Crash) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
		return slices.ContainsFunc(suspect.traits(), func(trait Trait) bool {
			_, accused := v.accused[traitKey{crash.Service, trait}]
			return accused
		})
	})
}

// Len returns the number of accused traits of the kind.
func (v *Verdicts) Len(kind Kind) int {
	number := 0
	for key := range v.accused {
		if key.trait.Kind == kind {
			number++
		}
	}
	return number
}

// judge derives the verdicts from all records.
func (s State) judge(input reduce.Input) (State, []reduce.Effect) {
	now := input.Now
	known := s.crashes(now)
	cleared := s.clearances(now)
	accused := accusations(known, func(key traitKey) map[string]time.Time {
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
	s.watched = map[traitKey]bool{}
	for _, traits := range []map[traitKey]Accusation{accused, byRecords} {
		for key := range traits {
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

// dropExplained removes traits whose crashes are all explained by another accused one: what
// crashing requests have in common with sound ones is at the same servers, or at some of
// them.
func dropExplained(accused map[traitKey]Accusation) {
	for key, accusation := range accused {
		for other, stronger := range accused {
			if len(stronger.trusting) > 0 {
				continue // Likely to be cleared soon.
			}
			if other.service == key.service && explains(other.trait.Kind, stronger, key.trait.Kind, accusation) {
				delete(accused, key)
				break
			}
		}
	}
}

// explains reports whether the crashes of the weaker trait are due to the stronger one. A
// request refused by itself costs other callers nothing, so it explains a part at the same
// servers, and nothing explains a request.
func explains(strongerKind Kind, stronger Accusation, weakerKind Kind, weaker Accusation) bool {
	if weakerKind == WholeRequest || !containsAll(stronger.Servers, weaker.Servers) {
		return false
	}
	return strongerKind == WholeRequest || len(stronger.Servers) > len(weaker.Servers)
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(server string) bool { return !slices.Contains(all, server) })
}

// accusations returns the traits that the crashes accuse. answered returns when requests
// with a trait were last answered, by organisation: earlier crashes don't count.
func accusations(crashes []Crash, answered func(key traitKey) map[string]time.Time) map[traitKey]Accusation {
	evidence := map[traitKey]Accusation{}
	answers := map[traitKey]map[string]time.Time{}
	episodeStart := map[traitKey]time.Time{}
	for _, crash := range crashes {
		for _, suspect := range crash.Suspects {
			for _, trait := range suspect.traits() {
				key := traitKey{crash.Service, trait}
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
	maps.DeleteFunc(evidence, func(key traitKey, accusation Accusation) bool { return !accusation.sufficient(key.trait.Kind) })
	return evidence
}

// clears reports whether the answers to requests with a trait clear it of a crash in which
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

// clearances returns the times of the latest clearances of each trait in all records, by
// organisation.
func (s State) clearances(now time.Time) map[traitKey]map[string]time.Time {
	cleared := map[traitKey]map[string]time.Time{}
	add := func(record Record) {
		for _, clearance := range record.Clearances {
			if clearance.At.Sub(now) > maxClockSkew {
				continue
			}
			key := traitKey{clearance.Service, clearance.Trait}
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

// verdictChanges returns an effect for each trait whose evidence has changed.
func verdictChanges(before, after map[traitKey]Accusation) []reduce.Effect {
	var effects []reduce.Effect
	for key, accusation := range after {
		if known, ok := before[key]; !ok || len(known.Servers) != len(accusation.Servers) || len(known.Organisations) != len(accusation.Organisations) {
			effects = append(effects, VerdictChanged{Service: key.service, Trait: key.trait, Accusation: accusation})
		}
	}
	for key, accusation := range before {
		if _, ok := after[key]; !ok {
			effects = append(effects, VerdictChanged{Service: key.service, Trait: key.trait, Accusation: accusation, Cleared: true})
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
