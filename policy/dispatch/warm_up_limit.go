package dispatch

import "time"

// WarmUpLimit bounds the requests per second that this entry sends to one backend
// server. A server in cold start can take only a few requests from all entries
// together, and it may turn cold without notice.
type WarmUpLimit struct {
	PerSecond      float64 // Requests per second that a cold server can take from all entries; 0 for no limit.
	OverloadFactor float64 // Multiple of PerSecond at which the server is overloaded.
	ExtraPerSecond float64 // Requests per second allowed in addition to PerSecond*OverloadFactor.
	Entries        int     // Upper estimate of the number of running entries.
}

const (
	// serversPerEntry is the least number of backend servers per entry, spare entries
	// included, at large sites: 63 servers for 18 entries, which is 3.5, rounded down.
	// Small sites are covered by the initial value of Entries: the gateway sets it to a
	// few more than the largest number of entries on today's machines. Agents report the
	// actual number soon after a start.
	serversPerEntry = 3
)

// raiseEntries raises the estimate of running entries to match the number of
// servers. It never lowers it: servers leave and come back while the entries keep
// running.
func (r *WarmUpLimit) raiseEntries(servers int) { r.Entries = max(r.Entries, servers/serversPerEntry) }

// total returns the requests per second that a cold server takes from all entries.
func (r WarmUpLimit) total() float64 { return r.PerSecond*r.OverloadFactor + r.ExtraPerSecond }

// perEntryLimit returns the requests per second that this entry may send to one
// server. It applies whether the server is known to be cold or not, because the
// server may have just turned cold.
func (r WarmUpLimit) perEntryLimit() float64 { return r.total() / float64(max(1, r.Entries)) }

// hasTurn reports whether the entry with the seed may now send a request to the server.
// If the server bears fewer requests a second than there are entries, those that have
// sent nothing for long could all send one in the same second, so they take turns.
func (r WarmUpLimit) hasTurn(turns turnSeed, server string, now time.Time) bool {
	if r.PerSecond <= 0 || r.perEntryLimit() >= 1 {
		return true
	}
	return turns.has(server, turnShare(r.total(), time.Second, r.Entries), now)
}

// sendWindow records when requests were sent to one server within the last second.
type sendWindow struct{ sentAt []time.Time }

func (w *sendWindow) allows(limit WarmUpLimit, now time.Time) bool {
	if limit.PerSecond <= 0 {
		w.sentAt = w.sentAt[:0]
		return true
	}
	expired := 0
	for expired < len(w.sentAt) && now.Sub(w.sentAt[expired]) >= time.Second {
		expired++
	}
	w.sentAt = w.sentAt[expired:]
	return float64(len(w.sentAt)+1) <= max(1, limit.perEntryLimit())
}

func (w *sendWindow) requestSent(now time.Time) { w.sentAt = append(w.sentAt, now) }
