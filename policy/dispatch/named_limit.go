package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitWindow is the time over which the requests to a server that has named a limit
	// are kept below it. Servers bear a burst of a few requests beyond.
	limitWindow = 4 * time.Second
	// limitBurst is the number of requests beyond a limit that all entries together may
	// send in limitWindow.
	limitBurst = 5
	// minLimit replaces lower limits, in requests per second: only an answer tells that a
	// server no longer names a limit.
	minLimit = 0.1
)

// NamedLimit is how many requests a second a server takes from all entries together.
type NamedLimit struct{ PerSecond float64 }

// limitShare is this entry's share of a limit that a server has named.
type limitShare struct {
	limit   NamedLimit
	entries int // Number of running entries that the share was last computed for.
	bucket  *rate.Limiter
	turn    int64     // Number of the turn in which the entry last sent a request.
	next    time.Time // The entry's next turn if it is ahead; found by nextAt.
}

// newLimitShare returns a share with an empty bucket: the entry has just sent requests to
// the server.
func newLimitShare(now time.Time) *limitShare {
	bucket := rate.NewLimiter(0, 1)
	bucket.AllowN(now, 1)
	return &limitShare{bucket: bucket}
}

// update computes the share of a limit for the number of running entries.
func (s *limitShare) update(limit NamedLimit, entries int, now time.Time) {
	limit.PerSecond = max(minLimit, limit.PerSecond)
	if limit == s.limit && entries == s.entries {
		return
	}
	s.limit, s.entries, s.next = limit, entries, time.Time{}
	s.bucket.SetLimitAt(now, rate.Limit(s.perSecond()))
	s.bucket.SetBurstAt(now, max(1, int(s.perSecond())))
}

// perSecond returns the requests per second that this entry may send.
func (s *limitShare) perSecond() float64 { return s.limit.PerSecond / float64(s.entries) }

// allows reports whether the entry may send a request now. If the entries are so many that
// one request of each would be too many for the server, they take turns, with one request
// in each.
func (s *limitShare) allows(turns turnSeed, server string, now time.Time) bool {
	if !s.takesTurns() {
		return s.bucket.TokensAt(now) >= 1
	}
	return s.turn != turnNumber(now) && turns.has(server, s.turnShare(), now)
}

func (s *limitShare) takesTurns() bool {
	return float64(s.entries) > s.limit.PerSecond*limitWindow.Seconds()/2+limitBurst
}

func (s *limitShare) turnShare() float64 {
	return turnShare(s.limit.PerSecond*limitWindow.Seconds(), limitWindow, s.entries)
}

// requestSent records that this entry sends a request.
func (s *limitShare) requestSent(now time.Time) {
	s.bucket.AllowN(now, 1)
	s.turn = turnNumber(now)
}

// findTurn returns the entry's next turn at the server, or when to look again.
func (s *limitShare) findTurn(turns turnSeed, server string, now time.Time) time.Time {
	for ahead := range maxTurnsAhead {
		at := now.Add(time.Duration(ahead) * turnLength)
		if turnNumber(at) != s.turn && turns.has(server, s.turnShare(), at) {
			return at
		}
	}
	return now.Add(maxTurnsAhead * turnLength)
}

// maxTurnsAhead bounds the turns among which the entry's next one is looked for.
const maxTurnsAhead = 100

// nextAt returns the earliest time at which the entry may send a request to the server.
func (s *limitShare) nextAt(turns turnSeed, server string, now time.Time) time.Time {
	if s.takesTurns() {
		if !s.next.After(now) {
			s.next = s.findTurn(turns, server, now)
		}
		return s.next
	}
	missing := 1 - s.bucket.TokensAt(now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing / s.perSecond() * float64(time.Second)))
}
