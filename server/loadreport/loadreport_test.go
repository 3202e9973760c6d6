package loadreport

import (
	"context"
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
			return topology.RankState{Open: true, Queued: 1, Active: 2, Pace: 3}, true
		})
		time.Sleep(3 * reportInterval)
		So(reads.Load(), ShouldEqual, 0) // Without subscribers the load is not read.

		reports := make(chan Report, 100)
		go func() { _ = subscriber.Serve(func(r Report) { reports <- r }) }()
		go subscriber.Run(ctx, func() []string { return []string{agent.LocalAddr().String(), "not an address"} })
		Convey("it gets the server's load", func() {
			select {
			case report := <-reports:
				So(report, ShouldResemble, Report{Server: "s:1", Open: true, Queued: 1, Active: 2, Pace: 3, Entries: 1})
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
