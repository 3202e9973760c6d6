package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	configApply  = 2 * time.Second // config_apply_ms of glorieta-ops.
	calmRequests = 15
	lateRequests = 50
	tenantPause  = 100 * time.Millisecond
)

// lookupWorker is a worker of a plain service.
type lookupWorker struct {
	id   string
	runs *runs
}

func (w *lookupWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	out.Header().Set(headerAttempt, attempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.runs.add(attempt, w.id)
	time.Sleep(30 * time.Millisecond)
	out.Header().Set(headerStamp, w.id)
	_, _ = fmt.Fprintf(out, "%s by %s for tenant %q", attempt, w.id, r.Header.Get(headerTenant))
}

// playLastTenant removes the only tenant of a configuration. Without the disruption the
// tenant stays and loses its key.
func playLastTenant(f *fleet) (broken bool) {
	s, r := newStore(), &runs{by: map[string][]string{}}
	storeAddress := net.JoinHostPort(f.ip(2), strconv.Itoa(storePort))
	f.listen(storeAddress, s)
	configure := func(version int, tenants []any) {
		s.put("op", "config", map[string]any{
			"version": version, "routes": []any{route("r-book", "/book/", "non_idempotent", "contracts", 1)}, "services": []any{plainService("contracts")},
			"limits": limits(), "tenants": tenants,
		})
		f.note("configuration %d acknowledged: tenants %v", version, tenants)
	}
	configure(7, []any{map[string]any{"name": "supermarkets", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}})
	for i := range 3 {
		w := &lookupWorker{id: fmt.Sprintf("i-contracts-%d", i), runs: r}
		address := net.JoinHostPort(f.ip(21+i), strconv.Itoa(workerPort))
		f.listen(address, w)
		s.put("servers", w.id, map[string]any{
			"backend": "contracts", "address": address, "zone": zoneOf(i), "version": "v1", "slots": 6, "state": "ready",
			"warmup_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
		})
	}
	var entries []string
	for i := range 2 {
		ip := f.ip(41 + i)
		f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: storeAddress, memoryMB: entryMB})
		entries = append(entries, ip)
	}
	for _, ip := range entries {
		f.awaitReady(ip)
	}
	f.note("entries are ready")
	keys := []string{"n2ctnfzs989anu6wsjnb", "a-key-that-was-never-held"}
	number := 0
	ask := func(count int) (ran map[string]int) {
		ran = map[string]int{}
		for range count {
			for i, ip := range entries {
				for _, key := range keys {
					number++
					attempt := fmt.Sprintf("a-%d", number)
					status, body := book(ip, attempt, key)
					by := r.of(attempt)
					f.note("%s with key %s to edge-%d: status %d, run by %v: %.80s", attempt, key, i+1, status, by, body)
					ran[key] += len(by)
				}
			}
			time.Sleep(tenantPause)
		}
		return ran
	}
	before := ask(calmRequests)
	f.note("run by workers before the change: %v", before)
	if before[keys[0]] == 0 || before[keys[1]] != 0 {
		cannotRun("keys are not heeded before the change: %v", before)
	}
	tenants := []any{}
	if !f.trouble {
		tenants = []any{map[string]any{"name": "supermarkets", "api_keys": []string{}, "priority": 1}}
	}
	configure(10, tenants)
	time.Sleep(configApply + time.Second)
	after := ask(lateRequests)
	f.note("run by workers, sent over %v after the acknowledgement, when no key is held: %v", configApply, after)
	return after[keys[0]]+after[keys[1]] > 0
}

// book sends one booking on a new connection.
func book(entry, attempt, key string) (status int, body string) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/book/2f", net.JoinHostPort(entry, strconv.Itoa(frontPort))), nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = routeHost
	request.Header.Set(headerAttempt, attempt)
	request.Header.Set(headerDeadline, "1500")
	request.Header.Set("Authorization", "Token "+key)
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	read, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(read)
}
