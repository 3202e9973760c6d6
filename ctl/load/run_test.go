package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/openai"
	"persimmonwind.dev/server/standin/engine"
)

// fakeEntry starts a server that answers chats correctly, unless handle answers
// the request itself and returns true.
func fakeEntry(t *testing.T, handle func(w http.ResponseWriter, r *http.Request, text string) bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var chat chatBody
		_ = json.NewDecoder(r.Body).Decode(&chat)
		text := chat.Messages[0].Content
		if handle != nil && handle(w, r, text) {
			return
		}
		writeChat(w, text, chat.MaxTokens)
		fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func writeChat(w http.ResponseWriter, text string, tokens int) {
	for index := range tokens {
		body, _ := json.Marshal(openai.Response{Choices: []openai.Choice{{
			Delta: &openai.ChatText{Content: engine.Token(enginePrompt(text), index)},
		}}})
		fmt.Fprintf(w, "data: %s\n\n", body)
	}
}

func refuse(w http.ResponseWriter, code result.Code, wait time.Duration) {
	w.WriteHeader(result.Describe(code).HTTPStatus)
	_ = json.NewEncoder(w).Encode(openai.ErrorOf(&result.Error{Code: code, RetryAfter: wait}))
}

func testOptions(entry string) Options {
	options := DefaultOptions()
	options.Entries = []string{entry}
	options.Arrivals = Arrivals{Shape: Constant, Rate: 100}
	options.Duration, options.WarmUp = 200*time.Millisecond, 0
	options.Workload.Calls = nil
	options.Workload.MinTokens, options.Workload.MaxTokens = 3, 9
	return options
}

func runLoad(options Options) *PathResult {
	loadResult, err := Run(context.Background(), options, nil)
	So(err, ShouldBeNil)
	return loadResult.Entry
}

func TestRun(t *testing.T) {
	Convey("Complete answers are counted as whole", t, func() {
		entryResult := runLoad(testOptions(fakeEntry(t, nil)))
		So(entryResult.Outcomes, ShouldResemble, map[Outcome]int{Whole: 19})
		So(entryResult.FirstToken.Count, ShouldEqual, 19)
	})

	Convey("A well-formed answer that belongs to another request is counted as wrong", t, func() {
		entryResult := runLoad(testOptions(fakeEntry(t, func(w http.ResponseWriter, _ *http.Request, text string) bool {
			writeChat(w, text+"x", 5)
			fmt.Fprint(w, "data: [DONE]\n\n")
			return true
		})))
		So(entryResult.Outcomes, ShouldResemble, map[Outcome]int{Wrong: 19})
	})

	Convey("An answer without its end marker is counted as cut, one with an error event as failed", t, func() {
		var count atomic.Int64
		entryResult := runLoad(testOptions(fakeEntry(t, func(w http.ResponseWriter, _ *http.Request, text string) bool {
			writeChat(w, text, 2)
			if count.Add(1) == 1 {
				body, _ := json.Marshal(openai.ErrorOf(&result.Error{Code: result.CutAnswer}))
				fmt.Fprintf(w, "data: %s\n\n", body)
			}
			return true
		})))
		So(entryResult.Outcomes, ShouldResemble, map[Outcome]int{Cut: 18, Failed: 1})
		So(entryResult.Codes, ShouldResemble, map[string]int{"3002 cut_answer": 1})
	})

	Convey("A refusal is counted by its code, and with retries it is retried after its Retry-After time", t, func() {
		var mu sync.Mutex
		refused := map[string]time.Time{}
		early := 0
		const wait = 30 * time.Millisecond
		entry := fakeEntry(t, func(w http.ResponseWriter, _ *http.Request, text string) bool {
			mu.Lock()
			defer mu.Unlock()
			at, again := refused[text]
			if !again {
				refused[text] = time.Now()
				refuse(w, result.Overloaded, wait)
				return true
			}
			if time.Since(at) < wait {
				early++
			}
			return false
		})
		options := testOptions(entry)
		So(runLoad(options).Codes, ShouldResemble, map[string]int{"2002 overloaded": 19})
		clear(refused)
		options.MaxRetries = 1
		entryResult := runLoad(options)
		So(entryResult.Outcomes, ShouldResemble, map[Outcome]int{Whole: 19})
		So(entryResult.RetriedCodes, ShouldResemble, map[string]int{"2002 overloaded": 19})
		So(entryResult.Attempts, ShouldEqual, 38)
		So(early, ShouldEqual, 0)
		So(entryResult.FirstToken.P50, ShouldBeGreaterThanOrEqualTo, toMilliseconds(wait))
	})

	Convey("Arrivals do not wait for answers: all requests are in flight at once at a stalled entry", t, func() {
		var waiting atomic.Int64
		release := make(chan struct{})
		entryResult := runLoad(testOptions(fakeEntry(t, func(http.ResponseWriter, *http.Request, string) bool {
			if waiting.Add(1) == 19 {
				close(release)
			}
			<-release
			return false
		})))
		So(entryResult.Outcomes[Whole], ShouldEqual, 19)
		So(entryResult.FirstToken.Max, ShouldBeGreaterThan, 150)
	})

	Convey("An arrival beyond the in-flight limit is counted as dropped", t, func() {
		options := testOptions(fakeEntry(t, func(w http.ResponseWriter, r *http.Request, _ string) bool {
			<-r.Context().Done()
			return true
		}))
		options.MaxInFlight, options.Timeout = 5, 400*time.Millisecond
		So(runLoad(options).Outcomes, ShouldResemble, map[Outcome]int{TimedOut: 5, Dropped: 14})
	})

	Convey("A target that is not a loopback address requires AllowRemote", t, func() {
		options := testOptions("http://192.0.2.1:80")
		So(options.Validate(), ShouldWrap, ErrNotLoopback)
		options.AllowRemote = true
		So(options.Validate(), ShouldBeNil)
	})
}
