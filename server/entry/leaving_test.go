package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/leave/leavetest"
	"persimmonwind.dev/server/settings"
)

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return listener
}

// Guards against closing a kept connection when the entry is told to stop although a
// request has just arrived on it.
func TestRequestThatArrivesAsTheEntryIsToldToStop(t *testing.T) {
	Convey("Given an entry with a kept connection", t, func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		callers := leavetest.NewListener(listen())
		e := New(settings.Entry{Process: settings.Process{ID: "entry", DataCentre: "dc", Store: "http://127.0.0.1:1", LeaveDelayMS: 300}}, Listeners{Control: listen(), Callers: callers, Admin: listen()}, logrus.NewEntry(log))
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- e.Run(ctx) }()
		conn, err := net.Dial("tcp", callers.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		send := func() { _, _ = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n") }
		receive := func() (*http.Response, error) {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			return response, err
		}
		send()
		response, err := receive()
		So(err, ShouldBeNil)
		So(response.Close, ShouldBeFalse)
		time.Sleep(20 * time.Millisecond) // The connection is idle.

		Convey("a request that has arrived and is parsed only after the signal is answered", func() {
			release := callers.Hold()
			send()
			<-callers.Arrivals
			stop()
			time.Sleep(100 * time.Millisecond)
			release()
			response, err := receive()
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusNotFound)
			So(response.Close, ShouldBeTrue)
		})
		Convey("an idle connection is served for the leave delay", func() {
			stop()
			time.Sleep(100 * time.Millisecond)
			send()
			response, err := receive()
			So(err, ShouldBeNil)
			So(response.Close, ShouldBeTrue)
		})
		stop()
		So(<-ended, ShouldBeNil)
	})
}
