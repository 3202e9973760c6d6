package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	contact = 3 * time.Second // bounds.contact_ms
	drain   = 2 * time.Second // bounds.drain_ms
	// longOutage is how long the store does not answer one machine, which the pages allow.
	longOutage = 9 * time.Second
	// longOutagePhase is how long the machine's poll has been waiting when the outage begins.
	longOutagePhase = 500 * time.Millisecond
	// leaveBefore is how long before the end of the outage the worker's entry is removed.
	leaveBefore = 1500 * time.Millisecond
	// lingers is how long the worker goes on serving after that.
	lingers = 5200 * time.Millisecond
	// callers is the number of callers of each of the first two entries, each of which sends
	// one request after the other. The other entries have two each.
	callers = 28
)

// goneWorker: the store answers one entry of four for 9 s not at all. Shortly before the end
// one of four workers leaves as some do: its entry in the store is removed, and it goes on
// serving for some seconds. Once the entry is in touch again, over drain_ms after the
// removal, it must send that worker nothing.
func goneWorker(r *record, folder string, trouble bool) int {
	s := newStore()
	var workers []*worker
	for i := range 4 {
		w, err := startWorker(fmt.Sprintf("i-%d", i+1), "app", 6, 150*time.Millisecond, r)
		if err != nil {
			r.say("could not run: %v", err)
			return exitCouldNot
		}
		workers = append(workers, w)
	}
	leaving := workers[3]
	s.put("op", "config", configuration(7, []any{route("/book/", "non_idempotent", "app", 2000, 1, true)}, nil, "app"))
	for _, w := range workers {
		s.put("servers", w.id, w.row())
	}
	var entries []*entry
	var gates []*gate
	defer func() {
		for _, e := range entries {
			e.kill()
		}
	}()
	for _, name := range []string{"edge-1", "edge-2", "edge-3", "edge-4"} {
		g, err := newGate(s)
		if err != nil {
			r.say("could not run: %v", err)
			return exitCouldNot
		}
		e, err := startEntry(folder, name, g.address, 284)
		if err != nil {
			r.say("could not run: %v", err)
			return exitCouldNot
		}
		gates, entries = append(gates, g), append(entries, e)
	}
	time.Sleep(5 * time.Second)
	before := gates[0].lastPoll("servers")
	for deadline := time.Now().Add(5 * time.Second); gates[0].lastPoll("servers").Equal(before) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(gates[0].lastPoll("servers").Add(longOutagePhase)))
	begin := time.Now()
	if trouble {
		begin = gates[0].setSilent(true)
		r.say("the store stops to answer edge-1")
	}
	end := begin.Add(longOutage)
	time.Sleep(time.Until(end.Add(-leaveBefore)))
	removed := s.remove("servers", leaving.id)
	r.say("the store has removed the entry of %s, which goes on serving for %v", leaving.id, lingers)
	time.Sleep(time.Until(end))
	if trouble {
		end = gates[0].setSilent(false)
		r.say("the store answers edge-1 again")
	}
	inTouch := end.Add(contact)

	// The load: more than the three workers that stay run at a time.
	type sent struct {
		by *entry
		reply
	}
	var mu sync.Mutex
	replies := map[string]sent{}
	c := newCaller(r)
	var load sync.WaitGroup
	var number atomic.Int64
	stop := inTouch.Add(2500 * time.Millisecond)
	for i, e := range entries {
		ofEntry := callers
		if i >= 2 {
			ofEntry = 2
		}
		for range ofEntry {
			load.Go(func() {
				time.Sleep(time.Until(end.Add(1500 * time.Millisecond)))
				for time.Now().Before(stop) {
					id := fmt.Sprintf("%s-%d", e.name, number.Add(1))
					got := c.send(e.front, "POST", "/book/1", id, "", 2500*time.Millisecond, []byte("x"))
					mu.Lock()
					replies[id] = sent{e, got}
					mu.Unlock()
					if got.status != 200 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(time.Until(removed.Add(lingers)))
	r.say("%s exits", leaving.id)
	_ = leaving.server.Close()
	load.Wait()

	late, lost := map[string]int{}, 0
	var last time.Time
	for _, each := range leaving.allRuns() {
		got := replies[each.id]
		if got.by == nil || !got.sentAt.After(inTouch) || !each.at.After(removed.Add(drain)) {
			continue
		}
		late[got.by.name]++
		last = each.at
		if got.status != 200 {
			lost++
		}
	}
	r.say("in touch, over %v after the removal was acknowledged, %s got %d requests by way of edge-1 and %d by way of the others; %d of them got no answer of the worker as it exited",
		drain, leaving.id, late["edge-1"], late["edge-2"]+late["edge-3"]+late["edge-4"], lost)
	if len(late) > 0 {
		r.say("DRAIN is broken: the last of them reached the worker %.1f s after the acknowledgement and %.1f s after edge-1 was in touch", last.Sub(removed).Seconds(), last.Sub(inTouch).Seconds())
		return exitBroken
	}
	r.say("DRAIN held")
	return exitHeld
}
