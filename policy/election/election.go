// Package election decides which agent of a group becomes the provisional coordinator of
// its expert map while the table of leases cannot be read.
//
// Each agent is a voter. A candidate asks the agents of all ranks to vote for it under a
// number and is elected if a majority of the epoch's ranks does. The number is the
// candidate's fencing number in that epoch.
//
// Invariant: no number is won twice in an epoch. Any two majorities of the ranks share a
// rank, and a rank votes at most once for a number: a voter only accepts numbers above
// all that it has voted for, and a process that has started during an epoch, whose
// memory of votes may be incomplete, does not vote in it.
package election

import (
	"maps"
	"time"
)

// MaxNumber is the highest number that a voter accepts. A map version is the number times
// 2^20 in 63 bits; the limit leaves room for the numbers of later leases.
const MaxNumber = 1<<42 - 1

// IsProvisional reports whether the fencing number belongs to a provisional coordinator.
// Numbers of leases are even, so that the two kinds never coincide.
func IsProvisional(number uint64) bool { return number%2 == 1 }

// NextNumber returns the lowest provisional number above the highest one seen.
func NextNumber(highest uint64) uint64 { return highest + 1 + highest%2 }

// Report is the part of the report of a voter's engine that elections use.
type Report struct {
	Epoch int64
	Size  int  // Number of ranks in the group.
	Open  bool // The group accepts work; false while it forms.
}

// Reason tells why a voter refuses its vote; Granted means that it does not.
type Reason int

// The outcomes of a vote.
const (
	Granted       Reason = iota
	InvalidNumber        // The number is that of a lease, or too high.
	OtherEpoch           // The voter's engine is not in the epoch, or its group is closed.
	EpochNotSeen         // The voter has not seen the epoch begin.
	NumberTooLow         // The voter has voted for this number or a higher one, or such a coordinator has called it.
	Coordinated          // A coordinator has called recently.
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	names := [...]string{"granted", "invalid_number", "other_epoch", "epoch_not_seen", "number_too_low", "coordinated"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Voter is the state of one agent as a voter of its engine's group. The zero Voter is
// that of a process that has just started.
type Voter struct {
	observed  bool // The engine has reported at least once.
	epoch     int64
	size      int  // Number of ranks in epoch; 0 until the epoch was observed open.
	sawBegin  bool // The process has observed the group closed or in an earlier epoch before it observed epoch open.
	highest   uint64
	calledAt  time.Time // When a coordinator last called; zero if none has.
	grantedAt time.Time // When the last vote was granted; zero if none was.
}

// Observe records a report of the voter's engine. Reports of one engine may be observed
// in another order than they were made.
func (v Voter) Observe(report Report) Voter {
	switch {
	case v.observed && report.Epoch < v.epoch:
		return v
	case !v.observed || report.Epoch > v.epoch:
		v.sawBegin = v.observed || !report.Open
		v.observed, v.epoch, v.size = true, report.Epoch, 0
	case !report.Open && v.size == 0:
		v.sawBegin = true
	}
	if !report.Open {
		return v
	}
	if v.size != 0 && v.size != report.Size {
		// Majorities of different sizes need not share a rank.
		v.sawBegin = false
	}
	v.size = report.Size
	return v
}

// ObserveCall records a call of a coordinator with the fencing number.
func (v Voter) ObserveCall(number uint64, now time.Time) Voter {
	v.highest, v.calledAt = max(v.highest, number), now
	return v
}

// ObserveNumber records a fencing number that the agent has seen.
func (v Voter) ObserveNumber(number uint64) Voter {
	v.highest = max(v.highest, number)
	return v
}

// Highest returns the highest number that the voter has voted for or been called with.
func (v Voter) Highest() uint64 { return v.highest }

// GrantedAt returns when the voter last granted a vote; zero if it has not.
func (v Voter) GrantedAt() time.Time { return v.grantedAt }

// HasObserved reports whether the voter has observed a report of its engine.
func (v Voter) HasObserved() bool { return v.observed }

// Vote decides on a request for the vote of the voter's rank. report was requested from
// the engine after the request had arrived. silenceLimit is how long no coordinator must
// have called.
func (v Voter) Vote(epoch int64, number uint64, report Report, silenceLimit time.Duration, now time.Time) (Voter, Reason) {
	v = v.Observe(report)
	switch {
	case !IsProvisional(number) || number > MaxNumber:
		return v, InvalidNumber
	case !report.Open || report.Epoch != epoch || v.epoch != epoch:
		return v, OtherEpoch
	case !v.sawBegin:
		return v, EpochNotSeen
	case number <= v.highest:
		return v, NumberTooLow
	case !v.calledAt.IsZero() && now.Sub(v.calledAt) < silenceLimit:
		return v, Coordinated
	}
	v.highest, v.grantedAt = number, now
	return v, Granted
}

// Phase is the state of a candidacy.
type Phase int

// The phases of a candidacy.
const (
	Asking   Phase = iota // Votes are being collected for the candidate's number.
	Elected               // A majority of the epoch's ranks has voted for the number.
	Defeated              // No majority has voted for any of the candidate's numbers.
)

// Candidate is the state of one agent's candidacy in an epoch of its group. It asks for
// votes under one number at a time.
type Candidate struct {
	Epoch  int64
	Size   int // Number of ranks in the epoch.
	Number uint64
	Phase  Phase

	Deadline time.Time // When votes for Number are no longer awaited.

	highest     uint64       // Highest number that the candidate has seen.
	votes       map[int]bool // Ranks that have voted for Number.
	worthRetry  bool         // A rank has voted for another candidate under Number, or a reply was lost.
	timeLimit   time.Duration
	numbersLeft int // How many more numbers may be tried.
}

// NewCandidate returns a candidacy under the lowest number above the highest one seen.
// Votes for a number are awaited for timeLimit, and up to maxNumbers numbers are tried.
func NewCandidate(epoch int64, size int, highest uint64, timeLimit time.Duration, maxNumbers int, now time.Time) Candidate {
	c := Candidate{Epoch: epoch, Size: size, highest: highest, timeLimit: timeLimit, numbersLeft: maxNumbers}
	return c.tryNextNumber(now)
}

// Reply is a voter's reply to a request for its vote.
type Reply struct {
	Number  uint64 // The number of the request.
	Rank    int    // The voter's rank.
	Size    int    // Number of ranks in the epoch, as the voter's engine reports.
	Granted bool
	Highest uint64 // The highest number that the voter has seen, including that of the request if it granted its vote.
}

// ObserveReply counts a vote. The reply must be to a request of this candidacy, not of an
// earlier one of the same agent, which may have had the same number. A higher number in the reply ends the attempt with the
// current number. Replies to requests with earlier numbers count for nothing.
func (c Candidate) ObserveReply(reply Reply, now time.Time) Candidate {
	c.highest = max(c.highest, reply.Highest)
	if c.Phase != Asking {
		return c
	}
	if c.highest > c.Number {
		return c.tryNextNumber(now)
	}
	if reply.Granted && reply.Number == c.Number && reply.Size == c.Size && reply.Rank >= 0 && reply.Rank < c.Size {
		c.votes = maps.Clone(c.votes)
		c.votes[reply.Rank] = true
	}
	if !reply.Granted && reply.Number == c.Number && reply.Highest == c.Number && !c.votes[reply.Rank] {
		c.worthRetry = true
	}
	if len(c.votes) > c.Size/2 {
		c.Phase = Elected
	}
	return c
}

// ObserveLostReply records that a request with the number got no reply. The voter may have
// granted its vote, which it does only once for a number.
func (c Candidate) ObserveLostReply(number uint64) Candidate {
	c.worthRetry = c.worthRetry || c.Phase == Asking && number == c.Number
	return c
}

// Withdraw ends the candidacy.
func (c Candidate) Withdraw() Candidate {
	c.Phase = Defeated
	return c
}

// Tick ends the attempt with the current number if its time limit is over.
func (c Candidate) Tick(now time.Time) Candidate {
	if c.Phase == Asking && !now.Before(c.Deadline) {
		return c.tryNextNumber(now)
	}
	return c
}

// ObserveAllReplies ends the attempt with the number once no reply to its requests is
// outstanding. Another number is tried only if ranks have voted for different candidates
// or replies were lost: the other reasons to refuse a vote hold for any number.
func (c Candidate) ObserveAllReplies(number uint64, now time.Time) Candidate {
	switch {
	case c.Phase != Asking || number != c.Number:
		return c
	case c.worthRetry:
		return c.tryNextNumber(now)
	default:
		return c.Withdraw()
	}
}

// Votes returns the number of ranks that have voted for the current number.
func (c Candidate) Votes() int { return len(c.votes) }

func (c Candidate) tryNextNumber(now time.Time) Candidate {
	highest := max(c.highest, c.Number)
	if c.numbersLeft == 0 || highest >= MaxNumber || c.Size <= 0 {
		return c.Withdraw()
	}
	c.numbersLeft--
	c.Number, c.Deadline = NextNumber(highest), now.Add(c.timeLimit)
	c.votes, c.worthRetry = map[int]bool{}, false
	return c
}
