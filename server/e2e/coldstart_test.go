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
)

// TestColdTurnsUnderLoadFromSeveralEntries sends load through several entries while
// engines turn cold and restart unannounced and an agent is killed. It guards against
// admission at the warm limit of an engine that has turned cold: no engine may be
// overloaded, and every answer must be complete.
func TestColdTurnsUnderLoadFromSeveralEntries(t *testing.T) {
	s := newSystem(t)
	engines := []string{"engine-1", "engine-2"}
	for index, name := range engines {
		s.addBackend(name, fmt.Sprintf("dc-%d", index+1), "engine", "--warm-after", "12", "--cold-delay", "400ms")
	}
	for index := range 3 {
		s.addEntry(fmt.Sprintf("entry-%d", index+1), "dc-1")
	}
	load := s.startLoad(8)
	time.Sleep(4 * time.Second)
	s.send(http.MethodPost, s.backendURLs["engine-1"]+"/test/cold")
	time.Sleep(3 * time.Second)
	s.send(http.MethodPost, s.backendURLs["engine-2"]+"/test/restart")
	s.send(http.MethodPost, s.backendURLs["engine-1"]+"/test/cold")
	time.Sleep(time.Second)
	s.agents["engine-1"].kill()
	s.send(http.MethodPost, s.backendURLs["engine-1"]+"/test/cold")
	s.startAgent("engine-1", "dc-1", "engine")
	time.Sleep(2 * time.Second)
	load.stop()
	t.Logf("%d answered, %d refused, %d failed", load.answered.Load(), load.refused.Load(), load.failed.Load())
	if load.answered.Load() == 0 {
		t.Error("no request was answered")
	}
	if load.incorrect.Load() != 0 {
		t.Errorf("%d answers were incomplete or wrong", load.incorrect.Load())
	}
	for _, name := range engines {
		if overloads := s.overloads(name); overloads != 0 {
			t.Errorf("engine %s was overloaded %d times", name, overloads)
		}
	}
}

// callerLoad is the load of concurrent callers at all entries, with counters of the
// outcomes of their requests.
type callerLoad struct {
	answered, refused, failed, incorrect atomic.Int64
	stopped                              chan struct{}
	wg                                   sync.WaitGroup
}

// startLoad starts the given number of callers at each entry, each with one request
// in flight.
func (s *system) startLoad(callers int) *callerLoad {
	l := &callerLoad{stopped: make(chan struct{})}
	for entry := range s.entries {
		for caller := range callers {
			l.wg.Go(func() { l.callRepeatedly(s, entry, caller) })
		}
	}
	return l
}

func (l *callerLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}

func (l *callerLoad) callRepeatedly(s *system, entry string, caller int) {
	for number := 0; ; number++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		prompt := fmt.Sprintf("%s caller %d request %d %s", entry, caller, number, strings.Repeat("word ", 200))
		status, body := s.post(entry, "/v1/completions", fmt.Sprintf(`{"model":"soap-assistant","max_tokens":40,"prompt":%q}`, prompt))
		l.count(status, body, wantAnswer(prompt, 40))
	}
}

func (l *callerLoad) count(status int, body, want string) {
	var answer struct {
		Choices []struct{ Text string }
	}
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal([]byte(body), &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Text != want {
			l.incorrect.Add(1)
			return
		}
		l.answered.Add(1)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		l.refused.Add(1)
		time.Sleep(50 * time.Millisecond)
	default:
		l.failed.Add(1)
	}
}

// send sends a request without a body.
func (s *system) send(method, url string) {
	s.t.Helper()
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	response.Body.Close()
}

func (s *system) overloads(name string) int {
	s.t.Helper()
	return s.number(s.backendURLs[name] + "/test/overloads")
}

// number returns the number in the response to a GET of the URL.
func (s *system) number(url string) int {
	s.t.Helper()
	response, err := http.Get(url)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var number int
	if err := json.NewDecoder(response.Body).Decode(&number); err != nil {
		s.t.Fatal(err)
	}
	return number
}
