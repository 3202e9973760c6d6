package quarantine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/upstream"
)

// runQuarantines starts a quarantine for each entry, with one store.
func runQuarantines(store *platformtest.Store, entries ...string) (quarantines []*Quarantine, stop func()) {
	server := httptest.NewServer(store)
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, entry := range entries {
		client := platform.NewStore(server.Listener.Addr().String(), upstream.StoreTransport(upstream.Dial))
		q := New(entry, client, upstream.Dial, logrus.NewEntry(log), NewMetrics(prometheus.NewRegistry()), prometheus.NewCounter(prometheus.CounterOpts{Name: "restores"}))
		go func() { _ = q.Run(ctx) }()
		quarantines = append(quarantines, q)
	}
	return quarantines, func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	}
}

// endedServer returns an address at which no process listens any more.
func endedServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	So(listener.Close(), ShouldBeNil)
	return listener.Addr().String()
}

// eventually waits until the condition holds.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func TestQuarantine(t *testing.T) {
	bad := Request{Service: "s", Suspect: poison.Suspect{Organisation: "o", Parts: []string{"aa", "bad0"}}}
	longAgo := time.Now().Add(-time.Second)
	Convey("Given the quarantines of three entries", t, func() {
		store := platformtest.NewStore()
		quarantines, stop := runQuarantines(store, "e1", "e2", "e3")
		defer stop()

		Convey("crashes that different entries have seen make all of them refuse, also one that starts later", func() {
			quarantines[0].Broken(bad, "i-1", endedServer(), longAgo)
			time.Sleep(1100 * time.Millisecond) // Longer than an episode.
			quarantines[1].Broken(bad, "i-2", endedServer(), longAgo)
			later, stopLater := runQuarantines(store, "e4")
			defer stopLater()
			for _, q := range append(quarantines, later...) {
				So(eventually(func() bool { return q.Check(bad) != nil }), ShouldBeTrue)
				refused := q.Check(bad)
				So(refused.Code, ShouldEqual, result.CrashingRequest)
				So(refused.NotRun(), ShouldBeTrue)
				So(refused.RetryAfter, ShouldBeGreaterThan, time.Minute)
			}
			So(quarantines[2].Check(Request{Service: "s", Suspect: poison.Suspect{Organisation: "o", Parts: []string{"bb"}}}), ShouldBeNil)
		})
		Convey("a request that waits in a queue is told at once", func() {
			ctx, cancel := context.WithCancelCause(context.Background())
			remove := quarantines[2].Queued(bad, cancel)
			defer remove()
			quarantines[0].Broken(bad, "i-1", endedServer(), longAgo)
			time.Sleep(1100 * time.Millisecond)
			So(ctx.Err(), ShouldBeNil)
			quarantines[1].Broken(bad, "i-2", endedServer(), longAgo)
			So(eventually(func() bool { return ctx.Err() != nil }), ShouldBeTrue)
			var refused *result.Error
			So(errors.As(context.Cause(ctx), &refused), ShouldBeTrue)

			late, cancelLate := context.WithCancelCause(context.Background())
			defer quarantines[2].Queued(bad, cancelLate)()
			So(late.Err(), ShouldNotBeNil)
		})
		Convey("a request whose callers left just before its servers ended is refused, whoever notices the ends", func() {
			for i, server := range []string{"i-1", "i-2"} {
				address := endedServer()
				quarantines[i].Abandoned(bad, server, address, longAgo)
				if i == 0 {
					quarantines[i].Refused(bad.Service, server, address)
				} else {
					quarantines[i].Broken(Request{Service: "s", Suspect: poison.Suspect{Organisation: "o", Fingerprint: "sound"}}, server, address, longAgo)
				}
				time.Sleep(1100 * time.Millisecond)
			}
			So(eventually(func() bool { return quarantines[2].Check(bad) != nil }), ShouldBeTrue)
		})
		Convey("a request that was abandoned long before its server ended is no evidence", func() {
			for _, server := range []string{"i-1", "i-2"} {
				address := endedServer()
				quarantines[0].Abandoned(bad, server, address, longAgo)
				time.Sleep(abandonedWindow + confirmInterval/10)
				quarantines[0].Refused(bad.Service, server, address)
			}
			time.Sleep(200 * time.Millisecond)
			So(quarantines[0].Check(bad), ShouldBeNil)
		})
		Convey("a server that breaks exchanges off and goes on accuses nothing, nor do requests that had just been sent", func() {
			running, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = running.Close() }()
			for _, server := range []string{"i-1", "i-2"} {
				quarantines[0].Broken(bad, server, running.Addr().String(), longAgo)
				quarantines[1].Broken(bad, server, endedServer(), time.Now().Add(time.Second))
				time.Sleep(1100 * time.Millisecond)
			}
			for _, q := range quarantines {
				So(q.Check(bad), ShouldBeNil)
			}
		})
	})
}

func TestRecordRow(t *testing.T) {
	Convey("A record is read as it was written, and the largest one fits a row", t, func() {
		const rowBytes = 65536 // Of the users' store.
		record := poison.Record{Clearances: []poison.Clearance{
			{Service: "s", Organisation: "o", Trait: poison.Trait{Kind: poison.PromptPart, ID: "aa"}, At: time.UnixMilli(5)},
			{Service: "s", Organisation: "o", Trait: poison.Trait{Kind: poison.WholeRequest, ID: "ff"}, At: time.UnixMilli(6)},
		}}
		part := strings.Repeat("f", 32)
		for range 8 {
			crash := poison.Crash{Service: "s", Server: strings.Repeat("i", 20), At: time.UnixMilli(7)}
			for range 6 {
				suspect := poison.Suspect{Organisation: strings.Repeat("o", 30), Fingerprint: part}
				for range 32 {
					suspect.Parts = append(suspect.Parts, part)
				}
				crash.Suspects = append(crash.Suspects, suspect)
			}
			record.Crashes = append(record.Crashes, crash)
		}
		encoded := encodeRecord(record)
		So(len(encoded), ShouldBeLessThan, rowBytes)
		decoded, err := decodeRecord(encoded)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, record)
	})
	Convey("A row that can't be read is named and hides no other", t, func() {
		events, err := listRecords([]platform.Row{{Key: "e1", Value: []byte("{")}, {Key: "e2", Value: encodeRecord(poison.Record{})}}, platform.Reading{})
		So(err, ShouldNotBeNil)
		So(events[0].(poison.RowsListed).Rows, ShouldHaveLength, 2)
	})
}
