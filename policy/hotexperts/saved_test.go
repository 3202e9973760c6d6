package hotexperts

import (
	"bytes"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// drawLoad draws loads that differ by up to five orders of magnitude, some of them zero.
func drawLoad(t *rapid.T) [][]float64 {
	sets, experts := rapid.IntRange(1, 4).Draw(t, "sets"), rapid.IntRange(1, 40).Draw(t, "experts")
	value := rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(1, 1e5))
	load := make([][]float64, sets)
	for set := range load {
		load[set] = rapid.SliceOfN(value, experts, experts).Draw(t, "load")
	}
	return load
}

func demandOf(load [][]float64) *Demand {
	d := NewDemand(len(load), len(load[0]))
	var gains []int64
	for _, experts := range load {
		for _, value := range experts {
			gains = append(gains, int64(value))
		}
	}
	d.Observe(gains, 0)
	return d
}

func TestSavedDemandKeepsItsProportions(t *testing.T) {
	Convey("A demand that is saved and read again has the same proportions, and small loads differ from none", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			d := demandOf(drawLoad(t))
			saved, err := DecodeDemand(d.Save().Encode())
			if err != nil {
				t.Fatal(err)
			}
			restored := NewDemandFrom(saved).Load()
			total, restoredTotal := 0.0, 0.0
			for set := range restored {
				total, restoredTotal = total+sum(d.forecast[set]), restoredTotal+sum(restored[set])
			}
			if total == 0 {
				return
			}
			for set := range restored {
				for expert, value := range restored[set] {
					want := d.forecast[set][expert] / total
					if got := value / restoredTotal; math.Abs(got-want) > 0.05*want || (got == 0) != (want == 0) {
						t.Fatalf("share %v of set %d, expert %d is read as %v", want, set, expert, got)
					}
				}
			}
		})
	})
	Convey("One round of counts outweighs a saved demand that no longer fits", t, func() {
		old, current := make([]int64, 100), make([]int64, 100)
		for i := range old {
			old[i], current[99-i] = int64(10*i), int64(10*i)
		}
		before := NewDemand(1, 100)
		before.Observe(old, 0)
		d := NewDemandFrom(before.Save())
		So(d.Choices(), ShouldAlmostEqual, MinChoices, 1)
		d.Observe(current, 100*time.Millisecond)
		now := NewDemand(1, 100)
		now.Observe(current, 0)
		So(now.Save().Moved(d.Save()), ShouldBeLessThan, 0.05)
	})
	Convey("The skew of a plan from a saved demand is that of a plan from the demand itself", t, func() {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 1))
			load := randomTopicLoad(random, referenceShape, referenceSets)
			for set := range load {
				for expert := range load[set] {
					load[set][expert] *= 1000
				}
			}
			d, initial := demandOf(load), roundRobinMap(referenceShape, referenceSets)
			direct := Decide(referenceShape, initial, d.Load(), 3)
			restored := Decide(referenceShape, initial, NewDemandFrom(d.Save()).Load(), 3)
			So(Skew(referenceShape, restored.Map, d.Load()), ShouldBeLessThan, direct.SkewAfter*1.05)
		}
	})
}

func TestSavedDemandOfOtherContent(t *testing.T) {
	Convey("Whatever bytes are read, they are refused or describe a demand of their shape", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "damaged") {
				data = demandOf(drawLoad(t)).Save().Encode()
				data = data[:rapid.IntRange(0, len(data)).Draw(t, "length")]
				if len(data) > 0 {
					data[rapid.IntRange(0, len(data)-1).Draw(t, "index")] = rapid.Byte().Draw(t, "byte")
				}
			}
			saved, err := DecodeDemand(data)
			if err != nil {
				return
			}
			if !bytes.Equal(saved.Encode(), data) {
				t.Fatalf("%v is read as %v", data, saved)
			}
			d := NewDemandFrom(saved)
			if load := d.Load(); len(load) != saved.Sets || len(load[0]) != saved.Experts {
				t.Fatalf("a demand of %d sets", len(load))
			}
			for _, experts := range d.Load() {
				for _, value := range experts {
					if math.IsNaN(value) || value < 0 || value > MinChoices+1 {
						t.Fatalf("load %v", value)
					}
				}
			}
		})
	})
	Convey("A shape that is huge or does not match the content is refused", t, func() {
		for _, data := range [][]byte{nil, {1}, {1, 0, 0}, {9, 1, 1, 5}, {1, 1, 2, 5}, {1, 1, 1, 5, 5}, {1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 2, 5}} {
			_, err := DecodeDemand(data)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("Demands of different shapes count as entirely different", t, func() {
		So(NewDemand(1, 2).Save().Moved(NewDemand(2, 2).Save()), ShouldEqual, 1)
		So(SavedDemand{}.Moved(NewDemand(2, 2).Save()), ShouldEqual, 1)
	})
}

func TestSizeOfSavedDemand(t *testing.T) {
	Convey("A saved demand takes one byte an expert", t, func() {
		So(len(NewDemand(8, 252).Save().Encode()), ShouldBeLessThan, 2100)
		So(len(NewDemand(58, 256).Save().Encode()), ShouldBeLessThan, 15000)
	})
}
