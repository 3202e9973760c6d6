package deployed

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/platform/platformtest"
)

// changeInForce is the time within which a change of the configuration is in force.
const changeInForce = 2 * time.Second

// statusOf returns the status of a request with the key at an entry, without the header for
// an empty key.
func (f *fleet) statusOf(client *http.Client, entry, path, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader("work"))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "soak.example"
	request.Header.Set(header.AttemptID, fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set(header.Deadline, "5000")
	if key != "" {
		request.Header.Set(header.Authorization, "Token "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		f.t.Errorf("%s with key %q: %v", path, key, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against requests of anybody that run as the last organisation has been removed: an
// empty list of organisations counted as none being configured.
func TestEmptyListOfOrganisations(t *testing.T) {
	const (
		neverHeld  = "a-key-that-was-never-held"
		guarded    = "/stream/x"
		public     = "/look/x"
		ok, denied = http.StatusOK, http.StatusUnauthorized
	)
	f := newFleet(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	organisation := func(keys any) []any { return []any{platformtest.Organisation("org-a", keys)} }
	missing := struct{}{}
	steps := []struct {
		name          string
		organisations any
		refused       bool           // The configuration is not put in force.
		want          map[string]int // Statuses on the guarded route by key.
	}{
		{"an organisation", organisation([]any{fleetKey}), false, map[string]int{fleetKey: ok, neverHeld: denied, "": denied}},
		{"an empty list", []any{}, false, map[string]int{fleetKey: denied, neverHeld: denied, "": denied}},
		{"an organisation again", organisation([]any{fleetKey}), false, map[string]int{fleetKey: ok, neverHeld: denied, "": denied}},
		{"null in place of the list", nil, false, map[string]int{fleetKey: denied, neverHeld: denied, "": denied}},
		{"an organisation without keys", organisation([]any{}), false, map[string]int{fleetKey: denied, neverHeld: denied, "": denied}},
		{"an organisation with null in place of its keys", organisation(nil), false, map[string]int{fleetKey: denied, neverHeld: denied, "": denied}},
		{"an organisation with an empty key", organisation([]any{"", fleetKey}), false, map[string]int{fleetKey: ok, neverHeld: denied, "": denied}},
		{"an object in place of the list, which changes nothing", map[string]any{}, true, map[string]int{fleetKey: ok, neverHeld: denied, "": denied}},
		{"a text in place of the list, which changes nothing", "", true, map[string]int{fleetKey: ok, neverHeld: denied, "": denied}},
		{"no list at all", missing, false, map[string]int{fleetKey: ok, neverHeld: ok, "": ok}},
		{"an organisation after no list", organisation([]any{fleetKey}), false, map[string]int{fleetKey: ok, neverHeld: denied, "": denied}},
	}
	for i, step := range steps {
		config := platformtest.Configuration(int64(10+i), platformtest.Shape{Ranks: fleetEngines, Sets: 2, Experts: 16, Places: 6}, false)
		platformtest.RequireKey(config, "org-a", fleetKey)
		platformtest.SetOrganisations(config, step.organisations)
		if step.organisations == missing {
			platformtest.RemoveOrganisations(config)
		}
		f.put(platform.TableOperators, platformtest.ConfigurationKey, config)
		end := time.Now().Add(changeInForce)
		if step.refused {
			time.Sleep(changeInForce)
		}
		for _, entry := range f.entries {
			for key, want := range step.want {
				got := f.statusOf(client, entry, guarded, key)
				for got != want && time.Now().Before(end) {
					time.Sleep(20 * time.Millisecond)
					got = f.statusOf(client, entry, guarded, key)
				}
				if got != want {
					t.Errorf("%s: status %d with key %q, want %d", step.name, got, key, want)
				}
			}
			if got := f.statusOf(client, entry, public, neverHeld); got != ok {
				t.Errorf("%s: status %d on a public route", step.name, got)
			}
		}
	}
}
