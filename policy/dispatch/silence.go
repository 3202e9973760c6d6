package dispatch

import (
	"slices"
	"time"
)

const (
	// silenceTimeout is how long a server with requests sends nothing before it
	// counts as silent: four of the longest pauses that users allow, and two
	// retransmissions of a lost packet. Callers leave after two seconds.
	silenceTimeout = 500 * time.Millisecond
	// firstEventSilenceTimeout holds for a server none of whose requests has had an event yet:
	// in a group that has just opened, prompts wait for those of other entries. It is
	// half of the time after which callers leave.
	firstEventSilenceTimeout = time.Second
	// groupActiveWindow is how recently another server of the group must have been
	// heard of: two of the longest passes. If none was, the group stands still and
	// its streams are as well off where they are.
	groupActiveWindow = 250 * time.Millisecond
)

// ObserveEvent notes that a server has sent an event of a stream.
func (d *Dispatcher) ObserveEvent(id string, now time.Time) {
	if server := d.byID[id]; server != nil {
		server.lastEventAt, server.silent = now, false
	}
}

// silenceLimit is how long the server may send nothing.
func (s *server) silenceLimit() time.Duration {
	if s.lastEventAt.After(s.busySince) {
		return silenceTimeout
	}
	return firstEventSilenceTimeout
}

// FindSilent returns the servers that have requests of this entry and send
// neither events nor reports while others of their group do, and passes them over
// for a while. All servers of a group advance together, so the machine of such a
// server stands still, or the way from it is cut. Streams that may go on elsewhere
// should. One that reports has prompts that wait to be read.
//
// A silence that began while the whole group stood still is counted from the
// moment at which the group went on. A silent server that is tried again gets one
// request until it is heard of.
func (d *Dispatcher) FindSilent(now time.Time) []string {
	if d.limiter.engine == nil {
		return nil // Calls of plain services end when they end.
	}
	d.trackGroupActivity(now)
	if d.groupActiveSince.IsZero() {
		return nil
	}
	var silent []string
	for _, server := range d.servers {
		if server.own == 0 || server.health.excluded(now) || now.Sub(server.reportAt) < silenceTimeout {
			continue
		}
		if now.Sub(latest(server.lastEventAt, server.busySince, d.groupActiveSince)) >= server.silenceLimit() {
			server.health.unreachable(now)
			server.silent = true
			silent = append(silent, server.candidate.ID)
		}
	}
	return silent
}

// trackGroupActivity keeps the moment since which servers of the group have been heard
// of without a long break; the zero time while none is.
func (d *Dispatcher) trackGroupActivity(now time.Time) {
	active := slices.ContainsFunc(d.servers, func(s *server) bool { return now.Sub(s.lastEventAt) < groupActiveWindow })
	switch {
	case !active:
		d.groupActiveSince = time.Time{}
	case d.groupActiveSince.IsZero():
		d.groupActiveSince = now
	}
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
