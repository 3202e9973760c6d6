// Package hotexperts plans the expert map of a group whose demand jumps every
// few seconds: hot experts get more replicas, a few at a time, so that each
// small change is in force before demand jumps again.
//
// All ranks advance in lock-step and every set of layers waits for its slowest
// rank, so the cost of a map is the time of the slowest rank, summed over sets.
// A replicated expert's load is spread evenly over its replicas; a slow rank is
// relieved of its experts.
package hotexperts

import (
	"math"
	"time"
)

const (
	// loadExponent is the power of a rank's load in the cost that the search
	// lowers. A high power approaches the most loaded rank alone but still
	// prefers to lower the second most loaded one where several are level.
	loadExponent = 8
	// minRelativeGain is the share of a set's cost that a copy must save. A copy slows
	// the passes of the whole group while it lasts, and it is priced.
	minRelativeGain = 0.01
)

// Shape is the size of a group.
type Shape struct {
	Ranks     int
	Places    int // Experts that a rank holds in each set at most.
	Experts   int // In each set.
	NewPerSet int // Experts that one change may bring to a rank in each set.

	// Slowness is the time of a rank for one unit of load; nil or 1 is usual.
	Slowness []float64
}

// slowness returns the rank's.
func (s Shape) slowness(rank int) float64 {
	if rank >= len(s.Slowness) {
		return 1
	}
	return max(1, s.Slowness[rank])
}

// Map places experts: by set and rank.
type Map = [][][]int

// Plan is a map with what it is expected to bring.
type Plan struct {
	Map              Map
	Copies           int // Experts copied, over all ranks.
	MaxCopiesPerRank int // By one rank.
	SkewBefore       float64
	SkewAfter        float64
}

// Costs weigh a change against what it saves.
type Costs struct {
	CopyTime        time.Duration // A rank's for one expert.
	ExpertTimeShare float64       // Share of a pass that is spent on experts.
	Occupancy       float64       // Share of the group's places that are taken.
}

const (
	// copySlowdown is the share by which the group's passes take longer while a
	// rank copies, as the platform's engines say.
	copySlowdown = 0.15
	// lightLoadOccupancy is the share of places below which passes are far shorter than
	// the pauses that users allow, so only a large skew matters to them.
	lightLoadOccupancy = 0.5
	// lightLoadMinGain is the share of the skew that a change must save under light load.
	lightLoadMinGain = 0.15
	// changeOverhead is what a change costs besides its copies: demand that jumps while
	// a change is under way is answered a few hundred ms later, and the group may
	// rest.
	changeOverhead = 15 * time.Millisecond
	// planningHorizon is how long a map is taken to fit: demand jumps every 3 to 4 s, and
	// the requests under way change within 2 s.
	planningHorizon = 2 * time.Second
)

// IsWorthwhile reports whether the time that the plan saves within the horizon exceeds
// what its copies cost the group.
func (p Plan) IsWorthwhile(costs Costs) bool {
	if p.Copies == 0 || p.SkewBefore <= 0 {
		return false
	}
	gain := (p.SkewBefore - p.SkewAfter) / p.SkewBefore
	if costs.Occupancy < lightLoadOccupancy && gain < lightLoadMinGain {
		return false
	}
	saved := gain * costs.ExpertTimeShare * planningHorizon.Seconds()
	return saved > changeOverhead.Seconds()+copySlowdown*float64(p.MaxCopiesPerRank)*costs.CopyTime.Seconds()
}

const (
	// switchTime is what a change takes besides its copies: about two passes.
	switchTime = 100 * time.Millisecond
	// recoveryWindow is the time after a jump over which plans are compared: the group
	// makes two or three changes in it.
	recoveryWindow = 600 * time.Millisecond
)

// DecideLeastAverageSkew returns, among the plans of up to budget copies a rank, the one
// with the least skew on average over the time after a jump: fewer copies are in
// force sooner, and another change follows.
func DecideLeastAverageSkew(shape Shape, current Map, load [][]float64, budget int, copyTime time.Duration) Plan {
	best, bestCost := Plan{}, math.Inf(1)
	for copies := budget; copies >= 1; copies /= 2 {
		plan := Decide(shape, current, load, copies)
		until := switchTime + time.Duration(plan.MaxCopiesPerRank)*copyTime
		cost := plan.SkewBefore*until.Seconds() + plan.SkewAfter*max(0, recoveryWindow-until).Seconds()
		if cost < bestCost {
			best, bestCost = plan, cost
		}
	}
	return best
}

// Decide improves the current map for the load by set and expert. No rank
// copies more than budget experts. The current map is not changed.
func Decide(shape Shape, current Map, load [][]float64, budget int) Plan {
	plan := Plan{SkewBefore: Skew(shape, current, load)}
	sets := make([]*search, len(current))
	for set := range current {
		sets[set] = newSearch(shape, current[set], load[set])
	}
	copies := make([]int, shape.Ranks)
	for {
		chosen := pickSet(sets, copies, budget)
		if chosen == nil {
			break
		}
		copies[chosen.bestStep.rank]++
		plan.Copies++
		chosen.apply(chosen.bestStep)
	}
	for _, s := range sets {
		plan.Map = append(plan.Map, s.held)
	}
	for _, count := range copies {
		plan.MaxCopiesPerRank = max(plan.MaxCopiesPerRank, count)
	}
	plan.SkewAfter = Skew(shape, plan.Map, load)
	if plan.SkewAfter > plan.SkewBefore {
		// The search's cost weighs the second most loaded rank too.
		return Plan{Map: current, SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewBefore}
	}
	return plan
}

// pickSet returns the set whose next step gains most, nil where none is left.
func pickSet(sets []*search, copies []int, budget int) *search {
	var chosen *search
	for _, s := range sets {
		s.refreshBestStep(copies, budget)
		if s.bestStepPays && (chosen == nil || s.bestStep.gain > chosen.bestStep.gain) {
			chosen = s
		}
	}
	return chosen
}

// Skew returns the time of the most loaded rank, summed over sets, divided by
// the time of an even load at usual ranks.
func Skew(shape Shape, placement Map, load [][]float64) float64 {
	var most, mean float64
	for set := range placement {
		s := newSearch(shape, placement[set], load[set])
		highest := 0.0
		for rank, l := range s.loads {
			highest = max(highest, l*shape.slowness(rank))
			mean += l / float64(shape.Ranks)
		}
		most += highest
	}
	if mean == 0 {
		return 1
	}
	return most / mean
}

// search improves the placement of one set.
type search struct {
	shape         Shape
	load          []float64
	held          [][]int // Experts by rank.
	holders       [][]int // Ranks by expert.
	newByRank     []int   // Copies of this change by rank.
	loads         []float64
	mean          float64
	cost          float64
	bestStep      placementStep // The best step of the placement as it is.
	bestStepPays  bool          // next is worth its copy.
	bestStepValid bool          // next belongs to the placement as it is.
}

// placementStep copies an expert to a rank, in place of the victim or, where that is
// negative, to an empty place. Where it moves the expert, the rank from is
// relieved of it; otherwise from is negative.
type placementStep struct {
	expert, rank, victim, from int
	gain                       float64
}

func newSearch(shape Shape, placement [][]int, load []float64) *search {
	s := &search{
		shape: shape, load: load,
		held: make([][]int, shape.Ranks), holders: make([][]int, shape.Experts),
		newByRank: make([]int, shape.Ranks), loads: make([]float64, shape.Ranks),
	}
	for rank, experts := range placement {
		s.held[rank] = append([]int(nil), experts...)
		for _, expert := range experts {
			s.holders[expert] = append(s.holders[expert], rank)
		}
	}
	for expert, ranks := range s.holders {
		for _, rank := range ranks {
			s.loads[rank] += load[expert] / float64(len(ranks))
		}
	}
	for _, l := range s.loads {
		s.mean += l / float64(shape.Ranks)
	}
	s.cost = s.totalCost()
	return s
}

// rankCost is a rank's part of the cost.
func (s *search) rankCost(rank int, load float64) float64 {
	if s.mean == 0 {
		return 0
	}
	x := load * s.shape.slowness(rank) / s.mean
	x *= x
	x *= x
	return x * x
}

func (s *search) totalCost() float64 {
	total := 0.0
	for rank, l := range s.loads {
		total += s.rankCost(rank, l)
	}
	return total
}

// refreshBestStep finds the best step again if the placement has changed or the step's
// rank has used up its budget.
func (s *search) refreshBestStep(copies []int, budget int) {
	if s.bestStepValid && (!s.bestStepPays || copies[s.bestStep.rank] < budget) {
		return
	}
	s.bestStep, s.bestStepPays = s.best(copies, budget)
	s.bestStepValid = true
}

// best returns the copy that lowers the cost most: an expert of the most loaded
// rank to another rank with budget left.
func (s *search) best(copies []int, budget int) (placementStep, bool) {
	var best placementStep
	slowestRank := s.slowestRank()
	for _, expert := range s.held[slowestRank] {
		if s.load[expert] == 0 {
			continue
		}
		for rank := range s.shape.Ranks {
			if copies[rank] >= budget || s.newByRank[rank] >= s.shape.NewPerSet || s.holds(rank, expert) {
				continue
			}
			s.considerCopy(&best, expert, rank, slowestRank)
		}
	}
	return best, best.gain > 0 && s.relativeGain(best.gain) >= minRelativeGain
}

// relativeGain is the share of the set's most loaded rank that a gain stands for.
func (s *search) relativeGain(gain float64) float64 {
	if s.cost <= 0 {
		return 0
	}
	return 1 - math.Pow(max(0, 1-gain/s.cost), 1.0/loadExponent)
}

func (s *search) considerCopy(best *placementStep, expert, rank, slowestRank int) {
	if len(s.held[rank]) < s.shape.Places {
		s.considerReplicaAndMove(best, placementStep{expert: expert, rank: rank, victim: -1}, slowestRank)
	}
	for _, victim := range s.held[rank] {
		if len(s.holders[victim]) > 1 {
			s.considerReplicaAndMove(best, placementStep{expert: expert, rank: rank, victim: victim}, slowestRank)
		}
	}
}

// considerReplicaAndMove offers the step as a further replica and, where the slowestRank rank is
// slow, as a move away from it.
func (s *search) considerReplicaAndMove(best *placementStep, candidate placementStep, slowestRank int) {
	candidate.from = -1
	s.considerStep(best, candidate)
	if s.shape.slowness(slowestRank) > 1 {
		candidate.from = slowestRank
		s.considerStep(best, candidate)
	}
}

func (s *search) considerStep(best *placementStep, candidate placementStep) {
	candidate.gain = s.gain(candidate)
	if candidate.gain > best.gain {
		*best = candidate
	}
}

// gain returns by how much the step lowers the cost.
func (s *search) gain(candidate placementStep) float64 {
	holders := s.holders[candidate.expert]
	load := s.load[candidate.expert]
	before, after := float64(len(holders)), float64(len(holders)+1)
	if candidate.from >= 0 {
		after--
	}
	taken, left := 0.0, 0.0
	var victims []int
	if candidate.victim >= 0 {
		victims = s.holders[candidate.victim]
		n := float64(len(victims))
		left = s.load[candidate.victim] / n
		taken = s.load[candidate.victim]/(n-1) - left
	}
	gain := 0.0
	change := func(rank int, delta float64) {
		gain += s.rankCost(rank, s.loads[rank]) - s.rankCost(rank, s.loads[rank]+delta)
	}
	for _, holder := range holders {
		delta := load/after - load/before
		if holder == candidate.from {
			delta = -load / before
		}
		if candidate.victim >= 0 && s.holds(holder, candidate.victim) {
			delta += taken
		}
		change(holder, delta)
	}
	for _, holder := range victims {
		if holder != candidate.rank && !s.holds(holder, candidate.expert) {
			change(holder, taken)
		}
	}
	change(candidate.rank, load/after-left)
	return gain
}

func (s *search) apply(chosen placementStep) {
	s.bestStepValid = false
	if chosen.victim >= 0 {
		s.removeReplica(chosen.victim, chosen.rank)
	}
	before := float64(len(s.holders[chosen.expert]))
	load := s.load[chosen.expert]
	for _, holder := range s.holders[chosen.expert] {
		s.loads[holder] -= load/before - load/(before+1)
	}
	s.loads[chosen.rank] += load / (before + 1)
	s.held[chosen.rank] = append(s.held[chosen.rank], chosen.expert)
	s.holders[chosen.expert] = append(s.holders[chosen.expert], chosen.rank)
	s.newByRank[chosen.rank]++
	if chosen.from >= 0 {
		s.removeReplica(chosen.expert, chosen.from)
	}
	s.cost = s.totalCost()
}

// removeReplica takes a replica away; the expert's other holders take its load.
func (s *search) removeReplica(expert, rank int) {
	n := float64(len(s.holders[expert]))
	load := s.load[expert]
	s.loads[rank] -= load / n
	s.holders[expert] = without(s.holders[expert], rank)
	s.held[rank] = without(s.held[rank], expert)
	for _, holder := range s.holders[expert] {
		s.loads[holder] += load/(n-1) - load/n
	}
}

func (s *search) slowestRank() int {
	slowestRank := 0
	most := 0.0
	for rank, l := range s.loads {
		if time := l * s.shape.slowness(rank); time > most {
			slowestRank, most = rank, time
		}
	}
	return slowestRank
}

func (s *search) holds(rank, expert int) bool {
	for _, held := range s.held[rank] {
		if held == expert {
			return true
		}
	}
	return false
}

func without(list []int, value int) []int {
	kept := make([]int, 0, len(list))
	for _, v := range list {
		if v != value {
			kept = append(kept, v)
		}
	}
	return kept
}
