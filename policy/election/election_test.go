package election

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	silenceLimit = 700 * time.Millisecond
	timeLimit    = 100 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a restarted agent that votes a second time for a number, and against
// an agent that was up when the epoch began and is denied its vote.
func TestRestartedVoterVotesAgain(t *testing.T) {
	open := func(epoch int64) Report { return Report{Epoch: epoch, Size: 4, Open: true} }
	closed := func(epoch int64) Report { return Report{Epoch: epoch, Size: 4} }
	for name, c := range map[string]struct {
		observed []Report
		want     Reason
	}{
		"starts in the open epoch":                       {nil, EpochNotSeen},
		"has only seen the epoch open":                   {[]Report{open(3)}, EpochNotSeen},
		"saw it closed again, and then open":             {[]Report{open(3), closed(3)}, EpochNotSeen},
		"saw the group form":                             {[]Report{closed(3)}, Granted},
		"saw the group closed after an earlier epoch":    {[]Report{closed(2)}, Granted},
		"saw an earlier epoch":                           {[]Report{open(2)}, Granted},
		"read a late report of an earlier epoch":         {[]Report{open(3), closed(2), open(2)}, EpochNotSeen},
		"saw the number of ranks change within an epoch": {[]Report{closed(3), {Epoch: 3, Size: 5, Open: true}}, EpochNotSeen},
	} {
		Convey("A voter that "+name+" votes accordingly: "+c.want.String(), t, func() {
			var voter Voter
			for _, report := range c.observed {
				voter = voter.Observe(report)
			}
			_, reason := voter.Vote(3, 1, open(3), silenceLimit, start)
			So(reason, ShouldEqual, c.want)
		})
	}
}

func TestVoterAcceptsAnUnfitRequest(t *testing.T) {
	Convey("Given a voter that has seen the epoch begin, been called with 6 and voted for 9", t, func() {
		report := Report{Epoch: 3, Size: 4, Open: true}
		voter := Voter{}.Observe(Report{Epoch: 3}).ObserveCall(6, start)
		now := start.Add(silenceLimit)
		voter, reason := voter.Vote(3, 9, report, silenceLimit, now)
		So(reason, ShouldEqual, Granted)
		for _, c := range []struct {
			epoch  int64
			number uint64
			report Report
			want   Reason
		}{
			{3, 9, report, NumberTooLow}, {3, 7, report, NumberTooLow}, {3, 12, report, InvalidNumber},
			{3, MaxNumber + 2, report, InvalidNumber}, {3, 1<<64 - 1, report, InvalidNumber},
			{2, 11, report, OtherEpoch}, {4, 11, report, OtherEpoch}, {3, 11, Report{Epoch: 3, Size: 4}, OtherEpoch},
			{3, 11, Report{Epoch: 4, Size: 4, Open: true}, OtherEpoch}, {3, 11, report, Granted},
		} {
			_, reason = voter.Vote(c.epoch, c.number, c.report, silenceLimit, now)
			So(reason, ShouldEqual, c.want)
		}
		_, reason = voter.ObserveCall(9, now).Vote(3, 11, report, silenceLimit, now.Add(silenceLimit-1))
		So(reason, ShouldEqual, Coordinated)
	})
}

// Guards against a tally that counts a rank twice, a late reply to an earlier number, or
// a majority of another group size.
func TestCandidateElectedWithoutMajority(t *testing.T) {
	Convey("Given a candidate in an epoch of four ranks that has seen number 6", t, func() {
		c := NewCandidate(3, 4, 6, timeLimit, 2, start)
		So(c.Number, ShouldEqual, 7)
		vote := func(rank, size int, number uint64) Reply {
			return Reply{Number: number, Rank: rank, Size: size, Granted: true, Highest: number}
		}
		for _, reply := range []Reply{vote(0, 4, 7), vote(0, 4, 7), vote(1, 4, 7), vote(2, 5, 7), vote(4, 4, 7), vote(-1, 4, 7), vote(2, 4, 5)} {
			c = c.ObserveReply(reply, start)
		}
		So(c.Phase, ShouldEqual, Asking)
		So(c.Votes(), ShouldEqual, 2)
		Convey("the vote of a third rank elects it", func() {
			So(c.ObserveReply(vote(3, 4, 7), start).Phase, ShouldEqual, Elected)
		})
		Convey("after the time limit it uses the next number, and earlier votes don't count", func() {
			c = c.Tick(start.Add(timeLimit))
			So(c.Number, ShouldEqual, 9)
			So(c.ObserveReply(vote(3, 4, 7), start).Votes(), ShouldEqual, 0)
			So(c.Tick(start.Add(2*timeLimit)).Phase, ShouldEqual, Defeated)
		})
		Convey("once no reply is outstanding it uses the next number if votes were split or lost, and otherwise gives up", func() {
			So(c.ObserveAllReplies(5, start).Number, ShouldEqual, 7)
			So(c.ObserveAllReplies(7, start).Phase, ShouldEqual, Defeated)
			split := c.ObserveReply(Reply{Number: 7, Rank: 3, Size: 4, Highest: 7}, start).ObserveAllReplies(7, start)
			So(split.Number, ShouldEqual, 9)
			So(c.ObserveLostReply(7).ObserveAllReplies(7, start).Number, ShouldEqual, 9)
			So(c.ObserveLostReply(5).ObserveAllReplies(7, start).Phase, ShouldEqual, Defeated)
		})
		Convey("a number too high to go on from ends the candidacy", func() {
			for _, highest := range []uint64{MaxNumber, 1<<64 - 2, 1<<64 - 1} {
				So(c.ObserveReply(Reply{Number: 7, Rank: 3, Size: 4, Highest: highest}, start).Phase, ShouldEqual, Defeated)
			}
		})
		Convey("a higher number ends the attempt", func() {
			c = c.ObserveReply(Reply{Number: 7, Rank: 3, Size: 4, Highest: 12}, start)
			So(c.Number, ShouldEqual, 13)
		})
	})
}

// modelVoter is one agent. Its engine's view of the epoch may lag behind the group.
type modelVoter struct {
	voter       Voter
	view        Report
	missedBegin int64 // Epoch that was open at this rank when the process started; 0 for none.
}

// request is one message to a voter, and its reply once the voter has answered. A reply
// reaches only the candidacy that made the request, as a reply to a call does; a process may
// have been a candidate under the same number before.
type request struct {
	candidate, rank int
	candidacy       int
	epoch           int64
	number          uint64
	reply           *Reply
}

// Guards against a number with two winners in an epoch, under several candidates,
// restarts, lost, late and repeated messages, and epochs that change.
func TestTwoWinnersOfOneNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		epoch, now := int64(1), start
		voters := make([]modelVoter, size)
		for i := range voters {
			voters[i].view = Report{Epoch: 1, Size: size}
			voters[i].voter = Voter{}.Observe(voters[i].view)
			voters[i].view.Open = rapid.Bool().Draw(t, "open")
		}
		candidates := make([]Candidate, 3)
		candidacies := make([]int, len(candidates))
		for i := range candidates {
			candidates[i].Phase = Defeated
		}
		winners := map[string]int{} // Number of candidacies by epoch and number.
		var inFlight []request
		candidacy := func(t *rapid.T) int { return rapid.IntRange(0, len(candidates)-1).Draw(t, "candidate") }
		rank := func(t *rapid.T) int { return rapid.IntRange(0, size-1).Draw(t, "rank") }
		update := func(i int, next Candidate) {
			if next.Phase == Elected && candidates[i].Phase != Elected {
				key := fmt.Sprint(next.Epoch, "/", next.Number)
				if winners[key]++; winners[key] > 1 {
					t.Fatalf("number %d of epoch %d has two winners", next.Number, next.Epoch)
				}
			}
			candidates[i] = next
		}
		ask := func(i int) {
			if candidates[i].Phase != Asking {
				return
			}
			for r := range size {
				inFlight = append(inFlight, request{candidate: i, candidacy: candidacies[i], rank: r, epoch: candidates[i].Epoch, number: candidates[i].Number})
			}
		}
		deliver := func(t *rapid.T) {
			if len(inFlight) == 0 {
				return
			}
			k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
			message := inFlight[k]
			if rapid.IntRange(0, 4).Draw(t, "kept") > 0 { // Otherwise it is delivered again later.
				inFlight = append(inFlight[:k], inFlight[k+1:]...)
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				return
			}
			if message.reply != nil && message.candidacy != candidacies[message.candidate] {
				return
			}
			if message.reply != nil {
				next := candidates[message.candidate].ObserveReply(*message.reply, now)
				if next.Phase == Asking && message.reply.Highest > next.Number {
					t.Fatalf("candidate goes on with %d although it has seen %d", next.Number, message.reply.Highest)
				}
				update(message.candidate, next)
				return
			}
			v := &voters[message.rank]
			next, reason := v.voter.Vote(message.epoch, message.number, v.view, silenceLimit, now)
			if reason == Granted && v.missedBegin == message.epoch {
				t.Fatalf("rank %d votes in epoch %d, which was open when its process started", message.rank, message.epoch)
			}
			v.voter = next
			message.reply = &Reply{Number: message.number, Rank: message.rank, Size: size, Granted: reason == Granted, Highest: next.Highest()}
			inFlight = append(inFlight, message)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 30, 800}).Draw(t, "ms")) * time.Millisecond)
			},
			"stand": func(t *rapid.T) {
				i, self := candidacy(t), rank(t)
				highest := rapid.SampledFrom([]uint64{0, voters[self].voter.Highest()}).Draw(t, "highest")
				candidacies[i]++
				update(i, NewCandidate(voters[self].view.Epoch, size, highest, timeLimit, 3, now))
				ask(i)
			},
			"ask": func(t *rapid.T) {
				ask(candidacy(t))
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "messages") {
					deliver(t)
				}
			},
			"tick": func(t *rapid.T) { i := candidacy(t); update(i, candidates[i].Tick(now)) },
			"call": func(t *rapid.T) {
				v := &voters[rank(t)]
				v.voter = v.voter.ObserveCall(v.voter.Highest()+uint64(rapid.IntRange(0, 2).Draw(t, "above")), now)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "restarts") > 0 {
					return
				}
				v := &voters[rank(t)]
				v.voter, v.missedBegin = Voter{}, 0
				if v.view.Open {
					v.missedBegin = v.view.Epoch
				}
			},
			"form": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "forms") == 0 {
					epoch++
				}
			},
			"view": func(t *rapid.T) {
				// A closed group shows the epoch that ended or the one that forms.
				v := &voters[rank(t)]
				switch {
				case v.view.Epoch < epoch && v.view.Open:
					v.view.Open = false
				case v.view.Epoch < epoch:
					v.view = Report{Epoch: epoch, Size: size, Open: rapid.Bool().Draw(t, "open")}
				default:
					v.view.Open = true
				}
				if rapid.Bool().Draw(t, "observed") {
					v.voter = v.voter.Observe(v.view)
				}
			},
		})
	})
}
