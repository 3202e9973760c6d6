package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second // bounds.contact_ms
	configApply = 2 * time.Second // bounds.config_apply_ms
	// outage is how long the store does not answer one machine; the pages allow 9 s.
	outage = 7500 * time.Millisecond
	// outagePhase is how long the machine's poll has been waiting when the outage begins.
	outagePhase = 800 * time.Millisecond
)

// staleConfiguration: the store answers one entry of two for 7.5 s not at all. Meanwhile the
// operator takes a key away. Once the entry is in touch again, it must not run requests with
// that key any more.
func staleConfiguration(r *record, folder string, trouble bool) int {
	s := newStore()
	w, err := startWorker("i-1", "app", 6, 20*time.Millisecond, r)
	if err != nil {
		r.say("could not run: %v", err)
		return exitCouldNot
	}
	routes := []any{route("/book/", "non_idempotent", "app", 800, 1, false)}
	tenants := func(keys ...any) []any { return []any{map[string]any{"name": "tenant-a", "api_keys": keys}} }
	s.put("op", "config", configuration(7, routes, tenants("key-one", "key-two"), "app"))
	s.put("servers", w.id, w.row())
	var entries []*entry
	var gates []*gate
	defer func() {
		for _, e := range entries {
			e.kill()
		}
	}()
	for _, name := range []string{"edge-1", "edge-2"} {
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
	c := newCaller(r)
	for i, e := range entries {
		if got := c.send(e.front, "POST", "/book/1", fmt.Sprintf("warm-%d", i), "key-one", 1500*time.Millisecond, []byte("x")); got.status != 200 {
			r.say("could not run: first request got status %d, error %v", got.status, got.err)
			return exitCouldNot
		}
	}
	time.Sleep(5 * time.Second)

	// The outage begins while a poll of edge-1 waits for a change.
	before := gates[0].lastPoll("op")
	for deadline := time.Now().Add(5 * time.Second); gates[0].lastPoll("op").Equal(before) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(gates[0].lastPoll("op").Add(outagePhase)))
	begin := time.Now()
	if trouble {
		begin = gates[0].setSilent(true)
		r.say("the store stops to answer edge-1")
	}
	time.Sleep(time.Until(begin.Add(2 * time.Second)))
	accepted := s.put("op", "config", configuration(12, routes, tenants("key-two"), "app"))
	r.say("the store has accepted version 12, without key-one, %.1f s after that", accepted.Sub(begin).Seconds())
	time.Sleep(time.Until(begin.Add(outage)))
	end := time.Now()
	if trouble {
		end = gates[0].setSilent(false)
		r.say("the store answers edge-1 again")
	}
	inTouch := end.Add(contact)

	// Both entries get requests with the removed key, and some with the other one.
	var mu sync.Mutex
	late := map[string]*entry{}
	var sends sync.WaitGroup
	for i := 0; time.Now().Before(inTouch.Add(1500 * time.Millisecond)); i++ {
		for j, e := range entries {
			sends.Go(func() {
				id := fmt.Sprintf("removed-%d-%d", j, i)
				got := c.send(e.front, "POST", "/book/1", id, "key-one", 1500*time.Millisecond, []byte("x"))
				if got.sentAt.After(inTouch) && got.sentAt.After(accepted.Add(configApply)) {
					mu.Lock()
					late[id] = e
					mu.Unlock()
				}
			})
			if i%10 == 0 {
				sends.Go(func() {
					c.send(e.front, "POST", "/book/1", fmt.Sprintf("kept-%d-%d", j, i), "key-two", 1500*time.Millisecond, []byte("x"))
				})
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	sends.Wait()
	ran := map[string]int{}
	var last time.Time
	for _, each := range w.allRuns() {
		if e := late[each.id]; e != nil {
			ran[e.name]++
			last = each.at
		}
	}
	r.say("in touch, over %v after the acknowledgement, %d requests with the removed key were sent; run by way of edge-1: %d, of edge-2: %d", configApply, len(late), ran["edge-1"], ran["edge-2"])
	if len(ran) > 0 {
		r.say("CONFIG is broken: the last of them ran %.0f ms after edge-1 was in touch and %.1f s after the acknowledgement",
			float64(last.Sub(inTouch).Milliseconds()), last.Sub(accepted).Seconds())
		return exitBroken
	}
	r.say("CONFIG held")
	return exitHeld
}
