package evidence

import (
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/evidence"
)

// sampleStep thins out the cases; it is coprime to the sizes of all dimensions.
const sampleStep = 47

// unsafeRuns counts the cases, of those that keep reports true, in which new
// work starts in the taken-out data centre.
func unsafeRuns(policy evidence.Policy, step int, keep func(takeOut) bool) int {
	found := 0
	for index, c := range takeOutCases() {
		if index%step == 0 && keep(c) && c.unsafe(rand.New(rand.NewPCG(1, uint64(c.subset))), policy) {
			found++
		}
	}
	return found
}

// covered reports whether the rules in use promise safety in the case: the
// entry lives until it has told others, and the store has not refused it.
func covered(c takeOut) bool {
	return !c.dies && (!c.outBefore || c.accepting != dataCentres-1)
}

func TestTakenOutDataCentreGetsNoNewWork(t *testing.T) {
	Convey("With the rules in use, over the cuts, restarts and pauses", t, func() {
		So(unsafeRuns(evidence.DefaultPolicy, sampleStep, covered), ShouldEqual, 0)
	})
	powerCut := func(c takeOut) bool {
		return covered(c) && c.restart == restartAccepting && c.heals && !c.outBefore
	}
	Convey("A power cut of the accepting data centre is safe", t, func() {
		So(unsafeRuns(evidence.DefaultPolicy, 5, powerCut), ShouldEqual, 0)
	})
	Convey("Without the start-up bit, or with the bit from peers, it is not", t, func() {
		So(unsafeRuns(evidence.Policy{ContactRule: evidence.EveryDataCentre, StartupCheck: evidence.NoStartupCheck}, 5, powerCut), ShouldBeGreaterThan, 0)
		So(unsafeRuns(evidence.Policy{ContactRule: evidence.EveryDataCentre, StartupCheck: evidence.PeerStartupCheck}, 5, powerCut), ShouldBeGreaterThan, 0)
	})
	Convey("Contact with one data centre only is not enough", t, func() {
		still := func(c takeOut) bool { return covered(c) && c.restart == restartNone && !c.heals && !c.outBefore }
		So(unsafeRuns(evidence.DefaultPolicy, 5, still), ShouldEqual, 0)
		So(unsafeRuns(evidence.Policy{ContactRule: evidence.OtherDataCentre, StartupCheck: evidence.StoreStartupCheck}, 5, still), ShouldBeGreaterThan, 0)
	})
}

func TestStoreOutageRefusesNothing(t *testing.T) {
	Convey("While the store is down for all and the links are up, agents go on, restarted ones as well", t, func() {
		So(refusedShare(evidence.DefaultPolicy, 1, 1, restartNone, 1), ShouldEqual, 0)
		So(refusedShare(evidence.DefaultPolicy, 1, 1, restartAgent, 1), ShouldEqual, 0)
	})
}

// maxStoreReads is half of what the store serves a second, for a system of
// half the target's size.
const maxStoreReads = 500

func TestLoadOfTheStore(t *testing.T) {
	Convey("160 entries and 952 agents stay within their part of the store's reads", t, func() {
		row := propagationSize{8, 20, 119}.measure(1)
		most, err := strconv.Atoi(row[3])
		So(err, ShouldBeNil)
		So(most, ShouldBeBetween, 0, maxStoreReads)
	})
}
