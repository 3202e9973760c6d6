package planner

// change replaces the expert in a slot by another one.
type change struct {
	slot   int
	expert uint16
}

// search is a greedy local search for a better placement of one layer.
type search struct {
	slotsPerRank  int
	load          []float64
	slowness      []float64
	slotExperts   []uint16  // By slot: the expert in it.
	replicas      []int     // By expert: number of its replicas.
	share         []float64 // By expert: load of each replica.
	slotsByExpert [][]int   // By expert: the slots with a replica of it.
	rankTime      []float64 // By rank: compute time per step for the load of the replicas in its slots, in units of load.
	changes       []change  // Changes applied so far.
}

func newSearch(shape Shape, slotExperts []uint16, load, slowness []float64) *search {
	if slowness == nil {
		slowness = evenSlowness(shape.Ranks)
	}
	s := &search{
		slotsPerRank: shape.Slots, load: load, slowness: slowness,
		slotExperts: append([]uint16(nil), slotExperts...),
		replicas:    make([]int, len(load)), share: make([]float64, len(load)),
		slotsByExpert: make([][]int, len(load)), rankTime: make([]float64, shape.Ranks),
	}
	for slot, expert := range slotExperts {
		s.replicas[expert]++
		s.slotsByExpert[expert] = append(s.slotsByExpert[expert], slot)
	}
	for expert := range load {
		s.share[expert] = load[expert] / float64(max(1, s.replicas[expert]))
	}
	for slot, expert := range slotExperts {
		s.rankTime[slot/s.slotsPerRank] += s.share[expert] * s.slowness[slot/s.slotsPerRank]
	}
	return s
}

// evenSlowness returns the slowness of ranks that all have normal speed.
func evenSlowness(ranks int) []float64 {
	slowness := make([]float64, ranks)
	for rank := range slowness {
		slowness[rank] = 1
	}
	return slowness
}

func (s *search) slowestRank() int {
	slowest := 0
	for rank, rankTime := range s.rankTime {
		if rankTime > s.rankTime[slowest] {
			slowest = rank
		}
	}
	return slowest
}

func (s *search) slowestTime() float64 { return s.rankTime[s.slowestRank()] }

// candidate is a possible step of the search with its gain.
type candidate struct {
	changes [2]change
	moves   int
	gain    float64 // Reduction of the slowest rank's time, per move.
}

// minGain is the share of the slowest rank's time that a step must save per move.
const minGain = 1e-3

// improve applies the step that gains most for the slowest rank and returns its
// changes; it reports false if no step gains enough.
func (s *search) improve() ([]change, bool) {
	slowest := s.slowestRank()
	best := candidate{gain: minGain * s.rankTime[slowest]}
	for slot := slowest * s.slotsPerRank; slot < (slowest+1)*s.slotsPerRank; slot++ {
		for other := range s.slotExperts {
			if other/s.slotsPerRank == slowest {
				continue
			}
			s.trySwap(&best, slot, other)
			s.tryReplica(&best, s.slotExperts[slot], slowest, other)
		}
	}
	if best.moves == 0 {
		return nil, false
	}
	applied := best.changes[:best.moves]
	for _, c := range applied {
		s.applyChange(c)
	}
	s.changes = append(s.changes, applied...)
	return applied, true
}

// trySwap makes the swap of the experts in two slots the best candidate if it
// gains more.
func (s *search) trySwap(best *candidate, slot, other int) {
	a, b := s.slotExperts[slot], s.slotExperts[other]
	loadDifference := s.share[a] - s.share[b]
	if loadDifference <= 0 {
		return
	}
	hot, cold := slot/s.slotsPerRank, other/s.slotsPerRank
	worst := max(s.rankTime[hot]-loadDifference*s.slowness[hot], s.rankTime[cold]+loadDifference*s.slowness[cold])
	gain := (s.rankTime[hot] - worst) / 2
	if gain <= best.gain || s.hasReplica(cold, a) || s.hasReplica(hot, b) {
		return
	}
	*best = candidate{changes: [2]change{{slot, b}, {other, a}}, moves: 2, gain: gain}
}

// tryReplica makes another replica of the expert, in place of another expert's
// spare replica, the best candidate if it gains more.
func (s *search) tryReplica(best *candidate, expert uint16, hot, other int) {
	spare := s.slotExperts[other]
	if s.replicas[spare] < 2 || spare == expert {
		return
	}
	share := s.load[expert] / float64(s.replicas[expert]+1)
	cold := other / s.slotsPerRank
	saved := (s.share[expert] - share) * s.slowness[hot]
	worst := max(s.rankTime[hot]-saved, s.rankTime[cold]+(share-s.share[spare])*s.slowness[cold])
	if s.rankTime[hot]-worst <= best.gain || s.hasReplica(cold, expert) {
		return
	}
	added := s.load[spare]/float64(s.replicas[spare]-1) - s.share[spare]
	for _, slot := range s.slotsByExpert[spare] {
		rank := slot / s.slotsPerRank
		if rank == hot {
			worst = max(worst, s.rankTime[hot]-saved+added*s.slowness[rank])
		} else if rank != cold {
			worst = max(worst, s.rankTime[rank]+added*s.slowness[rank])
		}
	}
	gain := s.rankTime[hot] - worst
	if gain > best.gain {
		*best = candidate{changes: [2]change{{other, expert}}, moves: 1, gain: gain}
	}
}

func (s *search) hasReplica(rank int, expert uint16) bool {
	for _, held := range s.slotExperts[rank*s.slotsPerRank : (rank+1)*s.slotsPerRank] {
		if held == expert {
			return true
		}
	}
	return false
}

// applyChange applies a change and updates the times of the affected ranks.
func (s *search) applyChange(c change) {
	before := s.slotExperts[c.slot]
	s.addLoad(before, -1)
	s.addLoad(c.expert, -1)
	s.slotExperts[c.slot] = c.expert
	s.replicas[before]--
	s.replicas[c.expert]++
	s.slotsByExpert[before] = removeSlot(s.slotsByExpert[before], c.slot)
	s.slotsByExpert[c.expert] = append(s.slotsByExpert[c.expert], c.slot)
	s.addLoad(before, 1)
	s.addLoad(c.expert, 1)
}

// addLoad adds the compute time for the expert's load, multiplied by sign, to the times
// of the ranks that have a replica of it.
func (s *search) addLoad(expert uint16, sign float64) {
	s.share[expert] = s.load[expert] / float64(max(1, s.replicas[expert]))
	for _, slot := range s.slotsByExpert[expert] {
		rank := slot / s.slotsPerRank
		s.rankTime[rank] += sign * s.share[expert] * s.slowness[rank]
	}
}

func removeSlot(slots []int, slot int) []int {
	kept := slots[:0]
	for _, s := range slots {
		if s != slot {
			kept = append(kept, s)
		}
	}
	return kept
}
