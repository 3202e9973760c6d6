package hotexperts

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// referenceShape is the shape of the users' groups.
var referenceShape = Shape{Ranks: 12, Places: 8, Experts: 72, NewPerSet: 3}

// referenceSets is the number of expert sets of the users' groups.
const referenceSets = 4

// roundRobinMap returns the map that a group starts with: the experts of each expert
// set are assigned to the ranks round-robin.
func roundRobinMap(shape Shape, sets int) Map {
	placement := make(Map, sets)
	for set := range placement {
		placement[set] = make([][]int, shape.Ranks)
		for expert := range shape.Experts {
			rank := expert % shape.Ranks
			placement[set][rank] = append(placement[set][rank], expert)
		}
	}
	return placement
}

// randomTopicLoad draws a load from topics with power-law popularity, each with its
// own experts: few topics account for most of the load.
func randomTopicLoad(random *rand.Rand, shape Shape, sets int) [][]float64 {
	load := make([][]float64, sets)
	for set := range load {
		load[set] = make([]float64, shape.Experts)
		for topic := range 9 {
			weight := 1 / math.Pow(float64(topic+1), 1.3)
			for range 8 {
				load[set][random.IntN(shape.Experts)] += weight
			}
		}
	}
	return load
}

func TestDecideAfterDemandJump(t *testing.T) {
	Convey("After a jump in demand a few small changes spread the load", t, func() {
		total, jumps := 0.0, 0
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			placement := roundRobinMap(referenceShape, referenceSets)
			for range 3 {
				load := randomTopicLoad(random, referenceShape, referenceSets)
				before := Skew(referenceShape, placement, load)
				for range 4 {
					placement = Decide(referenceShape, placement, load, 3).Map
				}
				So(before, ShouldBeGreaterThan, 1.3)
				total += Skew(referenceShape, placement, load)
				jumps++
			}
		}
		// The users' goal is a mean skew of at most 1.15 after the first second.
		So(total/float64(jumps), ShouldBeLessThan, 1.15)
	})
	Convey("A change that saves less than its copies cost is not worthwhile", t, func() {
		costs := Costs{CopyTime: 100 * time.Millisecond, ExpertTimeShare: 0.4, Occupancy: 0.9}
		So(Plan{Copies: 1, MaxCopiesPerRank: 1, SkewBefore: 1.18, SkewAfter: 1.17}.IsWorthwhile(costs), ShouldBeFalse)
		So(Plan{Copies: 24, MaxCopiesPerRank: 2, SkewBefore: 3, SkewAfter: 1.3}.IsWorthwhile(costs), ShouldBeTrue)
		So(Plan{SkewBefore: 3, SkewAfter: 3}.IsWorthwhile(costs), ShouldBeFalse)
		So(Plan{Copies: 4, MaxCopiesPerRank: 1, SkewBefore: 1.3, SkewAfter: 1.2}.IsWorthwhile(costs), ShouldBeTrue)
		costs.Occupancy = 0.2
		So(Plan{Copies: 4, MaxCopiesPerRank: 1, SkewBefore: 1.3, SkewAfter: 1.2}.IsWorthwhile(costs), ShouldBeFalse)
		So(Plan{Copies: 24, MaxCopiesPerRank: 2, SkewBefore: 3, SkewAfter: 1.3}.IsWorthwhile(costs), ShouldBeTrue)
	})
	Convey("A busy group is changed again at once only if that gains a notable share", t, func() {
		small, jump := Plan{SkewBefore: 1.3, SkewAfter: 1.15}, Plan{SkewBefore: 3, SkewAfter: 1.3}
		So(small.MayFollow(300*time.Millisecond, 0.9), ShouldBeFalse)
		So(small.MayFollow(time.Second, 0.9), ShouldBeTrue)
		So(small.MayFollow(300*time.Millisecond, 0.5), ShouldBeTrue) // Rare anyway; see lightLoadMinGain.
		So(jump.MayFollow(0, 0.9), ShouldBeTrue)
	})
	Convey("The longer a copy takes, the fewer are made for the last part of the skew", t, func() {
		copies := map[time.Duration]int{}
		skew := map[time.Duration]float64{}
		for _, copyTime := range []time.Duration{7 * time.Millisecond, 420 * time.Millisecond} {
			shape := referenceShape
			shape.CopyTime = copyTime
			for seed := range uint64(10) {
				random := rand.New(rand.NewPCG(seed, 1))
				placement, load := roundRobinMap(shape, referenceSets), randomTopicLoad(random, shape, referenceSets)
				for range 4 {
					plan := Decide(shape, placement, load, 2)
					placement = plan.Map
					copies[copyTime] += plan.Copies
				}
				skew[copyTime] += Skew(shape, placement, load) / 10
			}
		}
		So(copies[420*time.Millisecond], ShouldBeLessThan, copies[7*time.Millisecond])
		So(skew[420*time.Millisecond], ShouldBeLessThan, 1.15) // The users' goal.
	})
	Convey("An even load needs no copies", t, func() {
		load := make([][]float64, referenceSets)
		for set := range load {
			load[set] = make([]float64, referenceShape.Experts)
			for expert := range load[set] {
				load[set][expert] = 1
			}
		}
		So(Decide(referenceShape, roundRobinMap(referenceShape, referenceSets), load, 3).Copies, ShouldEqual, 0)
	})
}

func TestDecideLeastAverageSkew(t *testing.T) {
	const copyTime = 100 * time.Millisecond
	Convey("Right after a jump in demand a plan with fewer copies is chosen if it brings most of the gain sooner", t, func() {
		fewerCopies := 0
		for seed := range uint64(20) {
			load := randomTopicLoad(rand.New(rand.NewPCG(seed, 3)), referenceShape, referenceSets)
			placement := roundRobinMap(referenceShape, referenceSets)
			shape := referenceShape
			shape.CopyTime = copyTime
			fullBudget := Decide(shape, placement, load, 3)
			best := DecideLeastAverageSkew(shape, placement, load, 3)
			if best.MaxCopiesPerRank < fullBudget.MaxCopiesPerRank {
				fewerCopies++
			}
			cost := func(p Plan) float64 {
				switchDelay := (switchTime + time.Duration(p.MaxCopiesPerRank)*copyTime).Seconds()
				return p.SkewBefore*switchDelay + p.SkewAfter*(recoveryWindow.Seconds()-switchDelay)
			}
			So(cost(best), ShouldBeLessThanOrEqualTo, cost(fullBudget))
		}
		So(fewerCopies, ShouldBeGreaterThan, 0)
	})
	Convey("If copies take no time, the plan uses the full budget", t, func() {
		load := randomTopicLoad(rand.New(rand.NewPCG(1, 3)), referenceShape, referenceSets)
		placement := roundRobinMap(referenceShape, referenceSets)
		So(DecideLeastAverageSkew(referenceShape, placement, load, 3).SkewAfter, ShouldEqual, Decide(referenceShape, placement, load, 3).SkewAfter)
	})
}

func TestDecideRelievesSlowRank(t *testing.T) {
	Convey("Load is moved away from a rank that is three times as slow as normal", t, func() {
		for seed := range uint64(20) {
			shape := referenceShape
			shape.Slowness = []float64{1, 1, 1, 1, 3, 1, 1, 1, 1, 1, 1, 1}
			load := randomTopicLoad(rand.New(rand.NewPCG(seed, 2)), shape, referenceSets)
			placement := roundRobinMap(shape, referenceSets)
			for range 5 {
				placement = Decide(shape, placement, load, 3).Map
			}
			// The bound allows for eleven ranks carrying the load of twelve.
			So(Skew(shape, placement, load), ShouldBeLessThan, 1.15*12/11)
		}
	})
}

func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Shape{
			Ranks:     rapid.IntRange(2, 8).Draw(t, "ranks"),
			Experts:   rapid.IntRange(2, 24).Draw(t, "experts"),
			NewPerSet: rapid.IntRange(1, 3).Draw(t, "new"),
		}
		if rapid.Bool().Draw(t, "one is slow") {
			shape.Slowness = []float64{rapid.Float64Range(1, 12).Draw(t, "slowness")}
		}
		shape.Places = (shape.Experts+shape.Ranks-1)/shape.Ranks + rapid.IntRange(0, 2).Draw(t, "spare places")
		sets := rapid.IntRange(1, 3).Draw(t, "sets")
		budget := rapid.IntRange(1, 4).Draw(t, "budget")
		placement := roundRobinMap(shape, sets)
		for range 4 {
			load := make([][]float64, sets)
			for set := range load {
				load[set] = rapid.SliceOfN(rapid.Float64Range(0, 100), shape.Experts, shape.Experts).Draw(t, "load")
			}
			plan := Decide(shape, placement, load, budget)
			checkPlanLimits(t, shape, placement, plan, budget)
			if plan.SkewAfter > plan.SkewBefore+1e-9 {
				t.Fatalf("skew rises from %v to %v", plan.SkewBefore, plan.SkewAfter)
			}
			placement = plan.Map
		}
	})
}

func TestPlanNeverRaisesSkew(t *testing.T) {
	Convey("A plan that lowers the search's cost but raises the skew is discarded", t, func() {
		// A failing case found by TestPlanRespectsLimits.
		shape := Shape{Ranks: 2, Places: 8, Experts: 14, NewPerSet: 1, Slowness: []float64{2.75}}
		load := [][]float64{{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 6.75, 1, 26.875, 100}}
		plan := Decide(shape, roundRobinMap(shape, 1), load, 1)
		So(plan.SkewAfter, ShouldBeLessThanOrEqualTo, plan.SkewBefore)
	})
}

// checkPlanLimits fails the test if the plan exceeds a limit on the experts that a rank
// holds or copies, or if an expert has no replica.
func checkPlanLimits(t *rapid.T, shape Shape, before Map, plan Plan, budget int) {
	copies := make([]int, shape.Ranks)
	for set := range plan.Map {
		covered := map[int]bool{}
		for rank, experts := range plan.Map[set] {
			if len(experts) > shape.Places {
				t.Fatalf("rank %d holds %d experts", rank, len(experts))
			}
			heldBefore := map[int]bool{}
			for _, expert := range before[set][rank] {
				heldBefore[expert] = true
			}
			held := map[int]bool{}
			added := 0
			for _, expert := range experts {
				if held[expert] {
					t.Fatalf("rank %d holds expert %d twice", rank, expert)
				}
				held[expert], covered[expert] = true, true
				if !heldBefore[expert] {
					added++
				}
			}
			copies[rank] += added
			if added > shape.NewPerSet {
				t.Fatalf("rank %d gets %d new experts in a set", rank, added)
			}
		}
		if len(covered) != shape.Experts {
			t.Fatalf("set %d places %d experts", set, len(covered))
		}
	}
	for rank, count := range copies {
		if count > budget {
			t.Fatalf("rank %d copies %d experts", rank, count)
		}
	}
}

func TestDemand(t *testing.T) {
	const round = 100 * time.Millisecond
	Convey("Given the increases of a rank's counters", t, func() {
		d := NewDemand(1, 2)
		So(d.Observe([]int64{0, 50}, round), ShouldBeTrue)
		So(d.Load()[0], ShouldResemble, []float64{0, 50})

		Convey("the load of an expert that is no longer chosen decays", func() {
			for range 20 {
				d.Observe([]int64{10, 0}, round)
			}
			So(d.Load()[0][1], ShouldBeLessThan, 2.0)
			So(d.Load()[0][0], ShouldBeGreaterThan, 8.0)
		})
		Convey("the forecast follows a jump in demand within a few observations", func() {
			for range 20 {
				d.Observe([]int64{0, 50}, round)
			}
			for range 2 {
				d.Observe([]int64{50, 0}, round)
			}
			load := d.Load()[0]
			So(load[0]/(load[0]+load[1]), ShouldBeGreaterThan, 0.75)
		})
		Convey("gains of the wrong length are rejected", func() {
			So(d.Observe([]int64{1}, round), ShouldBeFalse)
		})
	})
	Convey("Sums of packed counts take about one byte each and keep their proportions", t, func() {
		counts := make([]int64, 1000)
		for i := range counts {
			counts[i] = int64(300 + 3*i)
		}
		packed, err := SumPacked([][]byte{PackCounts(nil, counts), PackCounts(nil, counts)})
		So(err, ShouldBeNil)
		So(len(packed), ShouldBeLessThan, 1200)
		sums, err := UnpackCounts(packed)
		So(err, ShouldBeNil)
		for i, sum := range sums {
			So(float64(sum), ShouldAlmostEqual, float64(2*counts[i]), 0.1*float64(2*counts[i]))
		}
		_, err = SumPacked([][]byte{PackCounts(nil, counts), PackCounts(nil, counts[1:])})
		So(err, ShouldNotBeNil)
	})
	Convey("Packed counts contain the increases, and zero for counters that have decreased", t, func() {
		gains, err := UnpackCounts(PackCounts([]int64{5, 1000, 7}, []int64{5, 1300, 2, 9}))
		So(err, ShouldBeNil)
		So(gains, ShouldResemble, []int64{0, 300, 0, 9})
		_, err = UnpackCounts([]byte{0, 0x80})
		So(err, ShouldNotBeNil)
	})
}
