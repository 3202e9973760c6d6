// Program queue-memory shows how the memory of a dispatcher grows while no request waits. It
// is no case: an entry needs some days of calm traffic to reach its limit. Run it from the
// repository's root: go run ./review/extra-2/queue-memory/*.go
package main

import (
	"fmt"
	"runtime"
	"time"

	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/topology"
)

func main() {
	const requests, step, pause = 10_000_000, 2_500_000, 10 * time.Millisecond
	d := dispatch.NewDispatcher(dispatch.WarmUpLimit{Entries: 8})
	now := time.Now()
	d.Configure([]topology.Candidate{{Server: topology.Server{ID: "a", Slots: 6}}, {Server: topology.Server{ID: "b", Slots: 6}}}, topology.Service{Name: "s"}, 0, now)
	for i := range requests + 1 {
		now = now.Add(pause)
		end := now.Add(time.Second)
		decision := d.Submit(dispatch.Ticket{ID: uint64(i), Arrived: now, SLODeadline: end, Deadline: end}, 0.3, now)
		d.DoneTicket(decision.Server.ID, decision.Ticket, dispatch.Served, now.Add(pause/2))
		if i%step == 0 {
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			fmt.Printf("%d requests, sent at once: %t, heap %d MB\n", i, decision.Verdict == dispatch.Go, memory.HeapAlloc>>20)
		}
	}
}
