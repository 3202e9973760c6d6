package classes

import "time"

const (
	// DemandWindow is how long after the last request of a level its reserve is kept.
	DemandWindow = 2 * time.Second
	// lastLevelShare is the share of the limit that is open to the least urgent level
	// while all others have demand.
	lastLevelShare = 0.8
	// GuaranteedShare is the share of an entry's requests in flight up to which a level may
	// use the whole limit, so that more urgent levels never starve it. It is above the 0.1
	// of what is sent that a level is promised, because a level gets its share only when a
	// slot becomes free.
	GuaranteedShare = 0.12
)

// Demand records at one entry which levels have had requests within DemandWindow. The zero
// Demand assumes that all have.
type Demand struct {
	started time.Time
	seenAt  []time.Time // By level.
}

// Observe records a request of a level that has arrived or waits.
func (d *Demand) Observe(level int, now time.Time) {
	d.start(now)
	for len(d.seenAt) <= level {
		d.seenAt = append(d.seenAt, time.Time{})
	}
	d.seenAt[level] = now
}

func (d *Demand) start(now time.Time) {
	if d.started.IsZero() {
		d.started = now
	}
}

// Expects reports whether requests of a level are to be expected.
func (d *Demand) Expects(level int, now time.Time) bool {
	d.start(now)
	if now.Sub(d.started) < DemandWindow {
		return true
	}
	return level < len(d.seenAt) && now.Sub(d.seenAt[level]) < DemandWindow
}

// Share returns the share of a group's limit below which the total of requests in flight
// must be for a request of the level to be sent. Each more urgent level that is expected to
// have requests reserves the same part of the limit. Without informed, that is, if the
// entry does not know the group's load, all are.
func (t Table) Share(level int, demand *Demand, informed bool, now time.Time) float64 {
	reserve := (1 - lastLevelShare) / float64(max(1, t.Levels()-1))
	share := 1.0
	for urgent := range min(level, t.Levels()-1) {
		if !informed || demand.Expects(urgent, now) {
			share -= reserve
		}
	}
	return share
}
