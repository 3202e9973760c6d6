package deployed

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// Guards against prompts of one content that end engine after engine: every entry
// sends them on, and so does each retry (BUDGET, inc1 on glorieta-ops).
func TestPromptsThatCrashEnginesStopBeingSent(t *testing.T) {
	const (
		testPeriod      = 14 * time.Second
		soundInterval   = 20 * time.Millisecond
		crashInterval   = 100 * time.Millisecond
		crashesToLearn  = 5 // Engines that may end before the prompts must be known.
		allowedSends    = 3 // Sends that may follow later than contactTime after that.
		leastSoundShare = 0.5
	)
	f := newFleet(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	type outcome struct {
		at     time.Time
		served bool
	}
	var mu sync.Mutex
	var sound []outcome
	var callers sync.WaitGroup
	every(&callers, soundInterval, testPeriod, func(random *rand.Rand) {
		sentAt := time.Now()
		served := f.send(client, random, pick(random, firstParts), pick(random, subjects))
		mu.Lock()
		defer mu.Unlock()
		sound = append(sound, outcome{sentAt, served})
	})
	every(&callers, crashInterval, testPeriod, func(random *rand.Rand) {
		f.send(client, random, pick(random, firstParts), pick(random, subjects), crashingPart)
	})
	callers.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.crashes, time.Time.Compare)
	t.Logf("%d engines ended, %d prompts that crash them were sent", len(f.crashes), len(f.reached))
	last := f.crashes[min(len(f.crashes), crashesToLearn)-1]
	late := 0
	for _, at := range f.reached {
		if at.After(last.Add(contactTime)) {
			late++
		}
	}
	if len(f.crashes) >= crashesToLearn && late > allowedSends {
		t.Errorf("%d prompts reached engines later than %v after the %dth had ended, %d are allowed", late, contactTime, crashesToLearn, allowedSends)
	}
	sent, served := 0, 0
	for _, request := range sound {
		if request.at.After(last.Add(2*contactTime)) && request.at.Before(sound[len(sound)-1].at.Add(-time.Second)) {
			sent++
			if request.served {
				served++
			}
		}
	}
	t.Logf("%d of %d sound prompts were answered afterwards", served, sent)
	if sent < 20 || float64(served) < leastSoundShare*float64(sent) {
		t.Errorf("%d of %d sound prompts with the same organisation and parts were answered", served, sent)
	}
}
