package deployed

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
)

// Guards against entries that use the malformed rows in the list of servers, end
// because of them, or follow the list no more.
func TestEntriesBesideMalformedRows(t *testing.T) {
	const (
		interval = 20 * time.Millisecond
		period   = 2 * time.Second
	)
	f := newFleet(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var sent, served atomic.Int64
	call := func() {
		var callers sync.WaitGroup
		every(&callers, interval, period, func(random *rand.Rand) {
			sent.Add(1)
			if f.sendTo(client, random, "/look/x") {
				served.Add(1)
			}
		})
		callers.Wait()
	}
	for _, service := range []string{platformtest.PlainService, platformtest.EngineService} {
		for name, value := range platformtest.MalformedServerRows(service) {
			f.store.PutBytes(platform.TableServers, service+" with "+name, []byte(value))
		}
	}
	call()
	// The list is followed behind the malformed rows.
	const added = fleetEngines + fleetPlain
	f.mu.Lock()
	f.limits[added] = "1000" // Counts its requests.
	f.mu.Unlock()
	f.startServer(added, 0)
	time.Sleep(contactTime)
	call()
	if served.Load() != sent.Load() {
		t.Errorf("%d of %d requests served", served.Load(), sent.Load())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.arrived[added]) == 0 {
		t.Error("a server that was added behind the malformed rows got no request")
	}
}
