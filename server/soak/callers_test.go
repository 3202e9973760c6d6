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
	callers        = 24
	callerDeadline = 3 * time.Second
	// touchTime is how long a process must be unharmed for rules with a bound.
	touchTime = 3 * time.Second
	// applyTime is the bound for configurations, drainTime that for servers that
	// leave.
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
)

// attempt is one request and what its caller saw.
type attempt struct {
	id      string
	path    string
	entry   *machine
	began   time.Time
	ended   time.Time
	status  int // 0 where no answer came.
	refused bool
	whole   bool
	problem string
}

// watch collects what callers and backend servers see.
type watch struct {
	w        *world
	mu       sync.Mutex
	attempts []attempt
	broken   []string
	asked    atomic.Int64
}

func (k *watch) report(format string, arguments ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = append(k.broken, fmt.Sprintf(format, arguments...))
}

// call runs one caller until ctx ends. It keeps its connections until they break.
func (k *watch) call(ctx context.Context, seed, number uint64) {
	random := rand.New(rand.NewPCG(seed, 100+number))
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerDeadline + time.Second}
	paths := []string{"/stream/a", "/stream/b", "/book/a", "/book/b", "/look/a"}
	for ctx.Err() == nil {
		a := attempt{
			id: fmt.Sprintf("%d-%d-%d", seed, number, k.asked.Add(1)), path: paths[random.IntN(len(paths))],
			entry: k.w.machines[random.IntN(entries)], began: time.Now(),
		}
		k.ask(client, &a)
		a.ended = time.Now()
		k.mu.Lock()
		k.attempts = append(k.attempts, a)
		k.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// ask sends the request and checks its answer.
func (k *watch) ask(client *http.Client, a *attempt) {
	method, body := http.MethodPost, "body of "+a.id
	if strings.HasPrefix(a.path, "/look") {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequest(method, "http://"+a.entry.front()+a.path, strings.NewReader(body))
	if err != nil {
		k.report("make request: %v", err)
		return
	}
	request.Host = "soak.example"
	request.GetBody = nil // Every attempt is sent once.
	request.Header.Set(header.AttemptID, a.id)
	request.Header.Set(header.Deadline, fmt.Sprint(callerDeadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		a.problem = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	a.refused = slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, a.status)
	if echo := response.Header.Get(header.AttemptID); echo != a.id {
		k.report("%s: the answer bears the id %q", a.id, echo)
	}
	if a.status == http.StatusOK {
		k.checkAnswer(a, response)
	}
	if a.status >= 300 && a.status < 500 && !a.refused {
		k.report("%s: proper request to %s was answered %d", a.id, a.path, a.status)
	}
}

func (k *watch) checkAnswer(a *attempt, response *http.Response) {
	stamp := response.Header.Get(header.Stamp)
	if stamp == "" {
		k.report("%s: success without a server's signature", a.id)
	}
	if !strings.HasPrefix(a.path, "/stream") {
		body, err := io.ReadAll(response.Body)
		a.whole = err == nil
		if err == nil && string(body) != platformtest.Answer(a.id, stamp) {
			k.report("%s: an answer that looks whole has other bytes", a.id)
		}
		return
	}
	next := 1
	reader := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && event == "" {
			a.whole = true
			if next <= platformtest.StreamEvents {
				k.report("%s: the stream looks whole after %d events", a.id, next-1)
			}
			return
		}
		if err != nil {
			a.problem = err.Error()
			return // The stream is shown as cut.
		}
		if event != platformtest.Event(a.id, next) {
			k.report("%s: event %d is %q", a.id, next, event)
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

// lookAtConfiguration asks each entry in touch whether the route that comes and
// goes is there, until ctx ends.
func (k *watch) lookAtConfiguration(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		time.Sleep(150 * time.Millisecond)
		for _, m := range k.w.machines[:entries] {
			k.w.mu.Lock()
			extra, changed := k.w.extra, k.w.changed
			k.w.mu.Unlock()
			now := time.Now()
			if now.Sub(changed) < applyTime {
				continue
			}
			request, err := http.NewRequest(http.MethodGet, "http://"+m.front()+"/extra/x", nil)
			if err != nil {
				k.report("make request: %v", err)
				return
			}
			request.Host = "soak.example"
			request.Header.Set(header.AttemptID, fmt.Sprintf("look-%d", k.asked.Add(1)))
			request.Header.Set(header.Deadline, "1000")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if there := response.StatusCode != http.StatusNotFound; there != extra && k.w.inTouch(m, now) {
				k.w.mu.Lock()
				same := k.w.changed.Equal(changed)
				k.w.mu.Unlock()
				if same {
					k.report("%s: %v after a change the extra route is there: %t (status %d)", m.name, now.Sub(changed), there, response.StatusCode)
				}
			}
		}
	}
}

// judge checks what is known only at the end.
func (k *watch) judge() {
	byID := map[string]*attempt{}
	for i := range k.attempts {
		byID[k.attempts[i].id] = &k.attempts[i]
	}
	k.w.ledger.Each(func(id string, runs []platformtest.Execution) {
		a := byID[id]
		if a == nil {
			return // A look at the configuration, or a caller that was stopped.
		}
		if strings.HasPrefix(a.path, "/book") && len(runs) > 1 {
			k.broken = append(k.broken, fmt.Sprintf("%s: ran %d times: %v", id, len(runs), runs))
		}
		if a.refused && !strings.HasPrefix(a.path, "/look") {
			k.broken = append(k.broken, fmt.Sprintf("%s: was answered %d and ran: %v", id, a.status, runs))
		}
		if len(runs) > 2 {
			k.broken = append(k.broken, fmt.Sprintf("%s: ran at %d servers, allowed are 2", id, len(runs)))
		}
	})
	for _, passes := range k.w.group.Violations() {
		k.broken = append(k.broken, "two maps in one pass: "+passes)
	}
}
