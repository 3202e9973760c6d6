package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/platform/platformtest"
)

const (
	streamEvents   = 12
	streamInterval = 50 * time.Millisecond
	cutEvent       = 5 // The event in the middle of which a server stops.
	streamDeadline = 8 * time.Second
)

// lines are the lengths of the first data line of each event, with the number of callers of
// each entry: that of the buffer with which an entry reads streams, and others. An entry
// has enough of its retry budget for all.
var lines = []struct{ length, callers int }{{4096, 3}, {4095, 1}, {3000, 1}}

// event is a piece of an answer. Its two data lines are made of the request's attempt and the
// number, so that every server makes the same.
func event(attempt string, number, length int) string {
	text := strings.Repeat(fmt.Sprintf("%s-%d ", attempt, number), length)
	first := "data: " + text
	return fmt.Sprintf("id: %d\n%s\ndata: the end of %s-%d\n\n", number, first[:length], attempt, number)
}

// stream answers a request for a stream, from the event after the one that it names. The
// first server of an attempt stops in the middle of cutEvent if there is trouble.
func (s *streams) stream(server string, w http.ResponseWriter, r *http.Request, attempt string) {
	length, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(header.LastEvent)); err == nil {
		first = last + 1
	}
	s.mu.Lock()
	s.runs[attempt] = append(s.runs[attempt], fmt.Sprintf("%s from event %d", server, first))
	cut := s.trouble && len(s.runs[attempt]) == 1
	s.mu.Unlock()
	for number := first; number <= streamEvents; number++ {
		time.Sleep(streamInterval)
		text := event(attempt, number, length)
		if cut && number == cutEvent {
			_, _ = io.WriteString(w, text[:len(text)-len("-5\n\n")]) // The last line is not whole.
			w.(http.Flusher).Flush()
			time.Sleep(streamInterval)
			reset(w)
			return
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// reset resets the connection of an answer.
func reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// streams are the answers of the engines.
type streams struct {
	trouble bool
	mu      sync.Mutex
	runs    map[string][]string // By attempt.
}

// streamCall is a request for a stream.
type streamCall struct {
	sentAt  time.Time
	attempt string
	length  int
	status  int
	body    string
	failed  string // Why the answer is not complete; empty if it is.
}

func (t *trial) callForStream(client *http.Client, entry, number, length int) (made streamCall) {
	made = streamCall{sentAt: time.Now(), attempt: fmt.Sprintf("%0*x%08x", attemptEntryDigits, entry, number), length: length}
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	url := fmt.Sprintf("http://%s/lohu930/%d", t.entryAddress(entry, platformtest.FrontPort), length)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err == nil {
		request.Host = host
		request.Header.Set(header.AttemptID, made.attempt)
		request.Header.Set(header.Deadline, fmt.Sprint(streamDeadline.Milliseconds()))
		request.Header.Set(header.Authorization, "Token "+oldKey)
		request.Header.Set("Persimmonwind-Model", "m")
		var response *http.Response
		if response, err = client.Do(request); err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			made.status, made.body = response.StatusCode, string(body)
		}
	}
	if err != nil {
		made.failed = err.Error()
	}
	return made
}

// fault returns what is wrong with an answer that looks complete; empty if nothing is.
func (c streamCall) fault() string {
	if c.failed != "" || c.status != http.StatusOK {
		return "" // It doesn't look complete.
	}
	got := strings.SplitAfter(c.body, "\n\n")
	got = got[:len(got)-1]
	for i := range streamEvents {
		if i >= len(got) {
			return fmt.Sprintf("ends after %d events", i)
		}
		if got[i] != event(c.attempt, i+1, c.length) {
			return fmt.Sprintf("event %d is %.60q ... %.60q", i+1, got[i], got[i][max(0, len(got[i])-60):])
		}
	}
	if len(got) > streamEvents {
		return fmt.Sprintf("has %d events", len(got))
	}
	return ""
}

// playCutInAnEvent lets servers stop in the middle of an event.
func playCutInAnEvent(t *trial, trouble bool) (broken, checked int, err error) {
	s := &streams{trouble: trouble, runs: map[string][]string{}}
	t.answer = s.stream
	if err := t.startWith(engineConfiguration(configuration(7, oldKey)), t.storeAddress()); err != nil {
		return 0, 0, err
	}
	time.Sleep(contactTime)
	for _, line := range lines {
		ofLength := 0
		for caller := range line.callers {
			for entry := range entryCount {
				made := t.callForStream(http.DefaultClient, entry, line.length<<8+caller, line.length)
				checked++
				verdict := made.fault()
				if verdict != "" {
					ofLength++
					verdict = "  BROKEN: " + verdict
				}
				t.record.Printf("%8.3f  stream %s at entry %d: status %d, %d bytes, %s; run by %s%s", made.sentAt.Sub(t.started).Seconds(), made.attempt, entry,
					made.status, len(made.body), made.failed, strings.Join(s.runs[made.attempt], ", then by "), verdict)
			}
		}
		t.logf("first data line of %d bytes: %d of %d streams broke the rule", line.length, ofLength, line.callers*entryCount)
		broken += ofLength
	}
	return broken, checked, nil
}
