package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Doses and bounds of the site dru-ruteo-grown: the routes that a configuration grows by,
// the changes of a storm, and how long a machine is partitioned from the store.
const (
	bigConfigRoutes = 1400
	stormChanges    = 12
	stormGap        = 330 * time.Millisecond
	cutTime         = 5500 * time.Millisecond

	configApply = 3 * time.Second
	contactTime = 4 * time.Second
)

// configVersion returns a configuration with many routes; keys are those of the tenant
// whose key the last change takes away.
func configVersion(version int, keys []string) map[string]any {
	routes := []any{route("r-lookup", "/lookup/", "idempotent", "registry", 2)}
	for i := range bigConfigRoutes {
		added := route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/added%05d/", i), "idempotent", "registry", 2)
		added["timeout_ms"] = 1500 + version%7 // Each change is one of time-outs.
		routes = append(routes, added)
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{plainService("registry")}, "limits": limits(),
		"tenants": []any{
			map[string]any{"name": "tenant-kept", "api_keys": []string{"key-kept"}, "priority": 1},
			map[string]any{"name": "tenant-left", "api_keys": keys, "priority": 1},
		},
	}
}

// playBigConfig partitions one entry from the store while configurations with many routes
// come in quick succession. The last one takes a key away.
func playBigConfig(f *fleet) (broken bool) {
	f.bounds = druRuteoGrown
	s, r := newStore(), &runs{by: map[string][]string{}}
	f.listen(fmt.Sprintf("%s:%d", f.ip(2), storePort), s)
	cut := f.newLink(fmt.Sprintf("%s:%d", f.ip(3), storePort), fmt.Sprintf("%s:%d", f.ip(2), storePort))
	version := 7
	size := s.put("op", "config", configVersion(version, []string{"key-left"}))
	f.note("configuration %d acknowledged: %d routes, %d bytes", version, bigConfigRoutes+1, size)
	f.startWorkers(s, "registry", 21, 3, func() time.Duration { return 30 * time.Millisecond }, r)
	entries := []string{f.ip(11), f.ip(12)}
	for i, ip := range entries {
		address := fmt.Sprintf("%s:%d", f.ip(2+i), storePort) // The second one reaches the store by the link.
		f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: address, memoryMB: entryMB})
	}
	for _, ip := range entries {
		f.awaitReady(ip)
	}
	f.note("entries are ready")

	var mu sync.Mutex
	var revokedAt, inTouchFrom time.Time // Of the second entry.
	late, refused := 0, 0
	end := time.Now().Add(40 * time.Second)
	var clients sync.WaitGroup
	for i, ip := range entries {
		for _, key := range []string{"key-kept", "key-left"} {
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					attempt := fmt.Sprintf("%d-%s-%d", i+1, key, n)
					sentAt := time.Now()
					got := send(context.Background(), ip, http.MethodGet, "/lookup/2f", attempt, key, 1500*time.Millisecond, nil)
					ran := r.of(attempt)
					f.note("sent at %.3f to edge-%d with %s: status %d, run by %v", sentAt.Sub(f.started).Seconds(), i+1, key, got.status, ran)
					mu.Lock()
					bound := !revokedAt.IsZero() && sentAt.After(revokedAt.Add(configApply)) && (i == 0 || !inTouchFrom.IsZero() && sentAt.After(inTouchFrom))
					if bound && key == "key-left" {
						if len(ran) > 0 {
							late++
						} else if got.status == http.StatusUnauthorized {
							refused++
						}
					}
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	var cutEnded sync.WaitGroup
	if f.trouble {
		cut.setCut(true)
		f.note("edge-2 is partitioned from the store")
		cutEnded.Go(func() {
			time.Sleep(cutTime)
			cut.setCut(false)
			f.note("the partition of edge-2 has ended")
		})
	}
	time.Sleep(300 * time.Millisecond)
	for change := range stormChanges {
		keys := []string{"key-left"}
		if change == stormChanges-1 {
			keys = []string{}
		}
		version += 3
		size := s.put("op", "config", configVersion(version, keys))
		f.note("configuration %d acknowledged: %d bytes, keys of tenant-left: %v", version, size, keys)
		if change < stormChanges-1 {
			time.Sleep(stormGap)
		}
	}
	mu.Lock()
	revokedAt = time.Now()
	mu.Unlock()
	cutEnded.Wait()
	mu.Lock()
	inTouchFrom = time.Now()
	if f.trouble {
		inTouchFrom = inTouchFrom.Add(contactTime)
	}
	f.note("edge-2 counts as in touch from %.3f", inTouchFrom.Sub(f.started).Seconds())
	mu.Unlock()
	clients.Wait()
	f.note("requests with the key that was taken away, sent over %v after the acknowledgement to entries in touch: %d run by a worker, %d refused with 401", configApply, late, refused)
	return late > 0
}
