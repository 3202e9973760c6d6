package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/jsonfile"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/ports"
)

func dataCentres(region string, takenOutFlags ...bool) []byte {
	var text strings.Builder
	text.WriteString(`{"data_centres": [`)
	for index, takenOut := range takenOutFlags {
		fmt.Fprintf(&text, `{"name": "dc-%d", "region": %q, "taken_out": %v},`, index+1, region, takenOut)
	}
	text.WriteString("]}")
	return []byte(text.String())
}

func change(id string, base uint64, text []byte) Change {
	return Change{
		ID: id, Kind: KindApply, Operator: "anna", DataCentre: "dc-2", At: time.Unix(1_000, 0).UTC(), Base: base,
		Files: config.Files{config.FileDataCentres: text},
	}
}

func withTimeout(t interface{ Cleanup(func()) }, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func TestSubmit(t *testing.T) {
	Convey("Given a store with one accepted revision", t, func() {
		s, table := newFaultyStore()
		ctx := context.Background()
		_, err := s.Submit(ctx, change("first", 0, dataCentres("r", false, false)))
		So(err, ShouldBeNil)

		Convey("a change against an old revision is a conflict that names the accepted revision, its operator and time", func() {
			_, err := s.Submit(ctx, change("second", 0, dataCentres("s", false)))
			So(result.From(err).Code, ShouldEqual, result.RevisionConflict)
			So(err.Error(), ShouldContainSubstring, "revision 1 was accepted from anna at 1970-01-01T00:16:40Z")
		})

		Convey("a retry with the same ID returns the first outcome", func() {
			accepted, err := s.Submit(ctx, change("first", 0, dataCentres("r", false, false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 1)
			So(accepted.Changes, ShouldNotBeEmpty)
		})

		Convey("a commit whose reply is lost is recognised as accepted", func() {
			table.faults = []commitFault{replyLost}
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("a commit whose request is lost is sent again", func() {
			table.faults = []commitFault{requestLost}
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("a commit whose reply is lost is found by its ID after another operator's change", func() {
			table.faults = []commitFault{replyLost}
			table.afterCommit = func() {
				table.afterCommit = nil
				_, err := s.Submit(ctx, change("third", 2, dataCentres("t", false)))
				So(err, ShouldBeNil)
			}
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("an outage before the commit is reported as unavailable", func() {
			table.faults = []commitFault{commitRefused}
			_, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(result.From(err).Code, ShouldEqual, result.StoreUnavailable)
		})

		Convey("an outage after a commit with an unknown outcome is reported as unknown", func() {
			table.faults = []commitFault{commitDelayed, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused}
			_, err := s.Submit(withTimeout(t, 300*time.Millisecond), change("second", 1, dataCentres("s", false)))
			So(result.From(err).Code, ShouldEqual, result.ApplyUnknown)
			table.applyDelayed()
			accepted, found, err := s.Outcome(ctx, "second")
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("the last data centre is taken out only with the explicit flag", func() {
			all := change("second", 1, dataCentres("r", true, true))
			_, err := s.Submit(ctx, all)
			So(result.From(err).Code, ShouldEqual, result.LastDataCentre)
			all.AllowLastDataCentre = true
			_, err = s.Submit(ctx, all)
			So(err, ShouldBeNil)

			Convey("its return is accepted through an entry in any data centre", func() {
				_, err := s.Submit(ctx, change("third", 2, dataCentres("r", false, true)))
				So(err, ShouldBeNil)
			})
		})

		Convey("an entry in a data centre that is taken out can't take out another one", func() {
			_, err := s.Submit(ctx, change("second", 1, dataCentres("r", false, true)))
			So(err, ShouldBeNil)
			third := change("third", 2, dataCentres("r", true, true))
			third.AllowLastDataCentre = true
			_, err = s.Submit(ctx, third)
			So(result.From(err).Code, ShouldEqual, result.ChangeFromTakenOut)

			Convey("it can return data centres and change other fields", func() {
				_, err := s.Submit(ctx, change("third", 2, dataCentres("s", false, false)))
				So(err, ShouldBeNil)
			})
		})

		Convey("an invalid file is refused and the revision stays", func() {
			_, err := s.Submit(ctx, change("second", 1, []byte(`{"data_centres": [{"name": "dc-1"}`)))
			So(err, ShouldHaveSameTypeAs, jsonfile.Problems{})
			head, _, _ := s.Head(ctx)
			So(head.Revision, ShouldEqual, 1)
		})

		Convey("text that is already in force creates no revision", func() {
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("r", false, false)))
			So(err, ShouldBeNil)
			So(accepted.Unchanged, ShouldBeTrue)
			So(accepted.Revision, ShouldEqual, 1)
		})
	})
}

func TestAuditChain(t *testing.T) {
	Convey("Given a chain of three records", t, func() {
		s, _ := newFaultyStore()
		ctx := context.Background()
		for base := range uint64(3) {
			_, err := s.Submit(ctx, change(fmt.Sprint("apply-", base), base, dataCentres(fmt.Sprint("region-", base), false)))
			So(err, ShouldBeNil)
		}
		length, err := s.VerifyAudit(ctx)
		So(err, ShouldBeNil)
		So(length, ShouldEqual, 3)
		records, err := s.Audit(ctx, 0, 10)
		So(err, ShouldBeNil)
		So(records[1].Changes, ShouldResemble, []config.Change{{
			File: config.FileDataCentres, Path: "data_centres[dc-1].region", Old: `"region-0"`, New: `"region-1"`,
		}})

		rewrite := func(record Record) {
			value, err := json.Marshal(record)
			So(err, ShouldBeNil)
			So(s.Table.Commit(ctx, ports.Tx{Writes: []ports.Write{{Key: recordKey(record.Revision), Value: value}}}), ShouldBeNil)
		}
		expectAuditBroken := func() {
			_, err := s.VerifyAudit(ctx)
			So(result.From(err).Code, ShouldEqual, result.AuditBroken)
		}
		Convey("an altered record is detected", func() {
			records[1].Operator = "nobody"
			rewrite(records[1])
			expectAuditBroken()
		})
		Convey("an altered record with a recomputed hash is detected", func() {
			records[1].Operator = "nobody"
			records[1].Hash = records[1].hash()
			rewrite(records[1])
			expectAuditBroken()
		})
		Convey("an altered last record with a recomputed hash is detected", func() {
			records[2].Operator = "nobody"
			records[2].Hash = records[2].hash()
			rewrite(records[2])
			expectAuditBroken()
		})
		Convey("a removed record is detected", func() {
			So(s.Table.Commit(ctx, ports.Tx{Writes: []ports.Write{{Key: recordKey(2), Delete: true}}}), ShouldBeNil)
			expectAuditBroken()
		})
	})
}

// TestSubmitMachine submits changes of concurrent operators to a table service
// that loses and delays commits. It checks that a change reported as accepted
// stays accepted at the same revision, that a change reported as refused is never
// accepted, and that the audit chain is intact.
func TestSubmitMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, table := newFaultyStore()
		ctx := context.Background()
		accepted := map[string]uint64{}
		refusedIDs := map[string]bool{}
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		for step := range steps {
			head, _, err := s.Head(ctx)
			if err != nil {
				t.Fatal(err)
			}
			id := fmt.Sprint("apply-", step)
			if len(accepted) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				id = fmt.Sprint("apply-", rapid.IntRange(0, step).Draw(t, "which"))
			}
			base := head.Revision - min(head.Revision, rapid.Uint64Range(0, 1).Draw(t, "behind"))
			table.faults = rapid.SliceOfN(rapid.SampledFrom([]commitFault{noFault, commitRefused, replyLost, requestLost, commitDelayed}), 0, 3).Draw(t, "fates")
			if rapid.Bool().Draw(t, "rival") {
				table.afterCommit = func() {
					table.afterCommit = nil
					rivalHead, _, _ := s.Head(ctx)
					_, _ = s.Submit(withTimeout(t, time.Millisecond), change(id+"-rival", rivalHead.Revision, dataCentres(id+"-rival", false)))
				}
			}
			delete(refusedIDs, id)
			outcome, err := s.Submit(withTimeout(t, 2*time.Millisecond), change(id, base, dataCentres(id, false)))
			table.afterCommit = nil
			switch {
			case err == nil:
				if known, ok := accepted[id]; ok && known != outcome.Revision {
					t.Fatalf("%s accepted as revision %d and as revision %d", id, known, outcome.Revision)
				}
				accepted[id] = outcome.Revision
			case result.From(err).Code != result.ApplyUnknown:
				if _, ok := accepted[id]; ok && result.From(err).Code == result.RevisionConflict {
					t.Fatalf("%s was accepted before and is now reported as a conflict", id)
				}
				refusedIDs[id] = result.From(err).Code == result.RevisionConflict && !hasDelayedCommits(table)
			}
			if rapid.Bool().Draw(t, "land") {
				table.applyDelayed()
			}
		}
		table.faults = nil
		table.applyDelayed()
		for id, revision := range accepted {
			record, err := s.Record(ctx, revision)
			if err != nil || record.ApplyID != id {
				t.Fatalf("revision %d has apply ID %q, want %q: %v", revision, record.ApplyID, id, err)
			}
			delete(refusedIDs, id)
		}
		for id, certain := range refusedIDs {
			if _, found, _ := s.Outcome(ctx, id); certain && found {
				t.Fatalf("%s was reported as refused but is accepted", id)
			}
		}
		if _, err := s.VerifyAudit(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// hasDelayedCommits reports whether a copy of an earlier change may still take
// effect.
func hasDelayedCommits(table *faultyTable) bool { return len(table.delayedTxs) > 0 }
