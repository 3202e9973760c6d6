package gateway

import (
	"fmt"
	"net/http"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/server/logevent"
)

func TestLogTellsHowAnExchangeEndedAndThePartsOfItsPrompt(t *testing.T) {
	Convey("The line of an attempt whose server closes the connection tells the parts but the last", t, func() {
		b := newBackend("b1", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			writeEvents(w, 1, 2, true)
		})
		s := newSystem(b)
		defer s.close(b)
		hook := logtest.NewLocal(s.gateway.log.Logger)
		_, _, err := s.send("POST", "/stream/x", "", func(r *http.Request) { r.Header.Set(header.Prefix, "aa:40,bb:200,cc:7") })
		So(err, ShouldBeNil)
		lines := 0
		for _, entry := range hook.AllEntries() {
			if entry.Data["event"] != logevent.AttemptFailed.ID {
				continue
			}
			lines++
			So(entry.Data["end"], ShouldEqual, "closed")
			So(entry.Data["events"], ShouldEqual, 0)
			So(entry.Data["organisation"], ShouldEqual, "org-a")
			So(fmt.Sprint(entry.Data["parts"]), ShouldEqual, "[aa bb]")
		}
		So(lines, ShouldEqual, 1)
	})
}
