package dispatch

import (
	"hash/maphash"
	"math"
	"time"
)

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
	// turnLength is the length of the turns by which entries share a server that bears
	// fewer requests a second than there are entries.
	turnLength = 300 * time.Millisecond
	// turnLoad is the share of what the server bears that the entries whose turn it is
	// may use on average. The rest is for turns that fall together.
	turnLoad = 0.6
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

// turnShare returns the share of turns in which the entry may send a request to the
// server: 1 if each entry may send at least one request a second. Otherwise entries that
// have sent nothing for long could all send one in the same second, so each has turns
// that are drawn at random.
func (r WarmUpLimit) turnShare() float64 {
	if r.perEntryLimit() >= 1 {
		return 1
	}
	turnsInASecond := 1 + time.Second.Seconds()/turnLength.Seconds()
	return turnLoad * r.perEntryLimit() / turnsInASecond
}

// hasTurn reports whether the entry with the seed may now send a request to the server.
func (r WarmUpLimit) hasTurn(seed maphash.Seed, server string, now time.Time) bool {
	share := r.turnShare()
	if r.PerSecond <= 0 || share >= 1 {
		return true
	}
	type turn struct {
		server string
		number int64
	}
	drawn := maphash.Comparable(seed, turn{server, now.UnixNano() / int64(turnLength)})
	return float64(drawn) < share*math.MaxUint64
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
