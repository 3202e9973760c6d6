package dispatch

import (
	"slices"
	"time"
)

const (
	// silenceTimeout is how long a server with requests may send no event before it
	// counts as silent: four times the longest pause that users allow, and enough
	// for two retransmissions of a lost packet. Callers give up after two seconds.
	silenceTimeout = 500 * time.Millisecond
	// firstEventSilenceTimeout replaces silenceTimeout while none of a server's
	// requests has had an event: in a group that has just opened, prompts wait behind
	// those of other entries. It is half of the time after which callers give up.
	firstEventSilenceTimeout = time.Second
	// groupActiveWindow is how recently some server of a group must have sent an
	// event for the group to count as active: two of the longest passes. If none
	// has, the whole group is stalled and moving its streams gains nothing.
	groupActiveWindow = 250 * time.Millisecond
)

// ObserveEvent records that a server has sent an event of a stream.
func (d *Dispatcher) ObserveEvent(id string, now time.Time) {
	if server := d.byID[id]; server != nil {
		server.lastEventAt, server.silent = now, false
	}
}

// silenceLimit returns how long the server may send no event before it counts as
// silent.
func (s *server) silenceLimit() time.Duration {
	if s.lastEventAt.After(s.busySince) {
		return silenceTimeout
	}
	return firstEventSilenceTimeout
}

// FindSilent returns the servers that have requests of this entry and send
// neither events nor reports while others of their group send events, and excludes
// them for a while. All servers of a group execute each pass together, so the
// machine of a silent server has stalled or the network path from it is cut.
// Streams that can resume elsewhere should be moved. A server that still sends
// reports is not silent: its prompts are waiting to be read.
//
// A silence that began while the whole group was stalled is counted from the
// moment at which the group resumed. When a silent server is tried again, it gets
// one request at a time until it sends an event.
func (d *Dispatcher) FindSilent(now time.Time) []string {
	if d.engine == nil {
		return nil // Calls to plain services send nothing until they end, and may take any time.
	}
	for _, g := range d.groups {
		g.trackActivity(now)
	}
	var silent []string
	for _, server := range d.servers {
		if server.group.activeSince.IsZero() || server.ownRequests == 0 || server.health.excluded(now) || now.Sub(server.reportAt) < silenceTimeout {
			continue
		}
		if now.Sub(latest(server.lastEventAt, server.busySince, server.group.activeSince)) >= server.silenceLimit() {
			server.health.unreachable(now)
			server.silent = true
			silent = append(silent, server.candidate.ID)
		}
	}
	return silent
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
