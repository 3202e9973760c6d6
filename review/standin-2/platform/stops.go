package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the site glorieta-ops: entries, how long a call takes, the grace period and the
// pause between two stops.
const (
	stopEntries = 4
	bookTime    = 30 * time.Millisecond
	graceTime   = 8 * time.Second
	stopGap     = time.Second
	// clientPause is the time from an answer to a client's next request.
	clientPause = 50 * time.Millisecond
	stopsTime   = 105 * time.Second
)

// bookingClient sends bookings one after the other on a connection that it keeps while the
// entry keeps it.
type bookingClient struct {
	name    string
	home    string
	entries []string
	ingress *ingress

	conn   net.Conn
	reader *bufio.Reader
	entry  string
}

// book sends one booking. It returns the error if the connection ended without a complete
// answer, and whether the whole request had been sent.
func (c *bookingClient) book(attempt string, body []byte) (status int, sent bool, err error) {
	if c.conn == nil {
		c.entry = c.ingress.choose(c.home, c.entries)
		c.conn, err = net.DialTimeout("tcp", net.JoinHostPort(c.entry, strconv.Itoa(frontPort)), time.Second)
		if err != nil {
			c.conn = nil
			return 0, false, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	keep := false
	defer func() {
		if !keep {
			_ = c.conn.Close()
			c.conn = nil
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /book/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nAuthorization: Token key-kept\r\nContent-Length: %d\r\n\r\n%s",
		routeHost, headerAttempt, attempt, headerDeadline, len(body), body)
	if _, err := c.conn.Write(request.Bytes()); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true, err
	}
	keep = !response.Close
	return response.StatusCode, true, nil
}

// playStops stops entries in turn with SIGTERM and starts them again, while clients book on
// connections that they keep.
func playStops(f *fleet) (broken bool) {
	s, r := newStore(), &runs{by: map[string][]string{}}
	f.listen(fmt.Sprintf("%s:%d", f.ip(2), storePort), s)
	s.put("op", "config", map[string]any{
		"version": 7, "routes": []any{route("r-book", "/book/", "non_idempotent", "contracts", 1)}, "services": []any{plainService("contracts")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "tenant-kept", "api_keys": []string{"key-kept"}, "priority": 1}},
	})
	for _, w := range f.startWorkers(s, "contracts", 21, 9, func() time.Duration { return bookTime }, r) {
		w.queue = 100
	}
	var entries []string
	choice, stop := &ingress{out: map[string]bool{}}, make(chan struct{})
	var started []*process
	for i := range stopEntries {
		ip := f.ip(41 + i)
		started = append(started, f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: fmt.Sprintf("%s:%d", f.ip(2), storePort), memoryMB: entryMB}))
		entries = append(entries, ip)
	}
	for _, ip := range entries {
		f.awaitReady(ip)
		go choice.check(ip, stop)
	}
	f.note("entries are ready")
	var mu sync.Mutex
	stoppedAt := map[string]time.Time{} // When an entry last got SIGTERM.
	total, cuts, lost := 0, 0, 0
	end := time.Now().Add(stopsTime)
	var clients sync.WaitGroup
	body := bytes.Repeat([]byte("a roundabout"), 50)
	for i, home := range entries {
		for number := range zoneClients {
			c := &bookingClient{name: fmt.Sprintf("%d-%d", i+1, number), home: home, entries: entries, ingress: choice}
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					attempt := fmt.Sprintf("%s-%d", c.name, n)
					sentAt := time.Now()
					status, sent, err := c.book(attempt, body)
					cutAt := time.Now()
					mu.Lock()
					total++
					stopped := stoppedAt[c.entry]
					mu.Unlock()
					if err == nil && status != http.StatusOK {
						f.note("%s sent at %.3f: status %d, run by %v", attempt, sentAt.Sub(f.started).Seconds(), status, r.of(attempt))
					}
					if err != nil {
						time.Sleep(50 * time.Millisecond) // The worker's record may be a moment late.
						ran := r.of(attempt)
						since := cutAt.Sub(stopped)
						// Not counted: without planned work, at the deadline, and in the last sixth of the grace period.
						counts := sent && len(ran) > 0 && !stopped.IsZero() && since < graceTime*5/6 && cutAt.Sub(sentAt) < time.Second
						f.note("%s sent at %.3f to edge-%d: cut without an answer after %v (%v), %v after its SIGTERM; run by %v",
							attempt, sentAt.Sub(f.started).Seconds(), 1+slices.Index(entries, c.entry), cutAt.Sub(sentAt), err, since, ran)
						mu.Lock()
						cuts++
						if counts {
							lost++
						}
						mu.Unlock()
					}
					time.Sleep(clientPause)
				}
			})
		}
	}
	stops := 0
	for f.trouble && time.Now().Before(end.Add(-graceTime)) {
		p, entry := started[stops%stopEntries], entries[stops%stopEntries]
		time.Sleep(stopGap)
		mu.Lock()
		stoppedAt[entry] = time.Now()
		mu.Unlock()
		f.note("%s gets SIGTERM", p.name)
		p.signal(syscall.SIGTERM)
		<-p.ended
		f.run(p)
		f.awaitReady(entry)
		stops++
	}
	clients.Wait()
	close(stop)
	f.note("%d requests, %d cut without an answer, %d stops of entries", total, cuts, stops)
	f.note("requests that a stopped entry had passed on to a worker and whose connection it closed without an answer: %d", lost)
	return lost > 0
}
