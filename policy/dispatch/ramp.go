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

// grow counts the entries higher where there are many servers. The count never
// falls: servers leave and come back, entries go on.
func (r *WarmUpLimit) grow(servers int) { r.Entries = max(r.Entries, servers/serversPerEntry) }

// share returns the requests in a second that this entry may send to a server,
// cold or not: it may have turned cold a moment ago.
func (r WarmUpLimit) share() float64 {
	return (r.PerSecond*r.OverloadFactor + r.Allowance) / float64(max(1, r.Entries))
}

// rampTokens are the requests sent to one server within the last second.
type rampTokens struct{ sent []time.Time }

func (t *rampTokens) has(ramp WarmUpLimit, now time.Time) bool {
	if ramp.PerSecond <= 0 {
		t.sent = t.sent[:0]
		return true
	}
	cut := 0
	for cut < len(t.sent) && now.Sub(t.sent[cut]) >= time.Second {
		cut++
	}
	t.sent = t.sent[cut:]
	return float64(len(t.sent)+1) <= max(1, ramp.share())
}

func (t *rampTokens) take(now time.Time) { t.sent = append(t.sent, now) }
