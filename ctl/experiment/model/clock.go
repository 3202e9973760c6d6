// Package model is a discrete-event simulation of backend servers. Each simulated
// engine is behind the real admission policy, which receives the engine's reports
// and events. The experiments run random workloads on it.
package model

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// Clock is a simulated clock that runs scheduled functions in the order of their
// times.
type Clock struct {
	now   time.Duration
	seq   uint64
	queue callQueue
}

// Now returns the time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the simulated wall-clock time, which the policies get as input.
func (c *Clock) Time() time.Time { return epoch.Add(c.now) }

// After schedules the function to run once the simulated time has advanced by wait.
func (c *Clock) After(wait time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, scheduledCall{at: c.now + max(0, wait), seq: c.seq, run: run})
}

// Every schedules the function to run first after the phase, then at each
// interval.
func (c *Clock) Every(phase, interval time.Duration, run func()) {
	c.After(phase, func() {
		run()
		c.Every(interval, interval, run)
	})
}

// Run runs the functions scheduled up to the time and advances the clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.run()
	}
	c.now = until
}

type scheduledCall struct {
	at  time.Duration
	seq uint64
	run func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
