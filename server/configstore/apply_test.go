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

func dataCentres(region string, out ...bool) []byte {
	var text strings.Builder
	text.WriteString(`{"data_centres": [`)
	for index, takenOut := range out {
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

func shortly(t interface{ Cleanup(func()) }, wait time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	t.Cleanup(cancel)
	return ctx
}

func TestSubmit(t *testing.T) {
	Convey("Given a store with one accepted revision", t, func() {
		s, table := newFaulty()
		ctx := context.Background()
		_, err := s.Submit(ctx, change("first", 0, dataCentres("r", false, false)))
		So(err, ShouldBeNil)

		Convey("a change against an old revision is a conflict that names winner, time and revision", func() {
			_, err := s.Submit(ctx, change("second", 0, dataCentres("s", false)))
			So(result.From(err).Code, ShouldEqual, result.RevisionConflict)
			So(err.Error(), ShouldContainSubstring, "revision 1 was accepted from anna at 1970-01-01T00:16:40Z")
		})

		Convey("a repeat with the same ID returns the first outcome", func() {
			accepted, err := s.Submit(ctx, change("first", 0, dataCentres("r", false, false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 1)
			So(accepted.Changes, ShouldNotBeEmpty)
		})

		Convey("a lost answer is settled as accepted", func() {
			table.fates = []fate{answerLost}
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("a commit that never arrived is sent again", func() {
			table.fates = []fate{neverSeen}
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("a lost answer while another operator follows is settled by the ID", func() {
			table.fates = []fate{answerLost}
			table.after = func() {
				table.after = nil
				_, err := s.Submit(ctx, change("third", 2, dataCentres("t", false)))
				So(err, ShouldBeNil)
			}
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(err, ShouldBeNil)
			So(accepted.Revision, ShouldEqual, 2)
		})

		Convey("an outage before the commit changes nothing and says so", func() {
			table.fates = []fate{refused}
			_, err := s.Submit(ctx, change("second", 1, dataCentres("s", false)))
			So(result.From(err).Code, ShouldEqual, result.StoreUnavailable)
		})

		Convey("an outage after a commit of unknown fate is reported as unknown", func() {
			table.fates = []fate{delayed, refused, refused, refused, refused, refused, refused, refused}
			_, err := s.Submit(shortly(t, 300*time.Millisecond), change("second", 1, dataCentres("s", false)))
			So(result.From(err).Code, ShouldEqual, result.ApplyUnknown)
			table.land()
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

			Convey("and its return is accepted from anywhere", func() {
				_, err := s.Submit(ctx, change("third", 2, dataCentres("r", false, true)))
				So(err, ShouldBeNil)
			})
		})

		Convey("an entry in a data centre that is taken out takes out nothing more", func() {
			_, err := s.Submit(ctx, change("second", 1, dataCentres("r", false, true)))
			So(err, ShouldBeNil)
			third := change("third", 2, dataCentres("r", true, true))
			third.AllowLastDataCentre = true
			_, err = s.Submit(ctx, third)
			So(result.From(err).Code, ShouldEqual, result.ChangeFromTakenOut)

			Convey("but changes and returns other things", func() {
				_, err := s.Submit(ctx, change("third", 2, dataCentres("s", false, false)))
				So(err, ShouldBeNil)
			})
		})

		Convey("an invalid file is refused and nothing changes", func() {
			_, err := s.Submit(ctx, change("second", 1, []byte(`{"data_centres": [{"name": "dc-1"}`)))
			So(err, ShouldHaveSameTypeAs, jsonfile.Problems{})
			head, _, _ := s.Head(ctx)
			So(head.Revision, ShouldEqual, 1)
		})

		Convey("text that is in force already makes no revision", func() {
			accepted, err := s.Submit(ctx, change("second", 1, dataCentres("r", false, false)))
			So(err, ShouldBeNil)
			So(accepted.Unchanged, ShouldBeTrue)
			So(accepted.Revision, ShouldEqual, 1)
		})
	})
}

func TestAuditChain(t *testing.T) {
	Convey("Given a chain of three records", t, func() {
		s, _ := newFaulty()
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
		broken := func() {
			_, err := s.VerifyAudit(ctx)
			So(result.From(err).Code, ShouldEqual, result.AuditBroken)
		}
		Convey("an altered record is found", func() {
			records[1].Operator = "nobody"
			rewrite(records[1])
			broken()
		})
		Convey("an altered record with a fitting hash is found", func() {
			records[1].Operator = "nobody"
			records[1].Hash = records[1].hash()
			rewrite(records[1])
			broken()
		})
		Convey("an altered last record with a fitting hash is found", func() {
			records[2].Operator = "nobody"
			records[2].Hash = records[2].hash()
			rewrite(records[2])
			broken()
		})
		Convey("a removed record is found", func() {
			So(s.Table.Commit(ctx, ports.Tx{Writes: []ports.Write{{Key: recordKey(2), Delete: true}}}), ShouldBeNil)
			broken()
		})
	})
}

// TestSubmitMachine drives racing operators against a store that loses and
// delays answers. The oracle: every change known as accepted stays accepted at
// its one revision, a change known as refused is never accepted, and the
// chain is whole.
func TestSubmitMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, table := newFaulty()
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
			table.fates = rapid.SliceOfN(rapid.SampledFrom([]fate{served, refused, answerLost, neverSeen, delayed}), 0, 3).Draw(t, "fates")
			if rapid.Bool().Draw(t, "rival") {
				table.after = func() {
					table.after = nil
					rival, _, _ := s.Head(ctx)
					_, _ = s.Submit(shortly(t, time.Millisecond), change(id+"-rival", rival.Revision, dataCentres(id+"-rival", false)))
				}
			}
			delete(refusedIDs, id)
			outcome, err := s.Submit(shortly(t, 2*time.Millisecond), change(id, base, dataCentres(id, false)))
			table.after = nil
			switch {
			case err == nil:
				if known, ok := accepted[id]; ok && known != outcome.Revision {
					t.Fatalf("%s accepted as %d and as %d", id, known, outcome.Revision)
				}
				accepted[id] = outcome.Revision
			case result.From(err).Code != result.ApplyUnknown:
				if _, ok := accepted[id]; ok && result.From(err).Code == result.RevisionConflict {
					t.Fatalf("%s was accepted and is a conflict now", id)
				}
				refusedIDs[id] = result.From(err).Code == result.RevisionConflict && !refusedByOpen(table)
			}
			if rapid.Bool().Draw(t, "land") {
				table.land()
			}
		}
		table.fates = nil
		table.land()
		for id, revision := range accepted {
			record, err := s.Record(ctx, revision)
			if err != nil || record.ApplyID != id {
				t.Fatalf("revision %d belongs to %q, not to %q: %v", revision, record.ApplyID, id, err)
			}
			delete(refusedIDs, id)
		}
		for id, sure := range refusedIDs {
			if _, found, _ := s.Outcome(ctx, id); sure && found {
				t.Fatalf("%s was refused and is accepted", id)
			}
		}
		if _, err := s.VerifyAudit(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// refusedByOpen reports whether an earlier copy of some change may land yet.
func refusedByOpen(table *faultyTable) bool { return len(table.late) > 0 }
