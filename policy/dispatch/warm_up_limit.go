package dispatch

import "time"

// WarmUpLimit bounds the requests that this entry sends to one backend server in a
// second: a server in cold start bears only a few from all entries together,
// and it may turn cold without a word.
type WarmUpLimit struct {
	PerSecond      float64 // What a cold server bears from all entries; 0 for no bound.
	OverloadFactor float64 // Factor over PerSecond at which the server is overloaded.
	Allowance      float64 // Requests in a second beyond that.
	Entries        int     // Entries that may be running, counted high.
}

// serversPerEntry is the least number of backend servers for each entry, spares
// included, on large sites: 63 for 18. Small ones are covered by the count assumed.
const serversPerEntry = 3

// raiseEntries counts the entries higher where there are many servers. The count never
// falls: servers leave and come back, entries go on.
func (r *WarmUpLimit) raiseEntries(servers int) { r.Entries = max(r.Entries, servers/serversPerEntry) }

// perEntryLimit returns the requests in a second that this entry may send to a server,
// cold or not: it may have turned cold a moment ago.
func (r WarmUpLimit) perEntryLimit() float64 {
	return (r.PerSecond*r.OverloadFactor + r.Allowance) / float64(max(1, r.Entries))
}

// sendWindow are the requests sent to one server within the last second.
type sendWindow struct{ sent []time.Time }

func (w *sendWindow) allows(limit WarmUpLimit, now time.Time) bool {
	if limit.PerSecond <= 0 {
		w.sent = w.sent[:0]
		return true
	}
	expired := 0
	for expired < len(w.sent) && now.Sub(w.sent[expired]) >= time.Second {
		expired++
	}
	w.sent = w.sent[expired:]
	return float64(len(w.sent)+1) <= max(1, limit.perEntryLimit())
}

func (w *sendWindow) add(now time.Time) { w.sent = append(w.sent, now) }
