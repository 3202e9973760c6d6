package mapcontrol

import (
	"sync"
	"time"
)

const (
	// settledTime is how long no change of the map must have been in progress for the
	// next one to be preceded by a recount.
	settledTime = 500 * time.Millisecond
	// recountTimeout is how long a plan waits for a recount.
	recountTimeout = 350 * time.Millisecond
	// recountMaxAge is how long a forecast that was made from a recount needs no other
	// one.
	recountMaxAge = time.Second
)

// recount coordinates a fresh count of all ranks of a group that is read in batches.
// The batches are counted in turn, so after a jump of demand most counts are from before
// it for half a second. A recount reads the counts of all batches in two consecutive
// rounds: the first sets the beginning of the period that the second one counts.
type recount struct {
	mu        sync.Mutex
	number    int       // Number of the latest recount.
	rounds    int       // Rounds of the latest recount that are still to be read.
	startedAt time.Time // When the latest recount was requested.
	missing   int       // Batches whose counts have not arrived; valid when rounds is 0.
	applied   int       // Number of the latest recount from which the forecast was made.
}

// start requests a recount.
func (r *recount) start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number, r.rounds, r.startedAt = r.number+1, 2, now
}

// isRunning reports whether a plan has to wait for a recount.
func (r *recount) isRunning(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.startedAt) < recountTimeout && (r.rounds > 0 || r.missing > 0)
}

// nextRound reports whether the next round of reads, in which the given number of
// batches is read, is part of a recount. number is that of the recount if the round's
// increases are its result, otherwise 0.
func (r *recount) nextRound(batches int) (all bool, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rounds == 0 {
		return false, 0
	}
	r.rounds--
	if r.rounds > 0 {
		return true, 0
	}
	r.missing = batches
	return true, r.number
}

// arrived records the increases of one batch. It reports whether they are the first ones
// of the latest recount, from which the forecast is made anew.
func (r *recount) arrived(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number != r.number {
		return false
	}
	r.missing--
	if number == r.applied {
		return false
	}
	r.applied = number
	return true
}
