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
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site glorieta-ops: clients of a zone, the memory of an entry's machine, the
// largest body that the configuration allows, events of a stream and how long machines are
// dark that are killed at the same moment.
const (
	zoneClients  = 34
	entryMB      = 284
	bodyLimit    = 4194304
	streamEvents = 26
	eventGap     = 60 * time.Millisecond
	darkTime     = 2900 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// streamWorker runs requests of the streaming route.
type streamWorker struct {
	id   string
	runs *runs
}

func (w *streamWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	out.Header().Set(headerAttempt, attempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.runs.add(attempt, w.id)
	out.Header().Set(headerStamp, w.id)
	out.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= streamEvents; id++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", id, attempt, id)
		out.(http.Flusher).Flush()
	}
}

// watchMemory kills the process when it exceeds its memory, as the platform does, and starts
// it again. It returns a function that ends the watch and tells the peak and the kills.
func (f *fleet) watchMemory(p *process, limitMB int) (stop func() (peak float64, kills int)) {
	done, stopped := make(chan struct{}), make(chan struct{})
	peak, kills := 0.0, 0
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			resident := p.residentMB()
			peak = max(peak, resident)
			if resident > float64(limitMB) {
				kills++
				f.note("%s holds %.0f MB, over its %d MB: the platform kills it", p.name, resident, limitMB)
				p.signal(syscall.SIGKILL)
				<-p.ended
				time.Sleep(restartDelay)
				f.run(p)
			}
		}
	}()
	return func() (float64, int) {
		close(done)
		<-stopped
		return peak, kills
	}
}

// ingress is the platform's choice of an entry for a client's next connection.
type ingress struct {
	mu  sync.Mutex
	out map[string]bool // Entries that are out of rotation.
}

func (i *ingress) choose(home string, entries []string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.out[home] {
		return home
	}
	for _, entry := range entries {
		if !i.out[entry] {
			return entry
		}
	}
	return home
}

// check asks an entry whether it is ready, once a second; two misses take it out.
func (i *ingress) check(entry string, stop <-chan struct{}) {
	client, misses := &http.Client{Timeout: 500 * time.Millisecond}, 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		response, err := client.Get(fmt.Sprintf("http://%s:%d/persimmonwind/readyz", entry, readyPort))
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		misses++
		if ready {
			misses = 0
		}
		i.mu.Lock()
		i.out[entry] = misses >= 2
		i.mu.Unlock()
	}
}

// keptClient sends one request after the other on a connection that it keeps.
type keptClient struct {
	f       *fleet
	name    string
	home    string
	entries []string
	ingress *ingress
	body    []byte

	conn   net.Conn
	reader *bufio.Reader
	entry  string // Where conn leads.
	served int    // Answers on conn.
}

func (c *keptClient) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.served = nil, 0
}

// request sends one request and reads the whole answer. It tells the entry, how many answers
// the connection had before, and how it ended.
func (c *keptClient) request(attempt string) (entry string, before int, outcome string) {
	if c.conn == nil {
		c.entry = c.ingress.choose(c.home, c.entries)
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.entry, frontPort), time.Second)
		if err != nil {
			return c.entry, 0, "no connection"
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	entry, before = c.entry, c.served
	_ = c.conn.SetDeadline(time.Now().Add(9 * time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /draft/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\nAuthorization: Token key-kept\r\nContent-Length: %d\r\n\r\n",
		routeHost, headerAttempt, attempt, headerDeadline, len(c.body))
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		c.drop()
		return entry, before, "cut while it was sent"
	}
	if _, err := c.conn.Write(c.body); err != nil {
		c.drop()
		return entry, before, "cut while it was sent"
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.drop()
		return entry, before, "cut, no answer"
	}
	read, err := io.ReadAll(response.Body)
	if err != nil {
		c.drop()
		return entry, before, "cut in the answer"
	}
	c.served++
	if response.Close {
		c.drop()
	}
	if response.StatusCode == http.StatusOK && strings.Count(string(read), "\n\n") != streamEvents {
		return entry, before, "incomplete, looks complete"
	}
	return entry, before, strconv.Itoa(response.StatusCode)
}

// playBigBodies kills two of three entries while clients send bodies of the largest size.
func playBigBodies(f *fleet) (broken bool) {
	s, r := newStore(), &runs{by: map[string][]string{}}
	f.listen(fmt.Sprintf("%s:%d", f.ip(2), storePort), s)
	draft := route("r-draft", "/draft/", "streaming", "writer", 1)
	draft["timeout_ms"], draft["slo_ms"], draft["itl_target_ms"] = 8000, 400, 120
	s.put("op", "config", map[string]any{
		"version": 7, "routes": []any{draft}, "services": []any{plainService("writer")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "tenant-kept", "api_keys": []string{"key-kept"}, "priority": 1}},
	})
	for i := range 12 {
		w := &streamWorker{id: fmt.Sprintf("i-writer-%d", i), runs: r}
		address := fmt.Sprintf("%s:%d", f.ip(21+i), workerPort)
		f.listen(address, w)
		s.put("servers", w.id, map[string]any{
			"backend": "writer", "address": address, "zone": zoneOf(i), "version": "v1", "slots": 12, "state": "ready",
			"warmup_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
		})
	}
	entries := []string{f.ip(11), f.ip(12), f.ip(13)}
	var watched []func() (float64, int)
	var started []*process
	for i, ip := range entries {
		p := f.start("entry", machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zoneOf(i), ip: ip, store: fmt.Sprintf("%s:%d", f.ip(2), storePort), memoryMB: entryMB})
		started = append(started, p)
	}
	choice, stop := &ingress{out: map[string]bool{}}, make(chan struct{})
	for i, ip := range entries {
		f.awaitReady(ip)
		watched = append(watched, f.watchMemory(started[i], entryMB))
		go choice.check(ip, stop)
	}
	f.note("entries are ready")
	var mu sync.Mutex
	lost := 0
	outcomes := map[string]int{}
	end := time.Now().Add(25 * time.Second)
	var clients sync.WaitGroup
	body := bytes.Repeat([]byte("a sponsor of roundabouts "), bodyLimit/25)
	for i, home := range entries {
		for number := range zoneClients {
			c := &keptClient{f: f, name: fmt.Sprintf("%d-%d", i+1, number), home: home, entries: entries, ingress: choice, body: body}
			clients.Go(func() {
				time.Sleep(time.Duration(number) * 50 * time.Millisecond)
				for n := 0; time.Now().Before(end); n++ {
					attempt := fmt.Sprintf("%s-%d", c.name, n)
					sentAt := f.now()
					entry, before, outcome := c.request(attempt)
					ran := r.of(attempt)
					f.note("%s sent at %.3f to edge-%d, answers on its connection before: %d, run by %v: %s", attempt, sentAt, 1+slices.Index(entries, entry), before, ran, outcome)
					mu.Lock()
					outcomes[outcome]++
					if strings.HasPrefix(outcome, "cut") && entry == entries[2] && before > 0 && len(ran) > 0 {
						lost++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	if f.trouble {
		time.Sleep(8 * time.Second)
		f.note("edge-1 and edge-2 are killed and dark for %v", darkTime)
		for i, p := range started[:2] {
			watched[i]()
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
		time.Sleep(darkTime)
		for i, p := range started[:2] {
			f.run(p)
			watched[i] = f.watchMemory(p, entryMB)
		}
	}
	clients.Wait()
	close(stop)
	for i, ended := range watched {
		peak, killed := ended()
		f.note("edge-%d: peak %.0f MB, killed for its memory %d times", i+1, peak, killed)
	}
	f.note("outcomes: %v", outcomes)
	f.note("requests that edge-3, which had no disruption, passed on from kept connections and cut without an answer: %d", lost)
	return lost > 3
}
