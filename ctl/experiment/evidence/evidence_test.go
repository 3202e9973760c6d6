package evidence

import (
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/evidence"
)

// sampleStep is the step between the cases that are run. It is coprime to the sizes
// of all dimensions, so that the sample covers every value of each.
const sampleStep = 47

// unsafeRuns returns in how many of the cases selected by keep the taken-out data
// centre would start new work.
func unsafeRuns(policy evidence.Policy, step int, keep func(takeOutCase) bool) int {
	found := 0
	for index, c := range takeOutCases() {
		if index%step == 0 && keep(c) && c.violatesBound(rand.New(rand.NewPCG(1, uint64(c.cutLinks))), policy) {
			found++
		}
	}
	return found
}

// hasGuarantee reports whether the default policy guarantees safety in the case: the
// entry does not crash before it has offered the change to the other processes, and its
// data centre is not taken out. If it were, the store would refuse the change.
func hasGuarantee(c takeOutCase) bool {
	return !c.entryCrashes && (!c.thirdTakenOutBefore || c.acceptingDataCentre != dataCentres-1)
}

func TestTakenOutDataCentreGetsNoNewWork(t *testing.T) {
	Convey("With the default policy, over cut links, restarts and pauses", t, func() {
		So(unsafeRuns(evidence.DefaultPolicy, sampleStep, hasGuarantee), ShouldEqual, 0)
	})
	powerCut := func(c takeOutCase) bool {
		return hasGuarantee(c) && c.restart == restartAccepting && c.restoresLinks && !c.thirdTakenOutBefore
	}
	Convey("A power cut of the accepting data centre is safe", t, func() {
		So(unsafeRuns(evidence.DefaultPolicy, 5, powerCut), ShouldEqual, 0)
	})
	Convey("A power cut is unsafe without a start-up check or with one by peers", t, func() {
		So(unsafeRuns(evidence.Policy{ContactRule: evidence.EveryDataCentre, StartupCheck: evidence.NoStartupCheck}, 5, powerCut), ShouldBeGreaterThan, 0)
		So(unsafeRuns(evidence.Policy{ContactRule: evidence.EveryDataCentre, StartupCheck: evidence.PeerStartupCheck}, 5, powerCut), ShouldBeGreaterThan, 0)
	})
	Convey("Contact with only one other data centre is not enough", t, func() {
		noFaults := func(c takeOutCase) bool {
			return hasGuarantee(c) && c.restart == noFault && !c.restoresLinks && !c.thirdTakenOutBefore
		}
		So(unsafeRuns(evidence.DefaultPolicy, 5, noFaults), ShouldEqual, 0)
		So(unsafeRuns(evidence.Policy{ContactRule: evidence.OtherDataCentre, StartupCheck: evidence.StoreStartupCheck}, 5, noFaults), ShouldBeGreaterThan, 0)
	})
}

func TestStoreOutageWithLinksUpRefusesNoWork(t *testing.T) {
	Convey("While the store is down for all and the links are up, agents accept work, restarted ones as well", t, func() {
		So(refusedShare(evidence.DefaultPolicy, 1, 1, noFault, 1), ShouldEqual, 0)
		So(refusedShare(evidence.DefaultPolicy, 1, 1, restartTakenOutAgents, 1), ShouldEqual, 0)
	})
}

// maxStoreReadsPerSecond is half of the reads that the store can serve per second,
// for a system of half the target size.
const maxStoreReadsPerSecond = 500

func TestStoreReadRateStaysWithinLimit(t *testing.T) {
	Convey("160 entries and 952 agents stay within half of the store's read capacity", t, func() {
		row := propagationSize{8, 20, 119}.measureRow(1)
		maxReads, err := strconv.Atoi(row[3])
		So(err, ShouldBeNil)
		So(maxReads, ShouldBeBetween, 0, maxStoreReadsPerSecond)
	})
}
