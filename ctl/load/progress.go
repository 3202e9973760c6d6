package load

import (
	"sync"
	"sync/atomic"
	"time"
)

// Progress is a snapshot of the counters of a running load test.
type Progress struct {
	Elapsed   time.Duration
	Arrived   int
	InFlight  int
	Completed int
	Refused   int
	Other     int // Finished requests that were neither completed nor refused.
	Tokens    int // Tokens in the answers of the finished requests.
}

const progressInterval = 500 * time.Millisecond

// totals counts all requests so far, including those of the warm-up.
type totals struct {
	arrived, completed, refused, other, tokens atomic.Int64
}

// startProgressReports calls report every progressInterval until the returned
// function is called, which calls report a last time.
func (r *runner) startProgressReports(report func(Progress)) (stop func()) {
	if report == nil {
		return func() {}
	}
	started := time.Now()
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				report(r.progress(time.Since(started)))
			case <-ended:
				report(r.progress(time.Since(started)))
				return
			}
		}
	})
	return func() { close(ended); wg.Wait() }
}

func (r *runner) progress(elapsed time.Duration) Progress {
	return Progress{
		Elapsed: elapsed, Arrived: int(r.totals.arrived.Load()), InFlight: int(r.inFlight.Load()),
		Completed: int(r.totals.completed.Load()), Refused: int(r.totals.refused.Load()),
		Other: int(r.totals.other.Load()), Tokens: int(r.totals.tokens.Load()),
	}
}
