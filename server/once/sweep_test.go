package once

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/standin/store"
)

func TestSweep(t *testing.T) {
	Convey("Given 250 done rows, every second one with a large answer", t, func() {
		standIn := store.New()
		server := httptest.NewServer(standIn.Handler())
		defer server.Close()
		client := httpapi.NewStore(server.URL, httpapi.NewTransport())
		rows := &Rows{Table: client, Objects: client.Objects()}
		ctx := context.Background()
		large := strings.Repeat("x", maxInlineBytes+1)
		var objects []string
		for number := range 250 {
			row := policy.Row{State: policy.Done, Answer: policy.Answer{Status: 200, Body: "small"}, Execution: policy.Execution{Nonce: fmt.Sprint(number)}}
			if number%2 == 0 {
				row.Answer.Body = large
			}
			key := policy.RowKey("org", fmt.Sprint(number))
			So(rows.Write(ctx, key, policy.WriteRow{Row: row}), ShouldHaveSameTypeAs, policy.WriteSucceeded{})
			read := rows.Read(ctx, key, policy.ReadRow{}).(policy.RowRead)
			answer, err := rows.LoadAnswer(ctx, read.Row.Answer)
			So(err, ShouldBeNil)
			So(answer.Body, ShouldEqual, row.Answer.Body)
			if read.Row.Answer.Object != "" {
				objects = append(objects, read.Row.Answer.Object)
			}
		}
		So(objects, ShouldHaveLength, 125)
		removed := 0
		sweeper := &Sweeper{Rows: rows, OnRemoved: func(count int) { removed += count }}
		sweep := func(now time.Time) {
			after := ""
			for {
				next, err := sweeper.sweepPage(ctx, policy.RowPrefix, after, now)
				So(err, ShouldBeNil)
				if next == "" {
					return
				}
				after = next
			}
		}

		Convey("no row is removed before the retention has passed", func() {
			sweep(time.Now().Add(Retention - time.Hour))
			So(removed, ShouldEqual, 0)
		})

		Convey("all rows and their answers are removed after the retention, with three writes", func() {
			before := standIn.Counts().Writes
			sweep(time.Now().Add(Retention + time.Hour))
			So(removed, ShouldEqual, 250)
			So(standIn.Counts().Writes-before, ShouldEqual, 3)
			for _, name := range objects {
				_, err := client.Objects().Get(ctx, name)
				So(err, ShouldNotBeNil)
			}
		})

		Convey("a row that can't be read keeps none of the others from being removed", func() {
			key := policy.RowKey("org", "odd")
			So(client.Commit(ctx, ports.Tx{Writes: []ports.Write{{Key: key, Value: []byte("{")}}}), ShouldBeNil)
			problems, after := 0, ""
			for page := 0; page == 0 || after != ""; page++ {
				next, err := sweeper.sweepPage(ctx, policy.RowPrefix, after, time.Now().Add(Retention+time.Hour))
				if err != nil {
					problems++
				}
				after = next
			}
			So(removed, ShouldEqual, 250)
			So(problems, ShouldEqual, 1)
			listed, err := client.List(ctx, policy.RowPrefix, "", 10)
			So(err, ShouldBeNil)
			So(listed, ShouldHaveLength, 1)
			So(listed[0].Key, ShouldEqual, key)
		})

		Convey("a row that was written after it was listed is kept", func() {
			listed, err := client.List(ctx, policy.RowPrefix, "", 1)
			So(err, ShouldBeNil)
			written := policy.WriteRow{Version: listed[0].Version, Row: policy.Row{State: policy.Cancelled, Epoch: 1}}
			So(rows.Write(ctx, listed[0].Key, written), ShouldHaveSameTypeAs, policy.WriteSucceeded{})
			So(sweeper.removeExpired(ctx, listed, time.Now().Add(time.Hour)), ShouldNotBeNil)
			So(rows.Read(ctx, listed[0].Key, policy.ReadRow{}).(policy.RowRead).Row.Epoch, ShouldEqual, 1)
		})
	})

	Convey("Shards are distributed about evenly over the entries", t, func() {
		entries := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
		owned := map[string]int{}
		for shard := range shardCount {
			owned[owner(shard, entries)]++
		}
		for _, entry := range entries {
			So(owned[entry], ShouldBeBetween, shardCount/8, shardCount/2)
		}
	})
}
