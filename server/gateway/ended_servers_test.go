package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/quarantine"
)

// recordingGuard is a Guard that records its calls. It refuses prompts with the part
// "bad0".
type recordingGuard struct {
	unguarded
	mu               sync.Mutex
	broken, answered []quarantine.Request
}

func (g *recordingGuard) Check(request quarantine.Request) *result.Error {
	for _, part := range request.Parts {
		if part == "bad0" {
			refused := result.Errorf(result.CrashingRequest, "part %s", part)
			refused.RetryAfter = time.Minute
			return refused
		}
	}
	return nil
}

func (g *recordingGuard) Broken(request quarantine.Request, _, _ string, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = append(g.broken, request)
}

func (g *recordingGuard) Answered(request quarantine.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = append(g.answered, request)
}

// refusingQueue is a Guard that ends the waiting of every request.
type refusingQueue struct{ unguarded }

func (refusingQueue) Queued(_ quarantine.Request, cancel context.CancelCauseFunc) func() {
	refused := result.Errorf(result.CrashingRequest, "part")
	refused.RetryAfter = time.Minute
	cancel(refused)
	return func() {}
}

func TestGuardedPrompts(t *testing.T) {
	withPrompt := func(parts string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(header.Prefix, parts) }
	}
	Convey("A prompt that the guard refuses reaches no server, and its caller learns that it has not run", t, func() {
		b := newBackend("b1", func(_ int, w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2, true) })
		s := newSystem(b)
		defer s.close(b)
		s.gateway.guard = &recordingGuard{}
		response, _, err := s.send("POST", "/stream/x", "", withPrompt("aa:40,bad0:200,cc:7"))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(b.requestCount(), ShouldEqual, 0)
		response, _, err = s.send("POST", "/stream/x", "", withPrompt("aa:40,cc:7,bad0:200"))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200) // The last part belongs to the request alone.
	})
	waiting := map[string]struct {
		guard Guard
		parts string
	}{
		"A request that waits for a server is refused as soon as the guard says so": {refusingQueue{}, "aa:40,cc:7"},
		"A prompt that the guard refuses does not wait for a server before it is":   {&recordingGuard{}, "aa:40,bad0:200,cc:7"},
	}
	for name, c := range waiting {
		Convey(name, t, func() {
			const (
				slots    = 4
				busyTime = 1200 * time.Millisecond
			)
			b := newBackend("b1", func(_ int, w http.ResponseWriter, _ *http.Request) {
				time.Sleep(busyTime)
				writeEvents(w, 1, 2, true)
			})
			s := newSystem(b)
			defer s.close(b)
			s.gateway.guard = c.guard
			var others sync.WaitGroup
			for range slots {
				others.Go(func() { _, _, _ = s.send("POST", "/stream/x", "", nil) })
			}
			time.Sleep(100 * time.Millisecond)
			sentAt := time.Now()
			response, _, err := s.send("POST", "/stream/x", "", withPrompt(c.parts))
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
			So(time.Since(sentAt), ShouldBeLessThan, busyTime*2/3)
			others.Wait()
		})
	}
	Convey("Only requests that have not been answered are reported as broken, and the others as answered", t, func() {
		cases := []struct {
			name             string
			script           func(n int, w http.ResponseWriter, r *http.Request)
			broken, answered int
		}{
			{"a whole stream", func(_ int, w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3, true) }, 0, 1},
			{"broken off before an event, then whole", firstThenRest(
				func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
				func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3, true) },
			), 1, 1},
			{"broken off right after the first event", func(n int, w http.ResponseWriter, _ *http.Request) { writeEvents(w, n, n, false) }, 1, 0},
			{"broken off a while after the first event", func(n int, w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, n, n, true)
				time.Sleep(300 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}, 0, 2},
			{"refused", func(_ int, w http.ResponseWriter, _ *http.Request) { writeRefusal(w) }, 0, 0},
		}
		for _, c := range cases {
			first, second := newBackend("b1", c.script), newBackend("b2", c.script)
			s := newSystem(first, second)
			guard := &recordingGuard{}
			s.gateway.guard = guard
			_, _, _ = s.send("POST", "/stream/x", "", withPrompt("aa:40,bb:200,cc:7"))
			guard.mu.Lock()
			So(c.name+fmt.Sprint(len(guard.broken) > 0), ShouldEqual, c.name+fmt.Sprint(c.broken > 0))
			So(c.name+fmt.Sprint(len(guard.answered) > 0), ShouldEqual, c.name+fmt.Sprint(c.answered > 0))
			for _, request := range append(guard.broken, guard.answered...) {
				So(request, ShouldResemble, quarantine.Request{Service: "s", Suspect: poison.Suspect{
					Organisation: "org-a", Parts: []string{"aa", "bb"}, Fingerprint: poison.Fingerprint("POST", "/stream/x", "org-a", nil),
				}})
			}
			guard.mu.Unlock()
			s.close(first, second)
		}
	})
}

func TestLogTellsHowAnExchangeEndedAndWhichRequestItWas(t *testing.T) {
	Convey("The line of an attempt whose server closes the connection tells the parts but the last, and the fingerprint", t, func() {
		b := newBackend("b1", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			writeEvents(w, 1, 2, true)
		})
		s := newSystem(b)
		defer s.close(b)
		hook := logtest.NewLocal(s.gateway.log.Logger)
		_, _, err := s.send("POST", "/stream/x", "", func(r *http.Request) { r.Header.Set(header.Prefix, "aa:40,bb:200,cc:7") })
		So(err, ShouldBeNil)
		lines := 0
		for _, entry := range hook.AllEntries() {
			if entry.Data["event"] != logevent.AttemptFailed.ID {
				continue
			}
			lines++
			So(entry.Data["end"], ShouldEqual, "closed")
			So(entry.Data["events"], ShouldEqual, 0)
			So(entry.Data["organisation"], ShouldEqual, "org-a")
			So(fmt.Sprint(entry.Data["parts"]), ShouldEqual, "[aa bb]")
			So(entry.Data["fingerprint"], ShouldEqual, poison.Fingerprint("POST", "/stream/x", "org-a", nil))
		}
		So(lines, ShouldEqual, 1)
	})
}
