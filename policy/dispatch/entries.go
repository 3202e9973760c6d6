package dispatch

import "time"

// entryCountPeriod is the period over which the highest number of entries is kept. It is
// longer than the restart of an entry, whose share of a limit must not be given away.
const entryCountPeriod = 10 * time.Second

// EntryCount is the number of running entries, as agents report it: each entry
// subscribes to the load reports of all agents. Limits that all entries share are
// divided by it.
type EntryCount struct {
	highest     int // Highest number in the current period.
	previous    int // Highest number in the period before.
	periodStart time.Time
}

// Observe records a reported number of entries.
func (c *EntryCount) Observe(count int, now time.Time) {
	if now.Sub(c.periodStart) >= entryCountPeriod {
		c.previous, c.highest, c.periodStart = c.highest, 0, now
	}
	c.highest = max(c.highest, count)
}

// Value returns the highest number of entries of late, 0 while none has been reported.
func (c *EntryCount) Value() int { return max(c.highest, c.previous) }
