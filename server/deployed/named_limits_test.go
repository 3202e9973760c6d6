package deployed

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against sending a server more than the limit that it names, in all answers, for
// all entries together (LIMIT, the day "capped" on glorieta-ops).
func TestServersGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	const (
		limit         = 2.3 // Requests a second.
		window        = 4 * time.Second
		allowed       = 1.5*limit*4 + 5 // Requests in a window.
		limited       = fleetEngines - 2
		warmUp        = time.Second
		testPeriod    = 12 * time.Second
		interval      = 18 * time.Millisecond
		leastServed   = 0.9
		leastOfLimits = 0.4 // Of what the servers with a limit take.
	)
	f := newFleet(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	var sent, served atomic.Int64
	every(&callers, interval, testPeriod, func(random *rand.Rand) {
		sent.Add(1)
		if f.send(client, random, pick(random, firstParts)) {
			served.Add(1)
		}
	})
	time.Sleep(warmUp)
	f.mu.Lock()
	for number := range limited {
		f.limits[number] = strconv.FormatFloat(limit, 'f', -1, 64)
	}
	namedAt := time.Now()
	f.mu.Unlock()
	callers.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for number, arrivals := range f.arrived {
		highest := 0
		for i, from := range arrivals {
			if from.Before(namedAt.Add(contactTime)) {
				continue
			}
			total++
			n := i
			for n < len(arrivals) && arrivals[n].Sub(from) < window {
				n++
			}
			highest = max(highest, n-i)
		}
		t.Logf("engine %d got at most %d requests in %v", number, highest, window)
		if float64(highest) > allowed {
			t.Errorf("engine %d with a limit of %v a second got %d requests in %v, %v are allowed", number, limit, highest, window, allowed)
		}
	}
	period := testPeriod - warmUp - contactTime
	t.Logf("%d of %d requests served; the servers with a limit got %d", served.Load(), sent.Load(), total)
	if float64(total) < leastOfLimits*limit*limited*period.Seconds() {
		t.Errorf("the servers with a limit got %d requests in %v, far below their limits", total, period)
	}
	if float64(served.Load()) < leastServed*float64(sent.Load()) {
		t.Errorf("%d of %d requests served, although two servers have no limit", served.Load(), sent.Load())
	}
}
