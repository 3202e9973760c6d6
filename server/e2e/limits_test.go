package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/share"
	"persimmonwind.dev/server/dev"
)

// TestARateLimitHoldsAcrossEntries checks that the requests admitted by all entries
// together stay within 10 % of the organisation's rate limit, and that the others are
// refused as rate limited.
func TestARateLimitHoldsAcrossEntries(t *testing.T) {
	const rate, burst = 20, 20
	s := newSystem(t)
	files, err := dev.ReadFiles("")
	if err != nil {
		t.Fatal(err)
	}
	organisations := strings.Replace(string(files[config.FileOrganisations]), `"requests_per_second": 10000`, fmt.Sprintf(`"requests_per_second": %d`, rate), 1)
	files[config.FileOrganisations] = []byte(organisations)
	s.apply(files)
	s.addBackend("registry-1", "dc-3", "service", "--work-time", "1ms")
	for index := range 3 {
		s.addEntry(fmt.Sprintf("entry-%d", index+1), "dc-1")
	}
	time.Sleep(time.Second)
	started := time.Now()
	admitted, refused := 0, 0
	for time.Since(started) < 4*time.Second {
		for entry := range s.entries {
			status, body := s.post(entry, "/v1/services/registry/lookup", "{}")
			switch status {
			case http.StatusOK:
				admitted++
			case http.StatusTooManyRequests:
				refused++
				checkRateLimited(t, body)
			default:
				t.Fatalf("status %d: %s", status, body)
			}
		}
	}
	limit := rate*time.Since(started).Seconds() + burst
	t.Logf("%d admitted, %d refused, limit %.0f", admitted, refused, limit)
	if float64(admitted) > 1.1*limit || float64(admitted) < 0.9*(limit-burst) {
		t.Errorf("%d admitted, limit %.0f including the burst of %d", admitted, limit, burst)
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}

func checkRateLimited(t *testing.T, body string) {
	t.Helper()
	var answer struct{ Error struct{ Code string } }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || answer.Error.Code != "rate_limited" {
		t.Fatalf("refusal is not rate_limited: %s", body)
	}
}

// TestBurstBelowRateIsNotLimited checks that a burst of concurrent requests below the
// organisation's rate is not limited.
func TestBurstBelowRateIsNotLimited(t *testing.T) {
	const burst = 300
	s := newSystem(t)
	s.addBackend("registry-1", "dc-3", "service", "--work-time", "1ms")
	s.addEntry("entry-1", "dc-1")
	s.addEntry("entry-2", "dc-2")           // One of the two entries is the organisation's home, which leases its limits to both.
	time.Sleep(share.SlotTTL + time.Second) // Waits until concurrency slots leased by an earlier home entry have expired.
	var limited atomic.Int64
	var wg sync.WaitGroup
	for number := range burst {
		entry := fmt.Sprintf("entry-%d", number%2+1)
		wg.Go(func() {
			if status, _ := s.post(entry, "/v1/services/registry/lookup", "{}"); status == http.StatusTooManyRequests {
				limited.Add(1)
			}
		})
	}
	wg.Wait()
	if limited.Load() > 0 {
		t.Errorf("%d of %d requests were limited", limited.Load(), burst)
	}
}
