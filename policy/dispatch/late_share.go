package dispatch

import "time"

const (
	// minLateShare and maxLateShare bound the share of a group's limit that is open to
	// late requests of a service with classes.
	minLateShare = 0.1
	maxLateShare = lateCapacityShare
	// idleLateShare is the share of a group's limit below which its total of requests in
	// flight leaves room for late requests, whatever is expected to arrive. Without it, half of
	// the room of a group that had returned was idle while hundreds of late requests were
	// refused.
	idleLateShare = 0.35
	// usualTimeInFlight is the assumed time in flight of a request while too few have
	// ended: twenty passes of 100 ms.
	usualTimeInFlight = 2 * time.Second
	// minEnded is the number of requests that must have ended within rateWindow for the
	// time in flight to be estimated from them.
	minEnded = 10
)

// recordArrival records that a ticket of a service with classes has arrived.
func (d *Dispatcher) recordArrival(ticket Ticket, now time.Time) {
	d.demand.Observe(d.classes.Level(ticket.Priority), now)
	if d.meetsSLO(ticket, now) {
		d.onTimeArrivals = append(trimTimes(d.onTimeArrivals, now), now)
	}
}

// trimTimes removes the times that are older than rateWindow from the front of a list.
func trimTimes(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) > rateWindow {
		times = times[1:]
	}
	return times
}

// timeInFlight estimates the usual time in flight of a request of this entry by Little's
// law.
func (d *Dispatcher) timeInFlight(now time.Time) time.Duration {
	d.freedAt = trimTimes(d.freedAt, now)
	if len(d.freedAt) < minEnded {
		return usualTimeInFlight
	}
	own := 0
	for _, g := range d.groups {
		if now.Sub(g.opening.openedAt) < rateWindow {
			return usualTimeInFlight
		}
		own += g.ownRequests()
	}
	return time.Duration(float64(own) / float64(len(d.freedAt)) * float64(rateWindow))
}

// lateShare returns the share of the groups' limits that is open to late requests: what
// requests that arrive on time leave if they keep arriving as they did.
func (d *Dispatcher) lateShare(now time.Time) float64 {
	d.onTimeArrivals = trimTimes(d.onTimeArrivals, now)
	limit := 0
	for _, g := range d.groups {
		if !g.gate.closed {
			limit += g.limit()
		}
	}
	perSecond := float64(len(d.onTimeArrivals)) / rateWindow.Seconds()
	needed := perSecond * d.timeInFlight(now).Seconds() * float64(d.runningEntries()) / float64(max(1, limit))
	return min(max(1-needed, minLateShare), maxLateShare)
}

// mayDispatchLate reports whether a late request may be sent to a group with this limit and
// total of requests in flight.
func (d *Dispatcher) mayDispatchLate(g *group, limit, total float64, now time.Time) bool {
	return total < idleLateShare*limit || float64(g.classLoad.late) < max(1, d.lateShare(now)*limit/float64(d.runningEntries()))
}
