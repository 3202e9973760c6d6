package hotexperts

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// largeShape is a group with one free place for two experts: many ranks share the
// highest load once the hottest experts have been copied.
var largeShape = Shape{Ranks: 129, Places: 3, Experts: 258, NewPerSet: 2}

// placeFromScratch places the experts of one expert set without regard to where they
// are: all places go to replicas of the experts with the most load for each replica,
// and the replicas, the one with most load first, to the rank with the least load.
func placeFromScratch(shape Shape, load []float64) [][]int {
	replicas := make([]int, shape.Experts)
	for expert := range replicas {
		replicas[expert] = 1
	}
	share := func(expert int) float64 { return load[expert] / float64(replicas[expert]) }
	for range shape.Ranks*shape.Places - shape.Experts {
		hottest := 0
		for expert := range replicas {
			if share(expert) > share(hottest) {
				hottest = expert
			}
		}
		replicas[hottest]++
	}
	var order []int
	for expert, count := range replicas {
		for range count {
			order = append(order, expert)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if share(a) > share(b) {
			return -1
		}
		return 1
	})
	held, loads := make([][]int, shape.Ranks), make([]float64, shape.Ranks)
	for _, expert := range order {
		best := -1
		for rank := range held {
			if len(held[rank]) < shape.Places && !slices.Contains(held[rank], expert) && (best < 0 || loads[rank] < loads[best]) {
				best = rank
			}
		}
		if best >= 0 {
			held[best], loads[best] = append(held[best], expert), loads[best]+share(expert)
		}
	}
	return held
}

func TestDemandJumpsInALargeGroup(t *testing.T) {
	Convey("Four changes after a jump, the skew is at most 0.1 above that of a map made from scratch for the demand", t, func() {
		const sets, jumps, changes, budget = 8, 3, 4, 4
		random := rand.New(rand.NewPCG(7, 1))
		placement := roundRobinMap(largeShape, sets)
		reached, fromScratch := 0.0, 0.0
		for range jumps {
			load := randomTopicLoad(random, largeShape, sets)
			ideal := make(Map, sets)
			for set := range ideal {
				ideal[set] = placeFromScratch(largeShape, load[set])
			}
			for range changes {
				placement = Decide(largeShape, placement, load, budget).Map
			}
			reached += Skew(largeShape, placement, load) / jumps
			fromScratch += Skew(largeShape, ideal, load) / jumps
		}
		t.Logf("skew %.3f, from scratch %.3f", reached, fromScratch)
		So(reached, ShouldBeLessThan, fromScratch+0.1)
	})
}
