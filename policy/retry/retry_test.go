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

func TestRetriesStayWithinTheBudget(t *testing.T) {
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
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestOnlyHarmlessAttemptsAreRetried(t *testing.T) {
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
			t.Fatalf("%+v is retried", attempt)
		}
		if !attempt.Err.NotRun() && !attempt.Idempotent {
			t.Fatalf("%v may have run and is retried", attempt.Err)
		}
	})
}

func TestARequestGivenUpOnSaysWhenToComeBack(t *testing.T) {
	for _, code := range result.Codes() {
		err := FinalError(&result.Error{Code: code}, 1<<63)
		if result.Describe(code).ComeBack != (err.RetryAfter > 0) {
			t.Errorf("%v: come back after %v", code, err.RetryAfter)
		}
	}
	if early := FinalError(&result.Error{Code: result.Overloaded, RetryAfter: time.Second}, 0); early.RetryAfter < time.Second {
		t.Errorf("told to come back after %v, before the time", early.RetryAfter)
	}
}

func TestWorkRefusedByADeadAgentIsRetriedHoweverLongItWaited(t *testing.T) {
	Convey("Noticing a dead agent takes longer than a queue may", t, func() {
		for _, code := range []result.Code{result.NoBackendServer, result.Leaving, result.DataCentreOut} {
			So(Retriable(Attempt{
				Number: 1, Err: &result.Error{Code: code}, Waited: 3 * time.Second, Remaining: time.Minute,
			}), ShouldBeTrue)
		}
	})
}
