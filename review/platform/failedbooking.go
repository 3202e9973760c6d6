package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"persimmonwind.dev/platform/platformtest"
)

const (
	failingShare    = 0.45 // Of the requests to the failing server; the site file's srv_grey.
	bookingInterval = 250 * time.Millisecond
	bookingTime     = 12 * time.Second
	bookingRetries  = 1 // Of a caller.
	bookingPrefix   = "/puxa403/"
)

// failAfterRun makes the server run a part of the requests and then answer 503, signed and
// without a word that they were not run.
func failAfterRun(s *server) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	s.intercept = func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		fails := random.Float64() < failingShare
		mu.Unlock()
		if !fails || !strings.HasPrefix(r.URL.Path, bookingPrefix) {
			return false
		}
		recorder := httptest.NewRecorder()
		s.Server.ServeHTTP(recorder, r) // It runs the request.
		status, body := http.StatusServiceUnavailable, "booked, but the invoice service is down"
		if recorder.Code != http.StatusOK { // It did not run it, and says so.
			status, body = recorder.Code, ""
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
		return true
	}
}

// isPromise reports whether a status promises callers that their request was not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// booking is a non-idempotent request with its retries.
type booking struct{ attempts []call }

// book sends a booking, and again after a promise that it was not run.
func (t *trial) book(client *http.Client, entry, number int) (made booking) {
	for try := range 1 + bookingRetries {
		attempt := number<<4 + try
		t.send(client, http.MethodPost, bookingPrefix+"2f", (entry+try)%entryCount, attempt, oldKey, func(c call) { made.attempts = append(made.attempts, c) })
		if !isPromise(made.attempts[try].status) {
			return made
		}
	}
	return made
}

// playFailureAfterRun lets one server fail a part of the bookings after it has run them.
func playFailureAfterRun(t *trial, trouble bool) (broken, checked int, err error) {
	if err := t.start(t.storeAddress()); err != nil {
		return 0, 0, err
	}
	if trouble {
		failAfterRun(t.servers[0])
		t.logf("server %s fails a part of the bookings with 503 from now on", t.servers[0].ID)
	}
	time.Sleep(contactTime)
	var running sync.WaitGroup
	var mu sync.Mutex
	var bookings []booking
	for entry := range entryCount {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
		running.Go(func() {
			for begin, number := time.Now(), 1; time.Since(begin) < bookingTime; number++ {
				made := t.book(client, entry, number)
				mu.Lock()
				bookings = append(bookings, made)
				mu.Unlock()
				time.Sleep(bookingInterval)
			}
		})
	}
	running.Wait()
	runs := map[string][]platformtest.Execution{}
	t.executions.Each(func(attempt string, each []platformtest.Execution) { runs[attempt] = each })
	twice := 0
	for _, made := range bookings {
		ran := 0
		for _, c := range made.attempts {
			checked++
			verdict := ""
			ran += len(runs[c.attempt])
			if isPromise(c.status) && len(runs[c.attempt]) > 0 {
				broken++
				verdict = "  BROKEN: answered as not run, and has run"
			}
			t.record.Printf("%8.3f  booking %s at entry %d: status %d %s; runs %d%s", c.sentAt.Sub(t.started).Seconds(), c.attempt, c.entry, c.status, c.failed, len(runs[c.attempt]), verdict)
		}
		if ran > 1 {
			twice++
		}
	}
	t.logf("%d of %d bookings were run twice, because their callers sent them again", twice, len(bookings))
	return broken, checked, nil
}
