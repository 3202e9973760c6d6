package retry

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/result"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, requests, retries := NewBudget(), 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "requests") {
			if request {
				requests++
				budget = budget.Deposit()
				continue
			}
			var ok bool
			if budget, ok = budget.Withdraw(); ok {
				retries++
			}
		}
		if float64(retries) > TokenRatio*float64(requests)+MaxTokens {
			t.Fatalf("%d retries for %d requests exceed the budget", retries, requests)
		}
	})
}

func TestRetriableOnlyForSafeAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := Attempt{
			Number: rapid.IntRange(1, 5).Draw(t, "number"), ResponseStarted: rapid.Bool().Draw(t, "begun"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Err:        &result.Error{Code: rapid.SampledFrom(result.Codes()).Draw(t, "code")},
			Waited:     time.Duration(rapid.IntRange(0, 1000).Draw(t, "waited")) * time.Millisecond,
			Remaining:  time.Duration(rapid.IntRange(-10, 100).Draw(t, "remaining")) * time.Millisecond,
		}
		if !Retriable(attempt) {
			return
		}
		if attempt.ResponseStarted || (IsLoadRefusal(attempt.Err.Code) && attempt.Waited > time.Second/2) || attempt.Remaining <= 0 || attempt.Number >= maxAttempts {
			t.Fatalf("attempt %+v is retriable", attempt)
		}
		if !attempt.Err.NotRun() && !attempt.Idempotent {
			t.Fatalf("attempt that may have run is retriable after error %v", attempt.Err)
		}
	})
}

func TestFinalErrorSetsRetryAfter(t *testing.T) {
	for _, code := range result.Codes() {
		err := FinalError(&result.Error{Code: code}, 1<<63)
		if result.Describe(code).Retryable != (err.RetryAfter > 0) {
			t.Errorf("code %v: RetryAfter = %v", code, err.RetryAfter)
		}
	}
	if early := FinalError(&result.Error{Code: result.Overloaded, RetryAfter: time.Second}, 0); early.RetryAfter < time.Second {
		t.Errorf("RetryAfter = %v, want at least 1s", early.RetryAfter)
	}
}

func TestRetriableAfterLongWaitWhenAgentIsGone(t *testing.T) {
	Convey("An attempt at an agent that is gone is retriable after any wait, since detecting a dead agent takes longer than the wait allowed in a queue", t, func() {
		for _, code := range []result.Code{result.NoBackendServer, result.Leaving, result.DataCentreOut} {
			So(Retriable(Attempt{
				Number: 1, Err: &result.Error{Code: code}, Waited: 3 * time.Second, Remaining: time.Minute,
			}), ShouldBeTrue)
		}
	})
}

func TestRetriesOfManyEntries(t *testing.T) {
	Convey("However many entries run, what they save up together stays within the deployment's reserve and ratio", t, func() {
		const reserve, ratio, requestsInWindow = 158.0, 0.12, 3540.0 // 354 requests a second for 10 s; 0.6 of the platform's limits.
		for _, entries := range []int{8, 53, 71, 330} {
			retries := 0
			for range entries {
				budget := NewBudgetWith(ratio, 1).Resize(max(1, reserve/float64(entries)))
				for range int(requestsInWindow) / entries {
					budget = budget.Deposit()
				}
				for ok := true; ok; {
					if budget, ok = budget.Withdraw(); ok {
						retries++
					}
				}
			}
			So(retries, ShouldBeLessThanOrEqualTo, reserve+ratio*requestsInWindow)
		}
	})
	Convey("A budget that shrinks keeps at most its new maximum, and one that grows is filled by the difference", t, func() {
		budget := NewBudgetWith(0.1, 10).Resize(2)
		So(budget.tokens, ShouldEqual, 2)
		budget, _ = budget.Withdraw()
		So(budget.Resize(5).tokens, ShouldEqual, 4)
	})
}
