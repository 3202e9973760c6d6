package poison

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/reduce"
)

var start = time.UnixMilli(1_800_000_000_000)

// fleet is several entries whose records reach each other at once, unless an entry is cut
// off.
type fleet struct {
	states  map[string]State
	cutOff  map[string]bool
	rows    map[string]Row
	version uint64
	now     time.Time
}

func newFleet(entries ...string) *fleet {
	f := &fleet{states: map[string]State{}, cutOff: map[string]bool{}, rows: map[string]Row{}, now: start}
	for _, entry := range entries {
		f.join(entry)
	}
	return f
}

// join starts an entry, which reads all records.
func (f *fleet) join(entry string) {
	f.states[entry] = New(entry)
	f.list(entry)
}

// list makes an entry read all records.
func (f *fleet) list(entry string) {
	var rows []Row
	for _, row := range f.rows {
		rows = append(rows, row)
	}
	f.step(entry, RowsListed{Rows: rows})
}

// step applies an event to one entry, and carries out its writes.
func (f *fleet) step(entry string, event reduce.Event) {
	state, effects := Step(f.states[entry], reduce.Input{Now: f.now, Event: event, Random: math.MaxUint64 / 2})
	f.states[entry] = state
	for _, effect := range effects {
		if write, ok := effect.(WriteRecord); ok {
			f.write(entry, write)
		}
	}
}

func (f *fleet) write(entry string, write WriteRecord) {
	if f.cutOff[entry] || f.rows[entry].Version != write.Version {
		f.step(entry, RecordWritten{Err: errors.New("not written")})
		return
	}
	f.version++
	row := Row{Entry: entry, Version: f.version, Record: write.Record}
	f.rows[entry] = row
	f.step(entry, RecordWritten{})
	for other := range f.states {
		if !f.cutOff[other] {
			f.step(other, RowRead{Row: row})
		}
	}
}

// pass lets time pass at all entries.
func (f *fleet) pass(period time.Duration) {
	f.now = f.now.Add(period)
	for entry := range f.states {
		f.step(entry, reduce.Tick{})
	}
}

func (f *fleet) crash(entry, server string, suspects ...Suspect) {
	f.step(entry, CrashObserved{Crash: Crash{Service: "s", Server: server, At: f.now, Suspects: suspects}})
}

func (f *fleet) answered(entry, organisation string, parts ...string) {
	f.step(entry, Answered{Service: "s", Request: suspect(organisation, parts...)})
}

func (f *fleet) refuses(entry, organisation string, parts ...string) bool {
	_, _, found := f.states[entry].Verdicts.Find("s", suspect(organisation, parts...), f.now)
	return found
}

func suspect(organisation string, parts ...string) Suspect {
	return Suspect{Organisation: organisation, Parts: parts}
}

func partKey(part string) traitKey { return traitKey{"s", Trait{PromptPart, part}} }

const betweenCrashes = 4 * time.Second // A group takes that long to form again.

func TestAccusation(t *testing.T) {
	Convey("Given two entries that have seen sound prompts answered", t, func() {
		f := newFleet("e1", "e2")
		for _, entry := range []string{"e1", "e2"} {
			f.answered(entry, "o", "common", "subject")
		}
		f.pass(time.Second)

		Convey("two crashes, one seen by each entry, accuse the part that both had in common", func() {
			f.crash("e1", "i-1", suspect("o", "common", "bad"), suspect("o", "common", "subject"))
			So(f.refuses("e1", "o", "bad"), ShouldBeFalse)
			f.pass(betweenCrashes)
			f.crash("e2", "i-2", suspect("o", "common", "bad"))
			for _, entry := range []string{"e1", "e2"} {
				So(f.refuses(entry, "o", "common", "bad"), ShouldBeTrue)
				So(f.refuses(entry, "o", "common", "subject"), ShouldBeFalse)
			}
		})
		Convey("servers that end together count as one crash, as they may have been lost together", func() {
			f.crash("e1", "i-1", suspect("o", "new"))
			f.crash("e2", "i-2", suspect("o", "new"))
			So(f.refuses("e1", "o", "new"), ShouldBeFalse)
		})
		Convey("three servers that end together accuse a part that was never answered, and no other", func() {
			for i := range 3 {
				f.crash("e1", fmt.Sprint("i-", i), suspect("o", "common", "bad"))
			}
			So(f.refuses("e2", "o", "common", "bad"), ShouldBeTrue)
			So(f.refuses("e2", "o", "common"), ShouldBeFalse)
		})
		Convey("a part that was answered between crashes is not accused", func() {
			for i := range 6 {
				f.crash("e1", fmt.Sprint("i-", i), suspect("o", "common"))
				f.pass(betweenCrashes)
				f.answered("e1", "o", "common")
			}
			So(f.refuses("e1", "o", "common"), ShouldBeFalse)
		})
		Convey("a part that was answered before, but never since, is accused after a third crash", func() {
			for i := range 3 {
				So(f.refuses("e1", "o", "common"), ShouldBeFalse)
				f.crash("e1", fmt.Sprint("i-", i), suspect("o", "common"))
				f.pass(betweenCrashes)
			}
			So(f.refuses("e1", "o", "common"), ShouldBeTrue)
		})
		Convey("an entry that does not know a sound part learns from one that does", func() {
			f.join("e3")
			for i := range 2 {
				f.crash("e3", fmt.Sprint("i-", i), suspect("o", "subject"))
				f.pass(betweenCrashes)
			}
			So(f.refuses("e3", "o", "subject"), ShouldBeTrue)
			So(f.refuses("e1", "o", "subject"), ShouldBeFalse)
			f.answered("e1", "o", "subject")
			f.pass(clearanceSpread)
			So(f.refuses("e3", "o", "subject"), ShouldBeFalse)
		})
		Convey("a sound part that came with a bad one is let go once the bad one has crashed one server more", func() {
			for i := range 2 {
				f.crash("e1", fmt.Sprint("i-", i), suspect("o", "rare", "bad"))
				f.pass(betweenCrashes)
			}
			So(f.refuses("e1", "o", "rare"), ShouldBeTrue)
			f.crash("e2", "i-2", suspect("o", "other", "bad"))
			So(f.refuses("e1", "o", "rare"), ShouldBeFalse)
			So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
		})
		Convey("two bad parts at once are both found", func() {
			for i := range 4 {
				f.crash("e1", fmt.Sprint("i-", i), suspect("o", "common", fmt.Sprint("bad", i%2)))
				f.pass(betweenCrashes)
				f.answered("e1", "o", "common")
			}
			So(f.refuses("e2", "o", "bad0"), ShouldBeTrue)
			So(f.refuses("e2", "o", "bad1"), ShouldBeTrue)
			So(f.refuses("e2", "o", "common"), ShouldBeFalse)
		})
	})
}

func TestOrganisations(t *testing.T) {
	Convey("One organisation's crashes refuse nothing of another's", t, func() {
		f := newFleet("e1")
		for i := range 8 {
			f.crash("e1", fmt.Sprint("i-", i), suspect("attacker", "victim's part"))
			f.pass(betweenCrashes)
		}
		So(f.refuses("e1", "attacker", "victim's part"), ShouldBeTrue)
		So(f.refuses("e1", "victim", "victim's part"), ShouldBeFalse)
	})
	Convey("A part that crashed servers in the prompts of two organisations is refused to all", t, func() {
		f := newFleet("e1", "e2")
		f.crash("e1", "i-1", suspect("o1", "bad"))
		f.pass(betweenCrashes)
		f.crash("e2", "i-2", suspect("o2", "bad"))
		So(f.refuses("e1", "o3", "bad"), ShouldBeTrue)
	})
	Convey("Answers to one organisation clear nothing for another", t, func() {
		f := newFleet("e1")
		for i := range 2 {
			f.crash("e1", fmt.Sprint("i-", i), suspect("o", "bad"))
			f.pass(betweenCrashes)
		}
		f.answered("e1", "attacker", "bad")
		So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
	})
	Convey("Answers to two organisations clear a part for all", t, func() {
		f := newFleet("e1", "e2")
		for i, organisation := range []string{"o1", "o2"} {
			f.crash("e1", fmt.Sprint("i-", i), suspect(organisation, "common"))
			f.pass(betweenCrashes)
		}
		So(f.refuses("e2", "o3", "common"), ShouldBeTrue)
		f.answered("e2", "o3", "common")
		f.pass(clearanceSpread)
		So(f.refuses("e1", "o1", "common"), ShouldBeTrue)
		f.answered("e2", "o4", "common")
		f.pass(clearanceSpread)
		So(f.refuses("e1", "o1", "common"), ShouldBeFalse)
	})
	Convey("Invented parts don't displace what is known of another organisation's", t, func() {
		f := newFleet("e1")
		f.answered("e1", "o", "common")
		for i := range 10 * soundTraitsEach {
			f.answered("e1", "attacker", fmt.Sprint("invented", i))
		}
		f.crash("e1", "i-1", suspect("o", "common"))
		f.pass(betweenCrashes)
		f.crash("e1", "i-2", suspect("o", "common"))
		So(f.refuses("e1", "o", "common"), ShouldBeFalse)
		for i := range 10 * soundShares {
			f.answered("e1", fmt.Sprint("o", i), "common", "other")
		}
		So(len(f.states["e1"].sound.byTrait), ShouldBeLessThanOrEqualTo, soundShares*soundTraitsEach)
		So(f.states["e1"].sound.byTrait[partKey("common")], ShouldHaveLength, soundShares)
	})
	Convey("The end of many servers at once displaces no evidence that counts", t, func() {
		f := newFleet("e1", "e2")
		for i := range 3 {
			f.crash("e1", fmt.Sprint("i-", i), suspect("o", "bad"))
			f.pass(betweenCrashes)
		}
		for i := range 40 {
			f.crash("e1", fmt.Sprint("lost-", i), suspect("o", fmt.Sprint("subject", i)))
		}
		f.pass(time.Second)
		f.join("e3")
		for _, entry := range []string{"e1", "e2", "e3"} {
			So(f.refuses(entry, "o", "bad"), ShouldBeTrue)
		}
		So(len(f.rows["e1"].Record.Crashes), ShouldBeLessThanOrEqualTo, maxCrashes)
	})
	Convey("Another service's servers say nothing of a part", t, func() {
		f := newFleet("e1")
		for i := range 2 {
			f.crash("e1", fmt.Sprint("i-", i), suspect("o", "bad"))
			f.pass(betweenCrashes)
		}
		_, _, found := f.states["e1"].Verdicts.Find("other", suspect("o", "bad"), f.now)
		So(found, ShouldBeFalse)
	})
}

func TestTravel(t *testing.T) {
	accuse := func(f *fleet, count int) {
		for i := range count {
			f.crash("e1", fmt.Sprint("i-", i), suspect("o", "bad"))
			f.pass(betweenCrashes)
		}
	}
	Convey("An entry that was cut off refuses after it has read the records again", t, func() {
		f := newFleet("e1", "e2")
		f.cutOff["e2"] = true
		accuse(f, 2)
		So(f.refuses("e2", "o", "bad"), ShouldBeFalse)
		f.cutOff["e2"] = false
		f.list("e2")
		So(f.refuses("e2", "o", "bad"), ShouldBeTrue)
	})
	Convey("An entry that starts, or starts again, refuses once it has read the records", t, func() {
		f := newFleet("e1")
		accuse(f, 2)
		f.join("e2")
		So(f.refuses("e2", "o", "bad"), ShouldBeTrue)
		f.join("e1")
		So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
		f.crash("e1", "i-3", suspect("o", "bad"))
		So(f.rows["e1"].Record.Crashes, ShouldHaveLength, 3)
	})
	Convey("An entry that can't reach the store refuses by what it has seen itself, and writes that later", t, func() {
		f := newFleet("e1", "e2")
		f.cutOff["e1"] = true
		accuse(f, 2)
		So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
		So(f.refuses("e2", "o", "bad"), ShouldBeFalse)
		f.cutOff["e1"] = false
		f.pass(time.Second)
		So(f.refuses("e2", "o", "bad"), ShouldBeTrue)
	})
	Convey("A record that the store has lost is written again", t, func() {
		f := newFleet("e1", "e2")
		accuse(f, 2)
		delete(f.rows, "e1")
		f.list("e1")
		f.list("e2")
		So(f.refuses("e2", "o", "bad"), ShouldBeTrue)
	})
	Convey("Records of a clock that is far ahead count neither for nor against a part", t, func() {
		f := newFleet("e1", "e2")
		accuse(f, 2)
		later := f.now.Add(24 * time.Hour)
		f.step("e2", RowRead{Row: Row{Entry: "e3", Version: 1000, Record: Record{Clearances: []Clearance{{"s", "o", Trait{PromptPart, "bad"}, later}}}}})
		So(f.refuses("e2", "o", "bad"), ShouldBeTrue)
		var crashes []Crash
		for i := range 5 {
			crashes = append(crashes, Crash{Service: "s", Server: fmt.Sprint("x-", i), At: later, Suspects: []Suspect{suspect("o", "sound")}})
		}
		f.step("e2", RowRead{Row: Row{Entry: "e3", Version: 1001, Record: Record{Crashes: crashes}}})
		So(f.refuses("e2", "o", "sound"), ShouldBeFalse)
	})
	Convey("A clock that is ahead keeps no part accused that is answered later", t, func() {
		f := newFleet("e1")
		for i := range 2 {
			f.step("e1", CrashObserved{Crash: Crash{Service: "s", Server: fmt.Sprint("i-", i), At: f.now.Add(3 * time.Second), Suspects: []Suspect{suspect("o", "sound")}}})
			f.pass(betweenCrashes)
		}
		f.answered("e1", "o", "sound")
		So(f.refuses("e1", "o", "sound"), ShouldBeFalse)
	})
}

func TestHold(t *testing.T) {
	Convey("Requests with a part are refused for a while after its latest crash", t, func() {
		f := newFleet("e1")
		crash := func(i int) { f.crash("e1", fmt.Sprint("i-", i), suspect("o", "bad")) }
		crash(0)
		f.pass(betweenCrashes)
		crash(1)
		f.pass(shortHold - time.Second)
		So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
		f.pass(2 * time.Second)
		So(f.refuses("e1", "o", "bad"), ShouldBeFalse)

		Convey("one more crash renews it, from the fifth server on for long", func() {
			for i := 2; i < 5; i++ {
				crash(i)
				So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
				f.pass(betweenCrashes)
			}
			f.pass(longHold - time.Minute)
			So(f.refuses("e1", "o", "bad"), ShouldBeTrue)
		})
		Convey("a part that has become sound is let go by its first answer", func() {
			f.answered("e1", "o", "bad")
			So(f.states["e1"].Verdicts.Len(PromptPart), ShouldEqual, 0)
		})
		Convey("evidence and its row end", func() {
			f.pass(evidenceTTL)
			So(f.states["e1"].Verdicts.Len(PromptPart), ShouldEqual, 0)
			So(f.rows["e1"].Record.empty(), ShouldBeTrue)
			_, effects := Step(f.states["e1"], reduce.Input{Now: f.now, Event: reduce.Tick{}, Random: 0})
			So(effects, ShouldResemble, []reduce.Effect{RemoveRows{Entries: []string{"e1"}}})
		})
	})
}

func TestStateIsBounded(t *testing.T) {
	Convey("Whatever callers send and servers do, the records stay small", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			f := newFleet("e1", "e2")
			part := rapid.StringMatching(`[a-d][0-9]{0,4}`)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
				organisation := rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "organisation")
				parts := rapid.SliceOfN(part, 1, 32).Draw(t, "parts")
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					var suspects []Suspect
					for range rapid.IntRange(1, 12).Draw(t, "suspects") {
						suspects = append(suspects, suspect(organisation, parts...))
					}
					f.crash(entry, rapid.StringMatching(`i-[0-9]{1,2}`).Draw(t, "server"), suspects...)
				case 1:
					f.answered(entry, organisation, parts...)
					for _, part := range parts {
						if f.refuses(entry, organisation, part) && f.states[entry].Verdicts.accused[partKey(part)].LastCrash.Before(f.now) {
							t.Fatalf("%s refuses part %s, which it has just seen answered", entry, part)
						}
					}
				default:
					f.pass(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "ms")) * time.Millisecond)
				}
			}
			for entry, row := range f.rows {
				if len(row.Record.Crashes) > maxCrashes || len(row.Record.Clearances) > maxClearances {
					t.Fatalf("record of %s holds %d crashes and %d clearances", entry, len(row.Record.Crashes), len(row.Record.Clearances))
				}
				for _, crash := range row.Record.Crashes {
					weight := 0
					for _, suspect := range crash.Suspects {
						weight += suspectWeight + len(suspect.Parts)
					}
					if weight > maxSuspectWeight {
						t.Fatalf("suspects of a crash in the record of %s weigh %d", entry, weight)
					}
				}
			}
		})
	})
}
