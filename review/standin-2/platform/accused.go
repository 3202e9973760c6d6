package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site sooas-persimmon: how long the workers of a zone are down, how long all
// processes are, the bound of recovery and the requests a second at an entry.
const (
	coldReturnTime = 4500 * time.Millisecond
	killAllTime    = 850 * time.Millisecond
	recoverTime    = 12 * time.Second
	requestPause   = 60 * time.Millisecond
	accusedTime    = 60 * time.Second
)

// playAccused crashes the workers of a zone and, before the group is back, ends all
// processes of the system. All prompts begin with the same shared part.
func playAccused(f *fleet) (broken bool) {
	s, r := newStore(), &runs{by: map[string][]string{}}
	storeAddress := net.JoinHostPort(f.ip(2), strconv.Itoa(storePort))
	f.listen(storeAddress, s)
	draft := route("r-draft", "/draft/", "streaming", "writer", 2)
	draft["timeout_ms"], draft["slo_ms"], draft["itl_target_ms"], draft["resumable"], draft["sticky"], draft["priority"] = 8000, 400, 120, true, true, 1
	tenants := []any{}
	for i := range 10 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}})
	}
	s.put("op", "config", map[string]any{"version": 7, "routes": []any{draft}, "services": []any{modelService("writer")}, "limits": limits(), "tenants": tenants})
	g := f.startGroup(s, "writer", 21, r)
	var entries []string
	for i := range 4 {
		ip := f.ip(41 + i)
		f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: storeAddress, memoryMB: entryMB})
		entries = append(entries, ip)
	}
	for i, w := range g.workers {
		f.start("agent", machine{name: fmt.Sprintf("side-%d", i+1), class: "side", zone: zoneOf(i), ip: f.ip(21 + i), store: storeAddress, memoryMB: 152, app: w.address, backend: "writer"})
	}
	for _, ip := range entries {
		f.awaitReady(ip)
	}
	f.note("entries are ready")
	var mu sync.Mutex
	before, after := map[string]int{}, map[string]int{}
	var faultAt, backAt time.Time
	end := time.Now().Add(accusedTime)
	var clients sync.WaitGroup
	for i, ip := range entries {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(requestPause)
				clients.Go(func() {
					attempt, sentAt := fmt.Sprintf("%d-%d", i+1, n), time.Now()
					outcome, detail := sendDraft(ip, attempt, fmt.Sprintf("key-%d", n%10), n)
					f.note("%s sent at %.3f to edge-%d: %s, run by %v %s", attempt, sentAt.Sub(f.started).Seconds(), i+1, outcome, r.of(attempt), detail)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case faultAt.IsZero():
						before[outcome]++
					case !backAt.IsZero() && sentAt.Sub(backAt) > recoverTime:
						after[outcome]++
					}
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	faultAt = time.Now()
	mu.Unlock()
	// TROUBLE=crash and TROUBLE=kill leave one of the two disruptions out.
	if f.trouble && os.Getenv("TROUBLE") != "kill" {
		g.crashZone("zone-a", coldReturnTime)
		time.Sleep(1500 * time.Millisecond)
	}
	if f.trouble && os.Getenv("TROUBLE") != "crash" {
		f.note("all processes of the system are killed, for %v", killAllTime)
		for _, p := range f.processes {
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
		time.Sleep(killAllTime)
		for _, p := range f.processes {
			f.run(p)
		}
	}
	mu.Lock()
	backAt = time.Now()
	mu.Unlock()
	f.note("the machines are back; requests count from %.3f on", f.now()+recoverTime.Seconds())
	clients.Wait()
	share := func(outcomes map[string]int) (served, all int) {
		for outcome, count := range outcomes {
			all += count
			if outcome == "200" {
				served += count
			}
		}
		return served, all
	}
	servedBefore, allBefore := share(before)
	servedAfter, allAfter := share(after)
	f.note("before the fault: %v; sent later than recover_s after the machines were back: %v", before, after)
	f.note("served before: %d of %d; after: %d of %d", servedBefore, allBefore, servedAfter, allAfter)
	return 4*servedBefore >= allBefore && 4*servedAfter < allAfter
}

// sendDraft sends a request for a stream. Its prompt has a part that all prompts share, the
// model's instructions, and one of its own.
func sendDraft(entry, attempt, key string, number int) (outcome, detail string) {
	ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
	defer cancel()
	body := strings.Repeat(attempt+" ", 60)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/draft/2f", net.JoinHostPort(entry, strconv.Itoa(frontPort))), strings.NewReader(body))
	if err != nil {
		return "no request", err.Error()
	}
	request.Host = routeHost
	for name, value := range map[string]string{
		headerAttempt: attempt, headerDeadline: "8000", "Authorization": "Token " + key, "Persimmonwind-Model": "m",
		"Persimmonwind-Token-Counts": "714,160", "Persimmonwind-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:674", 0xe4402b7d+number),
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return "no answer", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(bufio.NewReader(response.Body))
	if err != nil {
		return "cut in the answer", err.Error()
	}
	if response.StatusCode != http.StatusOK {
		return strconv.Itoa(response.StatusCode), fmt.Sprintf("Retry-After %s: %.120s", response.Header.Get("Retry-After"), strings.TrimSpace(string(read)))
	}
	if strings.Count(string(read), "\n\n") != streamEvents {
		return "incomplete", ""
	}
	return "200", ""
}
