package planner

import "sort"

// Recompute returns a placement computed from scratch: it replicates the experts
// with the highest load per replica, then assigns the replicas, largest first, to
// the least loaded ranks.
func Recompute(shape Shape, load [][]float64, slowness []float64) Placement {
	placement := make(Placement, len(load))
	for layer := range load {
		placement[layer] = recomputeLayer(shape, load[layer], slowness)
	}
	return placement
}

// recomputeLayer computes the placement of one layer from scratch.
func recomputeLayer(shape Shape, load, slowness []float64) []uint16 {
	replicas := replicate(load, shape.Ranks*shape.Slots)
	share := func(expert uint16) float64 { return load[expert] / float64(replicas.count[expert]) }
	sort.SliceStable(replicas.experts, func(i, j int) bool { return share(replicas.experts[i]) > share(replicas.experts[j]) })
	packing := newPacking(shape, slowness)
	for _, expert := range replicas.experts {
		packing.placeReplica(expert, share(expert))
	}
	return packing.slots
}

// replicaSet is the set of replicas to place in the slots of a layer.
type replicaSet struct {
	experts []uint16 // Expert of each replica.
	count   []int    // By expert: number of its replicas.
}

// replicate gives every expert one replica, then fills the remaining slots one by
// one with a replica of the expert that has the highest load per replica.
func replicate(load []float64, slots int) replicaSet {
	r := replicaSet{count: make([]int, len(load))}
	for expert := range load {
		r.count[expert] = 1
		r.experts = append(r.experts, uint16(expert))
	}
	for len(r.experts) < slots {
		hottest := 0
		for expert := range load {
			if load[expert]/float64(r.count[expert]) > load[hottest]/float64(r.count[hottest]) {
				hottest = expert
			}
		}
		r.count[hottest]++
		r.experts = append(r.experts, uint16(hottest))
	}
	return r
}

// packing assigns the replicas of a layer to ranks one by one.
type packing struct {
	shape       Shape
	slowness    []float64
	slots       []uint16  // Expert in each slot.
	filledSlots []int     // By rank: number of slots that are filled.
	rankTime    []float64 // By rank: compute time per step for the load of the replicas placed on it, in units of load.
}

func newPacking(shape Shape, slowness []float64) *packing {
	return &packing{
		shape: shape, slowness: slowness, slots: make([]uint16, shape.Ranks*shape.Slots),
		filledSlots: make([]int, shape.Ranks), rankTime: make([]float64, shape.Ranks),
	}
}

// placeReplica puts a replica of the expert, with its share of the expert's load, on the
// rank with a free slot that takes the least time so far. Ranks without a replica of the
// expert are preferred.
func (p *packing) placeReplica(expert uint16, share float64) {
	best := -1
	bestHasReplica := false
	for rank := range p.filledSlots {
		if p.filledSlots[rank] == p.shape.Slots {
			continue
		}
		hasReplica := p.hasReplica(rank, expert)
		better := best < 0 || (bestHasReplica && !hasReplica) || (bestHasReplica == hasReplica && p.rankTime[rank] < p.rankTime[best])
		if better && (best < 0 || bestHasReplica || !hasReplica) {
			best, bestHasReplica = rank, hasReplica
		}
	}
	p.slots[best*p.shape.Slots+p.filledSlots[best]] = expert
	p.filledSlots[best]++
	slow := 1.0
	if p.slowness != nil {
		slow = p.slowness[best]
	}
	p.rankTime[best] += share * slow
}

func (p *packing) hasReplica(rank int, expert uint16) bool {
	for _, held := range p.slots[rank*p.shape.Slots : rank*p.shape.Slots+p.filledSlots[rank]] {
		if held == expert {
			return true
		}
	}
	return false
}

// Refine returns a better placement for the load, found by local search regardless of
// the number of moves.
func Refine(shape Shape, placement Placement, load [][]float64, slowness []float64) Placement {
	refined := make(Placement, len(placement))
	for layer := range placement {
		search := newSearch(shape, placement[layer], load[layer], slowness)
		for range len(placement[layer]) {
			if _, ok := search.improve(); !ok {
				break
			}
		}
		refined[layer] = search.slotExperts
	}
	return refined
}

// Relabel permutes the ranks and slots of the next placement so that few
// experts move from the current one.
func Relabel(shape Shape, current, next Placement) Placement {
	relabelled := make(Placement, len(next))
	for layer := range next {
		relabelled[layer] = relabelLayer(shape, current[layer], next[layer])
	}
	return relabelled
}

// relabelLayer permutes the ranks of one layer, so that a rank takes the place of one
// with which it has many experts in common, and then aligns their slots.
func relabelLayer(shape Shape, current, next []uint16) []uint16 {
	type pair struct{ from, to, common int }
	var pairs []pair
	for from := range shape.Ranks {
		for to := range shape.Ranks {
			if common := overlap(rankSlots(shape, next, from), rankSlots(shape, current, to)); common > 0 {
				pairs = append(pairs, pair{from, to, common})
			}
		}
	}
	sort.SliceStable(pairs, func(i, j int) bool { return pairs[i].common > pairs[j].common })
	targetRank, targetTaken := make([]int, shape.Ranks), make([]bool, shape.Ranks)
	for from := range targetRank {
		targetRank[from] = -1
	}
	for _, p := range pairs {
		if targetRank[p.from] < 0 && !targetTaken[p.to] {
			targetRank[p.from], targetTaken[p.to] = p.to, true
		}
	}
	free := 0
	result := make([]uint16, len(next))
	for from := range targetRank {
		if targetRank[from] < 0 {
			for targetTaken[free] {
				free++
			}
			targetRank[from], targetTaken[free] = free, true
		}
		alignSlots(rankSlots(shape, result, targetRank[from]), rankSlots(shape, current, targetRank[from]), rankSlots(shape, next, from))
	}
	return result
}

// rankSlots returns the rank's part of the slots of a layer.
func rankSlots(shape Shape, layer []uint16, rank int) []uint16 {
	return layer[rank*shape.Slots : (rank+1)*shape.Slots]
}

// overlap returns the number of experts in a that are also in b.
func overlap(a, b []uint16) int {
	common := 0
	for _, expert := range a {
		for _, other := range b {
			if expert == other {
				common++
				break
			}
		}
	}
	return common
}

// alignSlots writes next into result such that experts that stay on the rank keep
// their slots.
func alignSlots(result, current, next []uint16) {
	unplaced := append([]uint16(nil), next...)
	filled := make([]bool, len(current))
	for slot, expert := range current {
		for i, candidate := range unplaced {
			if candidate == expert {
				result[slot], filled[slot] = expert, true
				unplaced = append(unplaced[:i], unplaced[i+1:]...)
				break
			}
		}
	}
	for slot := range result {
		if !filled[slot] {
			result[slot], unplaced = unplaced[0], unplaced[1:]
		}
	}
}

// CountMoves returns how many experts have to be loaded onto ranks where the current
// placement has no replica of them.
func CountMoves(shape Shape, current, next Placement) int {
	moves := 0
	for layer := range next {
		for rank := range shape.Ranks {
			to := rankSlots(shape, next[layer], rank)
			moves += len(to) - overlap(to, rankSlots(shape, current[layer], rank))
		}
	}
	return moves
}
