package dispatch

import "time"

const (
	// missingAfter is how long a server may send no report before its group lacks it;
	// reports arrive about every 100 ms.
	missingAfter = time.Second
	// missingShare is the share of a closed group's servers above which missing ones keep
	// it from opening. Fewer may have lost reports only.
	missingShare = 0.05
	// formingTime is how long a group takes to open after its last rank is back.
	formingTime = 600 * time.Millisecond
	// minLackingRetryAfter and maxLackingRetryAfter bound Retry-After while a group lacks
	// ranks. Callers with a deadline of 8 s honour at most 2.67 s.
	minLackingRetryAfter = 1500 * time.Millisecond
	maxLackingRetryAfter = 2600 * time.Millisecond
	// retrySpread is the interval, relative to the predicted time, over which Retry-After
	// is spread for other reasons; it is at least minRetrySpread.
	retrySpread    = 0.5
	minRetrySpread = 300 * time.Millisecond

	reasonLacksRanks = "lacks_ranks" // The group can't open before ranks are back.
)

// lacksRanks reports whether no group of the service can open soon, as all are closed and
// have servers that do not report.
func (d *Dispatcher) lacksRanks(now time.Time) bool {
	if !d.classes.Enabled() || len(d.servers) == 0 {
		return false
	}
	for _, g := range d.groups {
		if len(g.servers) == 0 {
			continue
		}
		if !g.gate.closed {
			return false
		}
		missing := 0
		for _, server := range g.servers {
			if now.Sub(latest(server.reportAt, server.configuredAt)) > missingAfter {
				missing++
			}
		}
		if float64(missing) <= missingShare*float64(len(g.servers)) {
			return false
		}
	}
	return true
}

// isHopeless reports whether a queued ticket's caller will have left before the service can
// take work again.
func (d *Dispatcher) isHopeless(ticket Ticket, now time.Time) bool {
	return d.lacksRanks(now) && ticket.Deadline.Sub(now) <= formingTime
}

// completeRefusal records what kept tickets in the queue in a refusal at a service with
// classes, and spreads its Retry-After by a random number in [0, 1). The interval after the
// predicted time is divided among the levels, so that urgent callers return first.
func (d *Dispatcher) completeRefusal(decision *Decision, random float64) {
	if decision.Verdict != Refuse || !d.classes.Enabled() {
		return
	}
	decision.BlockedBy = d.waitReason()
	from := decision.RetryAfter
	spread := max(minRetrySpread, time.Duration(retrySpread*float64(from)))
	if from < maxLackingRetryAfter {
		spread = min(spread, max(minRetrySpread, maxLackingRetryAfter-from))
	}
	if decision.Reason == reasonLacksRanks {
		from, spread = minLackingRetryAfter, maxLackingRetryAfter-minLackingRetryAfter
	}
	position := (float64(decision.Level) + random) / float64(d.classes.Levels())
	decision.RetryAfter = from + time.Duration(position*float64(spread))
}
