package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// stopCallers is the number of callers of an entry; the site has 97 in all.
	stopCallers = 100
	// stopGap is the time between two stops of entries.
	stopGap = 1300 * time.Millisecond
	// stopRounds is how often each of the four entries is stopped.
	stopRounds = 17
	stopWork   = 15 * time.Millisecond // Within the range of the work of a booking in the site file.
)

// rollingStop: four entries are stopped by SIGTERM and started again in turn, while each
// serves 100 callers that keep their connections. No request that an entry has passed on to a
// worker may end without an answer.
func rollingStop(r *record, folder string, trouble bool) int {
	s := newStore()
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(fmt.Sprintf("i-%d", i+1), "app", 200, stopWork, nil)
		if err != nil {
			r.say("could not run: %v", err)
			return exitCouldNot
		}
		workers = append(workers, w)
	}
	s.put("op", "config", configuration(7, []any{route("/book/", "non_idempotent", "app", 2000, 1, true)}, nil, "app"))
	for _, w := range workers {
		s.put("servers", w.id, w.row())
	}
	g, err := newGate(s)
	if err != nil {
		r.say("could not run: %v", err)
		return exitCouldNot
	}
	var mu sync.Mutex
	var unanswered []string
	var number, sent, stops, troubles atomic.Int64

	// callFor sends one request after the other on one connection until the entry says that
	// it closes it, or the connection ends.
	callFor := func(e *entry, quit *atomic.Bool) {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
		defer client.CloseIdleConnections()
		for kept := false; !quit.Load(); {
			id := fmt.Sprintf("%s-%d", e.name, number.Add(1))
			request, err := http.NewRequest("POST", "http://"+e.front+"/book/1", strings.NewReader("x"))
			if err != nil {
				panic(err)
			}
			request.GetBody, request.Host = nil, host
			request.Header.Set("Persimmonwind-Attempt-Id", id)
			request.Header.Set("Persimmonwind-Deadline-Ms", "2000")
			trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
			request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
			sentAt := time.Now()
			response, err := client.Do(request)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			sent.Add(1)
			if err != nil {
				r.logAt(sentAt, "caller sends %s to %s, on a kept connection: %t", id, e.name, kept)
				r.log("the connection of %s ends without an answer: %v", id, err)
				mu.Lock()
				unanswered = append(unanswered, id)
				mu.Unlock()
				return
			}
			if response.Close {
				return
			}
		}
	}

	// Each entry is started and stopped in turn; its stops are stopGap after those of the one
	// before it. Without the disruption each serves once, for as long as five rounds.
	begin := time.Now()
	var machines sync.WaitGroup
	for machine := range 4 {
		machines.Go(func() {
			next := begin.Add(3*time.Second + time.Duration(machine)*stopGap)
			for round := range stopRounds {
				e, err := startEntry(folder, fmt.Sprintf("edge-%d-%d", machine+1, round+1), g.address, 284)
				if err != nil {
					r.say("could not run: %v", err)
					troubles.Add(1)
					return
				}
				var calls sync.WaitGroup
				var quit atomic.Bool
				for range stopCallers {
					calls.Go(func() { callFor(e, &quit) })
				}
				if !trouble {
					time.Sleep(time.Until(begin.Add(5 * 4 * stopGap)))
					quit.Store(true)
					calls.Wait()
					e.kill()
					return
				}
				time.Sleep(time.Until(next))
				next = next.Add(4 * stopGap)
				r.log("SIGTERM to %s, after %d requests in all", e.name, sent.Load())
				stops.Add(1)
				_ = e.command.Process.Signal(syscall.SIGTERM)
				calls.Wait()
				select {
				case <-e.ended:
				case <-time.After(9 * time.Second):
					e.kill()
				}
			}
		})
	}
	machines.Wait()
	if troubles.Load() > 0 {
		return exitCouldNot
	}
	ran := map[string]run{}
	for _, w := range workers {
		for _, each := range w.allRuns() {
			ran[each.id] = each
		}
	}
	lost := 0
	for _, id := range unanswered {
		if each, ok := ran[id]; ok {
			lost++
			r.logAt(each.at, "worker %s runs %s, which is never answered", each.worker, id)
			r.say("%s ran at worker %s and was never answered", id, each.worker)
		}
	}
	r.say("%d requests, %d stops, %d connections that ended without an answer; %d of these requests had been passed on to a worker and ran", sent.Load(), stops.Load(), len(unanswered), lost)
	if lost > 0 {
		r.say("LOST is broken")
		return exitBroken
	}
	r.say("LOST held")
	return exitHeld
}
