package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB    = 284 // limits.memory_mb of an edge machine
	usualPerS   = 10.0
	burstFactor = 1.7             // The largest one that the site file names.
	burstLength = 3 * time.Second // The longest one of that size in the site file.
	streamPiece = 100 * time.Millisecond
	pieces      = 60
	firstPiece  = 350 * time.Millisecond
)

// bodyBytes is the size of a prompt, under max_body_bytes of the configuration, 4,194,304.
const bodyBytes = 3_400_000

// streamWorker answers a stream of events.
func streamWorker(w *worker) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		arrivedAt := time.Now()
		id := r.Header.Get("Persimmonwind-Attempt-Id")
		response.Header().Set("Persimmonwind-Attempt-Id", id)
		if expected := r.Header.Get("Persimmonwind-Expect-Instance"); expected != "" && expected != w.id {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		if w.active >= w.slots {
			w.mu.Unlock()
			response.Header().Set("Persimmonwind-Not-Executed", "1")
			response.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.active++
		w.mu.Unlock()
		defer func() {
			w.mu.Lock()
			w.active--
			w.mu.Unlock()
		}()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.mu.Lock()
		w.runs = append(w.runs, run{id: id, worker: w.id, at: arrivedAt})
		w.mu.Unlock()
		w.record.logAt(arrivedAt, "worker %s runs %s", w.id, id)
		response.Header().Set("Content-Type", "text/event-stream")
		response.Header().Set("Persimmonwind-Server-Stamp", "stamp-"+w.id+"-"+id)
		next, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		wait := firstPiece
		for next++; next <= pieces; next++ {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
			wait = streamPiece
			if _, err := fmt.Fprintf(response, "id: %d\ndata: %065d\n\n", next, next); err != nil {
				return
			}
			response.(http.Flusher).Flush()
		}
	})
}

// largeBodies: callers send prompts of 2.5 MB, within the limit of the configuration, to an
// entry with the memory of the site's edge machines. Then many users come at once.
func largeBodies(r *record, folder string, trouble bool) int {
	s := newStore()
	var workers []*worker
	for i := range 12 {
		w, err := startWorker(fmt.Sprintf("i-%d", i+1), "model", 12, 0, r)
		if err != nil {
			r.say("could not run: %v", err)
			return exitCouldNot
		}
		w.server.Handler = streamWorker(w)
		workers = append(workers, w)
	}
	stream := route("/draft/", "streaming", "model", 8000, 2, true)
	stream["resumable"], stream["itl_target_ms"], stream["slo_ms"] = true, 120, 400
	s.put("op", "config", configuration(7, []any{stream}, nil, "model"))
	for _, w := range workers {
		s.put("servers", w.id, w.row())
	}
	g, err := newGate(s)
	if err != nil {
		r.say("could not run: %v", err)
		return exitCouldNot
	}
	e, err := startEntry(folder, "edge-1", g.address, memoryMB)
	if err != nil {
		r.say("could not run: %v", err)
		return exitCouldNot
	}
	defer e.kill()

	// The platform: a process that exceeds memory_mb is killed.
	var killedAt atomic.Int64
	peak := 0
	stopped := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb := e.residentMB()
			peak = max(peak, mb)
			if mb > memoryMB && killedAt.Load() == 0 {
				killedAt.Store(time.Now().UnixNano())
				r.say("the platform kills edge-1: its memory is %d MB, over %d", mb, memoryMB)
				e.kill()
			}
		}
	})

	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 300, IdleConnTimeout: 12 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := &http.Client{Transport: transport}
	body := bytes.Repeat([]byte("p"), bodyBytes)
	type outcome struct{ kept, answered, whole bool }
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	var calls sync.WaitGroup
	send := func(id string) {
		request, err := http.NewRequest("POST", "http://"+e.front+"/draft/1", bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		request.GetBody, request.Host = nil, host
		request.Header.Set("Persimmonwind-Attempt-Id", id)
		request.Header.Set("Persimmonwind-Deadline-Ms", "8000")
		sentAt := time.Now()
		var got outcome
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { got.kept = info.Reused }}
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
		response, err := client.Do(request)
		status := 0
		if err == nil {
			got.answered, status = true, response.StatusCode
			_, err = io.Copy(io.Discard, response.Body)
			got.whole = err == nil && status == 200
			_ = response.Body.Close()
		}
		r.logAt(sentAt, "caller sends %s with %d bytes, on a kept connection: %t", id, len(body), got.kept)
		r.log("caller's answer to %s ends: status %d, error %v", id, status, err)
		mu.Lock()
		outcomes[id] = got
		mu.Unlock()
	}
	begin := time.Now()
	burstAt := begin.Add(10 * time.Second)
	end := burstAt.Add(burstLength + 3*time.Second)
	time.AfterFunc(time.Until(burstAt.Add(-2*time.Second)), func() {
		// The users who come at once have connections already: they have just asked for
		// something that does not exist.
		for i := range 60 {
			go func() {
				request, err := http.NewRequest("GET", "http://"+e.front+"/none/", nil)
				if err != nil {
					panic(err)
				}
				request.Host = host
				request.Header.Set("Persimmonwind-Attempt-Id", fmt.Sprintf("none-%d", i))
				if response, err := client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}()
		}
	})
	for i := 0; time.Now().Before(end) && killedAt.Load() == 0; i++ {
		perS := usualPerS
		if now := time.Now(); trouble && now.After(burstAt) && now.Before(burstAt.Add(burstLength)) {
			perS *= burstFactor
		}
		calls.Go(func() { send(fmt.Sprintf("draft-%d", i)) })
		time.Sleep(time.Duration(float64(time.Second) / perS))
	}
	calls.Wait()
	close(stopped)
	watcher.Wait()
	ran := map[string]bool{}
	for _, w := range workers {
		for _, each := range w.allRuns() {
			ran[each.id] = true
		}
	}
	whole, unanswered, cut := 0, 0, 0
	for id, got := range outcomes {
		switch {
		case got.whole:
			whole++
		case ran[id] && got.kept && !got.answered:
			unanswered++
		default:
			cut++
		}
	}
	r.say("%d requests, %d whole answers, %d cut or refused, %d from kept connections passed on to a worker and closed without an answer; peak memory %d MB", len(outcomes), whole, cut, unanswered, peak)
	if killedAt.Load() != 0 && unanswered > 3 {
		r.say("LOST is broken: the process ended by itself, over its memory, with %d such requests", unanswered)
		return exitBroken
	}
	r.say("LOST held")
	return exitHeld
}
