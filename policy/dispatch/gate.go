package dispatch

import "time"

const (
	// closedProbeInterval is the time between two probes of a group that takes no
	// work. A group forms within some hundred milliseconds.
	closedProbeInterval = 100 * time.Millisecond
	// closedRetryAfter is the Retry-After for callers refused because the group is
	// closed. A rank that was cut off is back after some seconds, and callers
	// retry only once.
	closedRetryAfter = 2 * time.Second
)

// reportedState is the state of a group according to its servers' reports.
type reportedState int

const (
	unreported reportedState = iota
	reportsOpen
	reportsClosed
)

// gate holds requests back from a group that refuses all of them, like a circuit
// breaker. While a rank is missing or the group forms, every rank refuses, and
// each refusal costs the caller one of its attempts. One request at a time probes
// whether the group takes work again.
type gate struct {
	closed    bool
	nextProbe time.Time
	probing   bool // A probe request is in flight.
}

// refused records that a server with room has refused a request.
func (g *gate) refused(now time.Time) {
	g.closed, g.probing = true, false
	g.nextProbe = now.Add(closedProbeInterval)
}

// allows reports whether a request may be sent. It also updates the gate from
// the reported state.
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

// noteSent records that a request was sent. While the group is closed, that request
// is the probe.
func (g *gate) noteSent() { g.probing = g.closed }

// accepted records that the group takes work.
func (g *gate) accepted() { g.closed, g.probing = false, false }
