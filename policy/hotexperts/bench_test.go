package hotexperts

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkDecide measures planning after a jump in demand, at the users' present group
// size and at a larger one that allows for growth.
func BenchmarkDecide(b *testing.B) {
	sizes := map[string]struct {
		shape  Shape
		sets   int
		budget int
	}{
		"12-ranks":  {referenceShape, referenceSets, 2},
		"63-ranks":  {Shape{Ranks: 63, Places: 5, Experts: 252, NewPerSet: 2}, 8, 12},
		"129-ranks": {largeShape, 16, 4},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			load := randomTopicLoad(rand.New(rand.NewPCG(1, 1)), size.shape, size.sets)
			placement := roundRobinMap(size.shape, size.sets)
			for b.Loop() {
				Decide(size.shape, placement, load, size.budget)
			}
		})
	}
}

// BenchmarkDecideSettled measures planning for a map that already fits the demand.
func BenchmarkDecideSettled(b *testing.B) {
	shape := Shape{Ranks: 63, Places: 5, Experts: 252, NewPerSet: 2}
	load := randomTopicLoad(rand.New(rand.NewPCG(1, 1)), shape, 8)
	placement := roundRobinMap(shape, 8)
	for range 12 {
		placement = Decide(shape, placement, load, 3).Map
	}
	for b.Loop() {
		Decide(shape, placement, load, 3)
	}
}
