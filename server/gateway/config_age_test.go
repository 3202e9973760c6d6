package gateway

import (
	"net/http"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/server/logevent"
)

// Guards against refusals by an old configuration that the log does not show as such.
func TestConfigurationOfARefusedRequestIsLogged(t *testing.T) {
	Convey("The end of a refused request is logged with the version that decided it and its age", t, func() {
		const age = 200 * time.Millisecond
		for path, key := range map[string]string{"/safe/x": "an-unknown-key", "/nowhere/x": "key-a"} {
			s := newSystem()
			hook := logtest.NewLocal(s.gateway.log.Logger)
			time.Sleep(age)
			_, _, err := s.send("GET", path, "", func(r *http.Request) { r.Header.Set(header.Authorization, "Token "+key) })
			So(err, ShouldBeNil)
			s.close() // Waits until the request has been logged, which is after its answer.
			line := hook.LastEntry().Data
			So(line["event"], ShouldEqual, logevent.RequestEnded.ID)
			So(line["config"], ShouldEqual, 1)
			So(line["config_age_ms"], ShouldBeBetweenOrEqual, age.Milliseconds(), time.Minute.Milliseconds())
		}
	})
}
