// Package hotexperts plans the expert map of a group whose demand jumps every
// few seconds. It adds replicas of hot experts, a few at a time, so that each
// small change is in force before demand jumps again.
//
// An expert set is a set of layers that share one placement of experts on ranks; the
// map holds a placement for each expert set. All ranks advance in lock-step and
// every set of layers waits for its slowest rank, so the cost of a map is the time of
// the slowest rank, summed over expert sets. The skew of a map is that cost relative
// to an even load. A replicated expert's load is spread evenly over its replicas.
// Experts are moved away from slow ranks.
package hotexperts

import (
	"math"
	"time"
)

const (
	// loadExponent is the power of a rank's load in the cost that the search
	// minimizes. A high power approximates the maximum over ranks, but where
	// several ranks share the maximum it still rewards lowering one of them.
	loadExponent = 8
	// minRelativeGain is the share of the most loaded rank's time in an expert set that
	// a copy of an expert must save. A copy slows the passes of the whole group while it
	// lasts, and it has a price.
	minRelativeGain = 0.01
	// shortCopyTime is the time of a copy up to which it is enough that the copy relieves
	// a single rank.
	shortCopyTime = 20 * time.Millisecond
)

// minCostGain is minRelativeGain as a share of the cost. Where many ranks of a large
// group share the highest load, each of them has to be relieved, so that short copies
// are compared with the most loaded rank's contribution to the cost alone. The longer a
// copy takes, the more ranks it is compared with: it slows the passes of the whole group.
var minCostGain = 1 - math.Pow(1-minRelativeGain, loadExponent)

// Shape is the size of a group and the speed of its ranks.
type Shape struct {
	Ranks     int
	Places    int // Maximum number of experts that a rank can hold in each expert set.
	Experts   int // Number of experts in each expert set.
	NewPerSet int // Maximum number of experts that one change may add to a rank in each expert set.

	CopyTime time.Duration // Time that a rank takes to copy one expert.

	// Slowness is the time that each rank takes for one unit of load, relative to a
	// normal rank; nil means 1 for all.
	Slowness []float64
}

// slowness returns the rank's slowness, at least 1.
func (s Shape) slowness(rank int) float64 {
	if rank >= len(s.Slowness) {
		return 1
	}
	return max(1, s.Slowness[rank])
}

// Map lists the experts that each rank holds. An expert set is a set of layers that
// share one placement. The dimensions are the expert set, the rank, and the experts
// that the rank holds in this set.
type Map = [][][]int

// Plan is a map to put in force, with the number of copies that it needs and the
// forecast skew before and after the change.
type Plan struct {
	Map              Map
	Copies           int     // Number of experts copied, over all ranks.
	MaxCopiesPerRank int     // Highest number of experts that one rank copies.
	SkewBefore       float64 // Forecast skew of the current map.
	SkewAfter        float64 // Forecast skew of Map.
}

// Costs are the parameters by which a change is weighed against its savings.
type Costs struct {
	CopyTime        time.Duration // Time that a rank takes to copy one expert.
	ExpertTimeShare float64       // Share of the duration of a pass that is spent on computing experts.
	Occupancy       float64       // Share of the group's request slots that are in use.
}

const (
	// copySlowdown is the share by which the group's passes take longer while a
	// rank copies, according to the platform's engines.
	copySlowdown = 0.15
	// lightLoadOccupancy is the share of request slots in use below which passes are far
	// shorter than the pauses that users accept, so only a large skew matters.
	lightLoadOccupancy = 0.5
	// lightLoadMinGain is the share of the skew that a change must remove under light
	// load.
	lightLoadMinGain = 0.15
	// changeOverhead is the cost of a change besides its copies: if demand jumps during
	// a change, the response is delayed by a few hundred ms, and the group may pause.
	changeOverhead = 15 * time.Millisecond
	// planningHorizon is how long a map is assumed to fit the demand, which jumps every
	// 3 to 4 s; the requests in flight change within 2 s.
	planningHorizon = 2 * time.Second
)

// IsWorthwhile reports whether the time that the plan saves within the planning
// horizon exceeds the time that its copies cost the group.
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
	// changePause is how long after a change a busy group is not changed again for a small
	// gain. Seven changes with 40 to 105 copies each were seen in 2.2 s at a skew of 1.15 to
	// 1.4: the mix of requests in flight varies faster than a map can follow.
	changePause = time.Second
	// promptMinGain is the share of the skew that a change must remove to follow another one
	// without that pause. A jump in demand leaves far more to gain.
	promptMinGain = 0.15
)

// MayFollow reports whether the plan may follow another change that took effect this long
// ago in a group of which the given share of request slots is in use.
func (p Plan) MayFollow(sinceChange time.Duration, occupancy float64) bool {
	return occupancy <= lightLoadOccupancy || sinceChange >= changePause || p.SkewBefore-p.SkewAfter >= promptMinGain*p.SkewBefore
}

const (
	// switchTime is the duration of a change besides its copies, about two passes.
	switchTime = 100 * time.Millisecond
	// recoveryWindow is the time after a jump in demand over which the average skews of
	// plans are compared. The group makes two or three changes in it.
	recoveryWindow = 600 * time.Millisecond
	// shortCopiesShare is the share of switchTime below which the time of all copies
	// makes no difference to when a plan is in force.
	shortCopiesShare = 0.3
)

// DecideLeastAverageSkew returns the plan with the lowest average skew over the
// recovery window. It compares a plan with up to budget copies per rank, one with
// half as many, and so on down to one copy. A plan with fewer copies is in force
// sooner, and another change can follow it. If copies take little of a change's time,
// smaller plans aren't considered.
func DecideLeastAverageSkew(shape Shape, current Map, load [][]float64, budget int) Plan {
	best, bestCost := Plan{}, math.Inf(1)
	for copies := budget; copies >= 1; copies /= 2 {
		plan := Decide(shape, current, load, copies)
		switchDelay := switchTime + time.Duration(plan.MaxCopiesPerRank)*shape.CopyTime
		cost := plan.SkewBefore*switchDelay.Seconds() + plan.SkewAfter*max(0, recoveryWindow-switchDelay).Seconds()
		if cost < bestCost {
			best, bestCost = plan, cost
		}
		if float64(time.Duration(budget)*shape.CopyTime) < shortCopiesShare*float64(switchTime) {
			break
		}
	}
	return best
}

// Decide plans a better map than the current one for the load, which is given by expert
// set and expert. No rank copies more than budget experts. The slices of the current
// map are not changed.
func Decide(shape Shape, current Map, load [][]float64, budget int) Plan {
	sets := newSearches(shape, current, load)
	plan := Plan{SkewBefore: skewOf(shape, sets)}
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
	plan.SkewAfter = skewOf(shape, sets)
	if plan.SkewAfter > plan.SkewBefore {
		// The search's cost depends on all ranks, so lowering it can raise the maximum.
		return Plan{Map: current, SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewBefore}
	}
	return plan
}

// pickSet returns the search of the expert set whose best step gains most, or nil if no
// set has a step that is worth its copy.
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

// Skew returns the time of the slowest rank, summed over expert sets, divided by the
// time that an even load would take on ranks of normal speed.
func Skew(shape Shape, placement Map, load [][]float64) float64 {
	return skewOf(shape, newSearches(shape, placement, load))
}

// skewOf returns the skew of the searches' placements.
func skewOf(shape Shape, sets []*search) float64 {
	var slowestTime, evenTime float64
	for _, s := range sets {
		highest := 0.0
		for rank, l := range s.rankLoads {
			highest = max(highest, l*shape.slowness(rank))
			evenTime += l / float64(shape.Ranks)
		}
		slowestTime += highest
	}
	if evenTime == 0 {
		return 1
	}
	return slowestTime / evenTime
}

// search is a greedy search for a better placement of the experts of one expert set.
type search struct {
	shape         Shape
	load          []float64     // Load of each expert.
	held          [][]int       // By rank: the experts that it holds.
	holderRanks   [][]int       // By expert: the ranks that hold it.
	newByRank     []int         // By rank: number of experts that the plan adds to it.
	rankLoads     []float64     // Load of each rank.
	meanLoad      float64       // Mean load of the ranks.
	bestStep      placementStep // Best step from the current placement.
	bestStepPays  bool          // The gain of bestStep is worth its copy.
	bestStepValid bool          // bestStep was computed for the current placement.
}

// placementStep copies an expert to a rank. The copy replaces a replica of the
// victim or, if victim is negative, takes an empty place. If the step moves the
// expert, the rank from drops its replica; otherwise from is negative.
type placementStep struct {
	expert, rank, victim, from int
	gain                       float64
}

// newSearches returns a search for each expert set of the placement.
func newSearches(shape Shape, placement Map, load [][]float64) []*search {
	sets := make([]*search, len(placement))
	for set := range placement {
		sets[set] = newSearch(shape, placement[set], load[set])
	}
	return sets
}

func newSearch(shape Shape, placement [][]int, load []float64) *search {
	s := &search{
		shape: shape, load: load,
		held: make([][]int, shape.Ranks), holderRanks: make([][]int, shape.Experts),
		newByRank: make([]int, shape.Ranks), rankLoads: make([]float64, shape.Ranks),
	}
	for rank, experts := range placement {
		s.held[rank] = append([]int(nil), experts...)
		for _, expert := range experts {
			s.holderRanks[expert] = append(s.holderRanks[expert], rank)
		}
	}
	for expert, ranks := range s.holderRanks {
		for _, rank := range ranks {
			s.rankLoads[rank] += load[expert] / float64(len(ranks))
		}
	}
	for _, l := range s.rankLoads {
		s.meanLoad += l / float64(shape.Ranks)
	}
	return s
}

// rankCost returns a rank's contribution to the cost: its time relative to the
// mean load, to the power of loadExponent.
func (s *search) rankCost(rank int, load float64) float64 {
	if s.meanLoad == 0 {
		return 0
	}
	power := load * s.shape.slowness(rank) / s.meanLoad
	power *= power
	power *= power
	return power * power
}

// refreshBestStep recomputes the best step if the placement has changed or the rank of
// the step has used up its budget of copies.
func (s *search) refreshBestStep(copies []int, budget int) {
	if s.bestStepValid && (!s.bestStepPays || copies[s.bestStep.rank] < budget) {
		return
	}
	s.bestStep, s.bestStepPays = s.best(copies, budget)
	s.bestStepValid = true
}

// best returns the step that lowers the cost most, among steps that copy an expert of
// the slowest rank to another rank which may copy further experts. It reports false if
// that step gains less than minCostGain.
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
	return best, best.gain > 0 && best.gain >= minCostGain*s.comparedCost(slowestRank)
}

// comparedCost returns the cost of which a copy must save a share.
func (s *search) comparedCost(slowestRank int) float64 {
	ranks := max(1, float64(s.shape.CopyTime)/float64(shortCopyTime))
	total := 0.0
	for rank, l := range s.rankLoads {
		total += s.rankCost(rank, l)
	}
	return min(total, ranks*s.rankCost(slowestRank, s.rankLoads[slowestRank]))
}

// considerCopy considers the steps that copy the expert to the rank, into an empty
// place or in place of a replica of another expert.
func (s *search) considerCopy(best *placementStep, expert, rank, slowestRank int) {
	if len(s.held[rank]) < s.shape.Places {
		s.considerReplicaAndMove(best, placementStep{expert: expert, rank: rank, victim: -1}, slowestRank)
	}
	for _, victim := range s.held[rank] {
		if len(s.holderRanks[victim]) > 1 {
			s.considerReplicaAndMove(best, placementStep{expert: expert, rank: rank, victim: victim}, slowestRank)
		}
	}
}

// considerReplicaAndMove considers the step as an additional replica and, if the
// slowest rank is slower than normal, also as a move away from it.
func (s *search) considerReplicaAndMove(best *placementStep, candidate placementStep, slowestRank int) {
	candidate.from = -1
	s.considerStep(best, candidate)
	if s.shape.slowness(slowestRank) > 1 {
		candidate.from = slowestRank
		s.considerStep(best, candidate)
	}
}

// considerStep makes the candidate the best step if it gains more.
func (s *search) considerStep(best *placementStep, candidate placementStep) {
	candidate.gain = s.gain(candidate)
	if candidate.gain > best.gain {
		*best = candidate
	}
}

// gain returns the amount by which the step lowers the cost.
func (s *search) gain(candidate placementStep) float64 {
	holderRanks := s.holderRanks[candidate.expert]
	load := s.load[candidate.expert]
	before, after := float64(len(holderRanks)), float64(len(holderRanks)+1)
	if candidate.from >= 0 {
		after--
	}
	addedShare, droppedShare := 0.0, 0.0
	var victims []int
	if candidate.victim >= 0 {
		victims = s.holderRanks[candidate.victim]
		n := float64(len(victims))
		droppedShare = s.load[candidate.victim] / n
		addedShare = s.load[candidate.victim]/(n-1) - droppedShare
	}
	gain := 0.0
	addGain := func(rank int, delta float64) {
		gain += s.rankCost(rank, s.rankLoads[rank]) - s.rankCost(rank, s.rankLoads[rank]+delta)
	}
	for _, holder := range holderRanks {
		delta := load/after - load/before
		if holder == candidate.from {
			delta = -load / before
		}
		if candidate.victim >= 0 && s.holds(holder, candidate.victim) {
			delta += addedShare
		}
		addGain(holder, delta)
	}
	for _, holder := range victims {
		if holder != candidate.rank && !s.holds(holder, candidate.expert) {
			addGain(holder, addedShare)
		}
	}
	addGain(candidate.rank, load/after-droppedShare)
	return gain
}

// apply changes the placement by the step and updates the loads of the affected ranks.
func (s *search) apply(chosen placementStep) {
	s.bestStepValid = false
	if chosen.victim >= 0 {
		s.removeReplica(chosen.victim, chosen.rank)
	}
	before := float64(len(s.holderRanks[chosen.expert]))
	load := s.load[chosen.expert]
	for _, holder := range s.holderRanks[chosen.expert] {
		s.rankLoads[holder] -= load/before - load/(before+1)
	}
	s.rankLoads[chosen.rank] += load / (before + 1)
	s.held[chosen.rank] = append(s.held[chosen.rank], chosen.expert)
	s.holderRanks[chosen.expert] = append(s.holderRanks[chosen.expert], chosen.rank)
	s.newByRank[chosen.rank]++
	if chosen.from >= 0 {
		s.removeReplica(chosen.expert, chosen.from)
	}
}

// removeReplica removes the rank's replica of the expert and spreads its load over
// the expert's other holders.
func (s *search) removeReplica(expert, rank int) {
	n := float64(len(s.holderRanks[expert]))
	load := s.load[expert]
	s.rankLoads[rank] -= load / n
	s.holderRanks[expert] = without(s.holderRanks[expert], rank)
	s.held[rank] = without(s.held[rank], expert)
	for _, holder := range s.holderRanks[expert] {
		s.rankLoads[holder] += load/(n-1) - load/n
	}
}

// slowestRank returns the rank that takes the longest time for its load.
func (s *search) slowestRank() int {
	slowestRank := 0
	longestTime := 0.0
	for rank, l := range s.rankLoads {
		if time := l * s.shape.slowness(rank); time > longestTime {
			slowestRank, longestTime = rank, time
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
