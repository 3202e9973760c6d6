package deployed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

const plannedStopGrace = 8 * time.Second // The users' grace period.

// stoppingEntry is an entry in front of one backend server, which works on each request as
// long as its X-Work header says.
type stoppingEntry struct {
	server *upstreamtest.RawServer
	front  net.Listener
	stop   context.CancelFunc // Tells the entry to stop.
	ended  chan struct{}      // Closed once the entry has drained; its connections are closed then, as at the end of the process.

	mu  sync.Mutex
	ran map[string]bool // Attempts that have reached the server.
}

func startStoppingEntry() *stoppingEntry {
	s := &stoppingEntry{ran: map[string]bool{}, ended: make(chan struct{})}
	s.server = upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
		id := r.Header.Get(header.AttemptID)
		s.mu.Lock()
		s.ran[id] = true
		s.mu.Unlock()
		work, _ := time.ParseDuration(r.Header.Get("X-Work"))
		time.Sleep(work)
		r.Send("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: 6\r\n\r\nanswer", header.AttemptID, id, header.Stamp)
		return true
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := NewEntry(platform.Settings{Instance: "entry", StoreAddress: "127.0.0.1:1", GracePeriod: plannedStopGrace, RetryRatio: 0.2, RetryReserve: 90}, logrus.NewEntry(log))
	route := func(name string, kind topology.Kind) topology.Route {
		return topology.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 1, Timeout: 20 * time.Second, Objective: time.Second, Targets: []topology.Target{{Service: "s", Weight: 1}}}
	}
	resumable := route("resumable", topology.Stream)
	resumable.Resumable, resumable.MaxAttempts = true, 2
	state := topology.New()
	for _, event := range []reduce.Event{
		topology.ConfigurationRead{Config: &topology.Configuration{
			Version: 1, AnonymousCallers: true, Services: map[string]topology.Service{"s": {Name: "s"}},
			Routes: []topology.Route{route("once", topology.NonIdempotent), route("safe", topology.Idempotent), route("stream", topology.Stream), resumable},
		}},
		topology.ServersListed{Servers: []topology.Server{{ID: "b", Service: "s", Address: s.server.Address(), Slots: 50}}},
	} {
		state, _ = topology.Step(state, reduce.Input{Now: time.Now(), Event: event})
	}
	e.gateway.Install(state.Snapshot(nil))
	var err error
	s.front, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	gatewayCtx, stopGateway := context.WithCancel(context.Background())
	go e.gateway.Run(gatewayCtx)
	callers := e.newCallerServer(s.front)
	go func() { _ = callers.Serve(gatewayCtx) }()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		_ = e.drain(ctx, callers, nil)
		_ = callers.Close()
		stopGateway()
		close(s.ended)
	}()
	return s
}

func (s *stoppingEntry) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// stopCase is a request that is sent at a time after the entry was told to stop, on a
// connection that was opened before the entry stopped accepting. With upload, the end of its
// body follows only then.
type stopCase struct {
	path     string
	at       time.Duration
	upload   time.Duration
	work     time.Duration
	deadline time.Duration
}

func (c stopCase) String() string {
	return fmt.Sprintf("a request to %s at %v with a deadline of %v and %v of work, the end of its body after %v", c.path, c.at, c.deadline, c.work, c.upload)
}

// send sends the request, and returns the answer to it, the status 0 for none.
func (c stopCase) send(s *stoppingEntry, id string, told time.Time) (status int, response *http.Response) {
	time.Sleep(time.Until(told.Add(min(c.at, 2800*time.Millisecond))))
	conn, err := net.Dial("tcp", s.front.Addr().String())
	if err != nil {
		return 0, nil
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(time.Until(told.Add(c.at)))
	_, _ = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nX-Work: %v\r\nContent-Length: 2\r\n\r\nb",
		c.path, header.AttemptID, id, header.Deadline, c.deadline.Milliseconds(), c.work)
	time.Sleep(c.upload)
	_, _ = io.WriteString(conn, "b")
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response
}

// Guards against passing on a request late in the grace period that ends without an answer.
func TestRequestsInThePlannedStop(t *testing.T) {
	var cases []stopCase
	for _, path := range []string{"/once/", "/safe/"} {
		for _, at := range []time.Duration{-time.Second, 0, time.Second, 2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond} {
			for _, work := range []time.Duration{10 * time.Millisecond, time.Second, 7 * time.Second} {
				for _, deadline := range []time.Duration{1500 * time.Millisecond, 8 * time.Second} {
					cases = append(cases, stopCase{path: path, at: at, work: work, deadline: deadline})
				}
			}
		}
		cases = append(cases,
			stopCase{path: path, at: -500 * time.Millisecond, upload: 6500 * time.Millisecond, work: 4 * time.Second, deadline: 12 * time.Second},
			stopCase{path: path, at: 2 * time.Second, upload: 3 * time.Second, work: 4 * time.Second, deadline: 8 * time.Second},
		)
	}
	for _, at := range []time.Duration{3500 * time.Millisecond, 5500 * time.Millisecond} {
		cases = append(cases, stopCase{path: "/stream/", at: at, deadline: 8 * time.Second}, stopCase{path: "/resumable/", at: at, deadline: 8 * time.Second})
	}
	s := startStoppingEntry()
	defer s.server.Stop()
	told := time.Now().Add(1500 * time.Millisecond)
	time.AfterFunc(time.Until(told), s.stop)
	type outcome struct {
		status   int
		response *http.Response
		after    time.Duration // From the signal to the answer.
	}
	outcomes := make([]outcome, len(cases))
	var callers sync.WaitGroup
	for i, c := range cases {
		callers.Go(func() {
			status, response := c.send(s, fmt.Sprint("attempt-", i), told)
			outcomes[i] = outcome{status, response, time.Since(told)}
		})
	}
	callers.Wait()
	<-s.ended
	if drained := time.Since(told); drained > plannedStopGrace+2*time.Second {
		t.Errorf("the entry has drained after %v", drained)
	}
	for i, c := range cases {
		got, ran := outcomes[i], s.hasRun(fmt.Sprint("attempt-", i))
		Convey("In a planned stop, "+c.String()+" is answered, or refused and not run", t, func() {
			So(got.status, ShouldBeIn, http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
			So(got.after, ShouldBeLessThan, plannedStopGrace)
			So(got.response.Close || c.at < 0, ShouldBeTrue)
			if got.status == http.StatusServiceUnavailable {
				So(ran, ShouldBeFalse)
				So(got.response.Header.Get(header.RetryAfter), ShouldNotBeEmpty)
			}
			// What fits into the grace period is served, and what is sent before the balancer has
			// noticed is taken.
			ends, fits := c.at+c.upload+c.work, c.work < c.deadline
			if fits && ends < plannedStopGrace-time.Second && (c.at+c.deadline < plannedStopGrace-time.Second || c.at+c.upload < readinessLag-200*time.Millisecond) {
				So(got.status, ShouldEqual, http.StatusOK)
			}
			// Later, only what is certain to fit is passed on.
			if c.at+c.upload > readinessLag && c.at+c.deadline > plannedStopGrace {
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			}
		})
	}
}
