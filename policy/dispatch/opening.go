package dispatch

import (
	"math"
	"time"
)

const (
	// initialMapSkew is the expert load skew assumed for a service with classes until
	// passes were observed after the opening of a group: with the initial expert map,
	// the busiest of 63 ranks has 3.4 times the mean load.
	initialMapSkew = 3.2
	// reportLag is the age up to which changes of other entries' requests are unknown:
	// load reports arrive about every 100 ms, and are up to a pass old by then.
	reportLag = 150 * time.Millisecond
	// ownSampleInterval is the interval at which an entry's requests in flight at a group
	// are recorded.
	ownSampleInterval = 10 * time.Millisecond
	// lagRoomShare is the share of a group's room that all entries together may fill
	// within reportLag. It leaves time for reading: prompts of requests that are sent
	// together are read in the same passes and prolong them.
	lagRoomShare = 0.35
	// pressedShare is the share of a group's limit from which its total of requests in flight
	// leaves little room.
	pressedShare = 0.6
)

// opening tracks when a group has opened, and how much work this entry has added to it
// lately.
type opening struct {
	openedAt time.Time
	samples  []ownSample // Of the last reportLag, and the last one before.
}

// ownSample is the number of this entry's requests in flight at a group at a time.
type ownSample struct {
	at  time.Time
	own int
}

// trackOpening discards what is known of the passes of a group that has just opened, as it
// has a new expert map and no requests. A group whose streams go on has not been closed:
// one of its servers refused a request.
func (g *group) trackOpening(now time.Time) {
	opened := g.gate.opened || g.opening.openedAt.IsZero()
	g.gate.opened = false
	if !opened || g.gate.closed {
		return
	}
	if g.opening.openedAt.IsZero() || !g.activeWithin(groupActiveWindow, now) {
		g.opening.openedAt = now
		g.pace.discardObservations(now)
	}
}

// ownRequests returns the number of this entry's requests in flight at the group.
func (g *group) ownRequests() (own int) {
	for _, server := range g.servers {
		own += server.ownRequests
	}
	return own
}

// ownGrowth returns by how many requests this entry's requests in flight at the group have
// grown within reportLag.
func (g *group) ownGrowth(own int, now time.Time) int {
	samples := g.opening.samples
	if last := len(samples) - 1; last >= 0 && now.Sub(samples[last].at) >= reportLag {
		samples = samples[:0] // Nothing was sent since; requests that have ended since are not to be made up for at once.
	}
	for len(samples) > 1 && now.Sub(samples[1].at) >= reportLag {
		samples = samples[1:]
	}
	if len(samples) == 0 || now.Sub(samples[len(samples)-1].at) >= ownSampleInterval {
		samples = append(samples, ownSample{now, own})
	}
	g.opening.samples = samples
	return own - samples[0].own
}

// hasShareOfRoom reports whether this entry may send one more request to the group of which
// limit requests may be in flight and total are known of. The other entries see the same
// room until reports show the requests, so that each entry takes only its part of it.
func (d *Dispatcher) hasShareOfRoom(g *group, limit, total float64, now time.Time) bool {
	own, entries := float64(g.ownRequests()), float64(d.runningEntries())
	growth := float64(g.ownGrowth(int(own), now))
	room, full := (limit-total)/entries, total >= limit
	if g.pace.observedAt.IsZero() {
		// The limit may be far too low for a group that other entries use already, so the
		// entry's part of it counts instead of the total.
		room, full = limit/entries-own, own >= max(1, math.Floor(limit/entries))
	}
	return !full && growth < max(1, lagRoomShare*room)
}

// isPressed reports whether entries have to assume that all others send as much as they do:
// after an opening, and while little room is left. Otherwise requests that happen to arrive
// together at one entry would wait at a group with room for many more.
func (d *Dispatcher) isPressed(g *group, now time.Time) bool {
	return now.Sub(g.opening.openedAt) < maxWait || float64(g.inFlight(now)) >= pressedShare*float64(g.limit())
}

// openedRecently reports whether a group of a service with classes has opened so recently
// that requests which waited for it may still be queued.
func (d *Dispatcher) openedRecently(now time.Time) bool {
	if !d.classes.Enabled() {
		return false
	}
	for _, g := range d.groups {
		if now.Sub(g.opening.openedAt) < maxWait {
			return true
		}
	}
	return false
}
