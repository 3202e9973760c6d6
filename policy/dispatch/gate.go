package dispatch

import "time"

const (
	// closedProbeInterval is the time between two tries at a group that takes no work: a
	// group forms within some hundred ms.
	closedProbeInterval = 100 * time.Millisecond
	// closedRetryAfter is told to callers who have waited for a closed group in
	// vain. A rank that was cut off is back after some seconds, and callers come
	// back once.
	closedRetryAfter = 2 * time.Second
)

// reportedState is what the reports say of a group.
type reportedState int

const (
	unreported reportedState = iota
	reportsOpen
	reportsClosed
)

// gate keeps requests from a group that refuses all of them: while a rank is
// away or the group forms, every rank refuses, and a refusal costs the caller a
// try. One request at a time finds out whether the group takes work again.
type gate struct {
	closed    bool
	nextProbe time.Time // Of the next try.
	probing   bool      // A request that may find the group open is under way.
}

// refused notes that a server with room has refused a request.
func (g *gate) refused(now time.Time) {
	g.closed, g.probing = true, false
	g.nextProbe = now.Add(closedProbeInterval)
}

// allows reports whether a request may be sent. It takes reports in.
func (g *gate) allows(reported reportedState, now time.Time) bool {
	switch {
	case reported == reportsClosed:
		g.closed = true
		g.nextProbe = now
		return false
	case !g.closed:
		return true
	case now.Before(g.nextProbe):
		return false
	case reported == reportsOpen:
		g.accepted()
		return true
	default:
		return !g.probing
	}
}

// requestSent notes that a request was sent.
func (g *gate) requestSent() { g.probing = g.closed }

// accepted notes that the group takes work.
func (g *gate) accepted() { g.closed, g.probing = false, false }
