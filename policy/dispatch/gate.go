package dispatch

import "time"

const (
	// closedProbeInterval is the time between two probe requests to a group that
	// takes no work. A group forms, that is, its ranks connect with each other and
	// the group opens, within some hundred milliseconds.
	closedProbeInterval = 100 * time.Millisecond
	// closedRetryAfter is the Retry-After for callers refused because the group is
	// closed. A rank that was cut off from the network is back after some seconds,
	// and callers retry only once.
	closedRetryAfter = 2 * time.Second
)

// reportedState is the state of a group according to its servers' reports.
type reportedState int

const (
	unreported reportedState = iota
	reportsOpen
	reportsClosed
)

// gate is a circuit breaker for a group that refuses all requests. While a rank is
// missing or the group forms, every rank refuses, and each refusal costs the caller
// one of its attempts. One request at a time probes whether the group takes work
// again.
type gate struct {
	closed    bool
	nextProbe time.Time
	probing   bool // A probe request is in flight.
	opened    bool // The gate has opened since group.trackOpening looked.
}

// refused closes the gate: a server with room has refused a request, so its group
// takes no work.
func (g *gate) refused(now time.Time) {
	g.closed, g.probing = true, false
	g.nextProbe = now.Add(closedProbeInterval)
}

// allows reports whether a request may be sent to the group now. It also opens or
// closes the gate according to the reported state.
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

// recordSent records that a request was sent to the group. While the gate is closed,
// that request is the probe.
func (g *gate) recordSent() { g.probing = g.closed }

// accepted opens the gate: the group takes work.
func (g *gate) accepted() {
	g.opened = g.opened || g.closed
	g.closed, g.probing = false, false
}
