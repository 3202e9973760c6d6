package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/platform/platformtest"
)

const (
	callerCount    = 24
	callerDeadline = 3 * time.Second
	// settleTime is how long a process must have been free of faults before rules
	// with a time limit apply to it.
	settleTime = 3 * time.Second
	// applyLimit is the time within which a new configuration must take effect.
	applyLimit = 2 * time.Second
	// drainLimit is the time after which a backend server that is marked as leaving
	// must get no new requests.
	drainLimit = 2 * time.Second
)

// statements are the sizes and priorities that callers state, most of them invented. None
// may make an entry break a rule.
var statements = []string{"700,140", "2800,57", "1,1", "0,0", "2147483647,2147483647", "-1,-1", "many", "9", ""}

// attempt is one request, which the caller sends only once, and its outcome as seen by
// the caller.
type attempt struct {
	id        string
	path      string
	stated    string // Size and priority that the caller states of the request.
	entry     *machine
	startedAt time.Time
	endedAt   time.Time
	status    int // HTTP status; 0 if no response arrived.
	refused   bool
	complete  bool
	failure   string
}

// checker records the outcomes that callers see, and the violations of guarantees
// found in them and in the execution log of the backend servers.
type checker struct {
	d        *deployment
	mu       sync.Mutex
	attempts []attempt
	violated []string // Descriptions of the violations found.
	sent     atomic.Int64
}

func (c *checker) report(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated = append(c.violated, fmt.Sprintf(format, arguments...))
}

// runCaller sends requests as one caller until ctx ends. It reuses its connections
// until they break.
func (c *checker) runCaller(ctx context.Context, seed, number uint64) {
	random := rand.New(rand.NewPCG(seed, 100+number))
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerDeadline + time.Second}
	paths := []string{"/stream/a", "/stream/b", "/book/a", "/book/b", "/look/a"}
	if c.d.classes {
		paths = append(paths, "/stream/urgent/a", "/stream/patient/a")
	}
	for ctx.Err() == nil {
		a := attempt{
			id: fmt.Sprintf("%d-%d-%d", seed, number, c.sent.Add(1)), path: paths[random.IntN(len(paths))],
			entry: c.d.machines[random.IntN(entries)], startedAt: time.Now(),
		}
		if c.d.classes {
			a.stated = statements[random.IntN(len(statements))]
		}
		c.send(client, &a)
		a.endedAt = time.Now()
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// send sends the request of the attempt and checks the response.
func (c *checker) send(client *http.Client, a *attempt) {
	method, body := http.MethodPost, "body of "+a.id
	if strings.HasPrefix(a.path, "/look") {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequest(method, "http://"+a.entry.frontAddress()+a.path, strings.NewReader(body))
	if err != nil {
		c.report("make request: %v", err)
		return
	}
	request.Host = "soak.example"
	request.GetBody = nil // Keeps the transport from resending the request: every attempt is sent once.
	request.Header.Set(header.AttemptID, a.id)
	request.Header.Set(header.Deadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if c.d.classes {
		request.Header.Set(header.Tokens, a.stated)
		request.Header.Set(header.LengthHint, a.stated)
		request.Header.Set(header.Priority, a.stated)
	}
	response, err := client.Do(request)
	if err != nil {
		a.failure = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	a.refused = slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, a.status)
	if echo := response.Header.Get(header.AttemptID); echo != a.id {
		c.report("%s: response has the attempt ID %q", a.id, echo)
	}
	if a.status == http.StatusOK {
		c.checkResponse(a, response)
	}
	if a.status >= 300 && a.status < 500 && !a.refused {
		c.report("%s: valid request to %s got status %d", a.id, a.path, a.status)
	}
}

func (c *checker) checkResponse(a *attempt, response *http.Response) {
	stamp := response.Header.Get(header.Stamp)
	if stamp == "" {
		c.report("%s: status 200 without a server stamp", a.id)
	}
	if !strings.HasPrefix(a.path, "/stream") {
		body, err := io.ReadAll(response.Body)
		a.complete = err == nil
		if err == nil && string(body) != platformtest.Answer(a.id, stamp) {
			c.report("%s: complete response body differs from the expected body", a.id)
		}
		return
	}
	next := 1
	reader := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && event == "" {
			a.complete = true
			if next <= platformtest.StreamEvents {
				c.report("%s: stream ended without an error after %d events", a.id, next-1)
			}
			return
		}
		if err != nil {
			a.failure = err.Error()
			return // The caller can tell that the stream was cut off.
		}
		if event != platformtest.Event(a.id, next) {
			c.report("%s: unexpected event %d: %q", a.id, next, event)
			return
		}
		next++
	}
}

func readEvent(reader *bufio.Reader) (string, error) {
	event := ""
	for {
		line, err := reader.ReadString('\n')
		event += line
		if err != nil || line == "\n" {
			return event, err
		}
	}
}

// checkConfiguration polls each settled entry until ctx ends and checks that it
// serves the extra route exactly while the configuration has it.
func (c *checker) checkConfiguration(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		time.Sleep(150 * time.Millisecond)
		for _, m := range c.d.machines[:entries] {
			c.d.mu.Lock()
			extraRoute, changedAt := c.d.extraRoute, c.d.changedAt
			c.d.mu.Unlock()
			now := time.Now()
			if now.Sub(changedAt) < applyLimit {
				continue
			}
			request, err := http.NewRequest(http.MethodGet, "http://"+m.frontAddress()+"/extra/x", nil)
			if err != nil {
				c.report("make request: %v", err)
				return
			}
			request.Host = "soak.example"
			request.Header.Set(header.AttemptID, fmt.Sprintf("look-%d", c.sent.Add(1)))
			request.Header.Set(header.Deadline, "1000")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if served := response.StatusCode != http.StatusNotFound; served != extraRoute && c.d.settled(m, now) {
				c.d.mu.Lock()
				unchanged := c.d.changedAt.Equal(changedAt)
				c.d.mu.Unlock()
				if unchanged {
					c.report("%s: %v after a configuration change: extra route served: %t (status %d)", m.name, now.Sub(changedAt), served, response.StatusCode)
				}
			}
		}
	}
}

// checkExecutions checks the execution log of the backend servers once all attempts
// have ended: no non-idempotent request was executed twice, no refused request was
// executed unless it is idempotent, and no request was executed more than twice. It also
// checks that all ranks of the group used the same expert map in each pass, a step of
// the model that the ranks run in lockstep.
func (c *checker) checkExecutions() {
	byID := map[string]*attempt{}
	for i := range c.attempts {
		byID[c.attempts[i].id] = &c.attempts[i]
	}
	c.d.executionLog.Each(func(id string, runs []platformtest.Execution) {
		a := byID[id]
		if a == nil {
			return // The request was sent by checkConfiguration, or by a caller that was stopped.
		}
		if strings.HasPrefix(a.path, "/book") && len(runs) > 1 {
			c.violated = append(c.violated, fmt.Sprintf("%s: ran %d times: %v", id, len(runs), runs))
		}
		if a.refused && !strings.HasPrefix(a.path, "/look") {
			c.violated = append(c.violated, fmt.Sprintf("%s: refused with status %d but ran: %v", id, a.status, runs))
		}
		if len(runs) > 2 {
			c.violated = append(c.violated, fmt.Sprintf("%s: ran at %d servers, at most 2 are allowed", id, len(runs)))
		}
	})
	for _, pass := range c.d.group.Violations() {
		c.violated = append(c.violated, "ranks used different maps in one pass: "+pass)
	}
}
