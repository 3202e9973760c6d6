package loadreport

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

func TestReports(t *testing.T) {
	Convey("Given an agent and an entry that subscribes", t, func() {
		agent, err := net.ListenPacket("udp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		entry, err := net.ListenPacket("udp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			_ = agent.Close()
			_ = entry.Close()
		}()
		publisher, subscriber := NewPublisher(agent), NewSubscriber(entry)
		var reads atomic.Int32
		go func() { _ = publisher.Serve() }()
		go publisher.Run(ctx, "s:1", func() (topology.RankState, bool) {
			reads.Add(1)
			return topology.RankState{Open: true, Queued: 1, Active: 2, Pace: 3, MemoryTokens: 233333}, true
		})
		time.Sleep(3 * reportInterval)
		So(reads.Load(), ShouldEqual, 0) // Without subscribers the load is not read.

		reports := make(chan Report, 100)
		go func() { _ = subscriber.Serve(func(r Report) { reports <- r }) }()
		go subscriber.Run(ctx, func() []string { return []string{agent.LocalAddr().String(), "not an address"} })
		Convey("it gets the server's load", func() {
			select {
			case report := <-reports:
				So(report, ShouldResemble, Report{Server: "s:1", Open: true, Queued: 1, Active: 2, Pace: 3, Entries: 1, MemoryTokens: 233333})
			case <-time.After(5 * time.Second):
				t.Error("no report")
			}
		})
	})
	Convey("A subscription that is not renewed expires", t, func() {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		publisher := NewPublisher(conn)
		address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		publisher.subscribers[address] = time.Now().Add(-subscriptionTTL - time.Second)
		So(publisher.activeSubscribers(), ShouldBeEmpty)
		So(publisher.subscribers, ShouldBeEmpty)
	})
}

func TestReportsOfOtherVersions(t *testing.T) {
	for name, c := range map[string]struct {
		datagram string
		want     Report
	}{
		"an older process, without memory":     {`{"Server":"s:1","Open":true,"Queued":1,"Active":2,"Pace":1,"Group":"g","Entries":3}`, Report{Server: "s:1", Open: true, Queued: 1, Active: 2, Pace: 1, Group: "g", Entries: 3}},
		"a newer process, with unknown fields": {`{"Server":"s:1","Open":true,"M":7,"Future":{"a":[1]},"Classes":[1,2]}`, Report{Server: "s:1", Open: true, MemoryTokens: 7}},
	} {
		Convey("A report is understood that comes from "+name, t, func() {
			got, ok := decode([]byte(c.datagram))
			So(ok, ShouldBeTrue)
			So(got, ShouldResemble, c.want)
		})
	}
	Convey("Memory lengthens a report by about 10 bytes, and a report that doesn't tell it not at all", t, func() {
		bytes := func(r Report) int { data, _ := json.Marshal(r); return len(data) }
		So(bytes(Report{MemoryTokens: 233333})-bytes(Report{}), ShouldBeLessThanOrEqualTo, 11)
		So(string(must(json.Marshal(Report{Server: "s:1"}))), ShouldNotContainSubstring, `"M"`)
	})
	Convey("Memory is told once a second, so that it doesn't lengthen every report to every entry", t, func() {
		told := 0
		for number := range 10 * memoryReportEvery {
			if newReport("s:1", topology.RankState{MemoryTokens: 5}, 1, number).MemoryTokens == 5 {
				told++
			}
		}
		So(told, ShouldEqual, 10)
		So(memoryReportEvery*reportInterval, ShouldEqual, time.Second)
	})
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
