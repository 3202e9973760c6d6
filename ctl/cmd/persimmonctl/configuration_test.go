package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/dev"
)

// anyAddress makes the system listen on a free port. The port cannot be taken by
// another process, because the listener stays open.
const anyAddress = "127.0.0.1:0"

// startDev runs a development system and sets the environment of persimmonctl to
// use it.
func startDev(t *testing.T) {
	t.Helper()
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	options := dev.Options{Listen: anyAddress, Admin: anyAddress, Log: logrus.NewEntry(logger)}
	system, err := dev.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = system.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	first := system.Entries[0]
	t.Setenv(envServers, "http://"+first.Admin)
	t.Setenv(envToken, dev.OperatorToken)
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if response, err := http.Get("http://" + first.Callers + "/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the development system did not become ready")
}

// ctl runs persimmonctl and returns its output and exit code.
func ctl(arguments ...string) (string, int) {
	var out bytes.Buffer
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(&out)
	root.SetErr(&out)
	if err := root.Execute(); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}

func TestConfigurationCommands(t *testing.T) {
	startDev(t)
	dir := t.TempDir()
	files, err := dev.ReadFiles("")
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, text string) string {
		path := filepath.Join(dir, name+".jsonc")
		So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
		return path
	}
	work := string(files["work"])

	Convey("All configuration commands work against a development system", t, func() {
		path := write("work", strings.Replace(work, `"version": "1"`, `"version": "2"`, 1))
		out, code := ctl("diff", path)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, `models[soap-assistant].version  "1"  ->  "2"`)
		out, code = ctl("validate", path)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "valid against revision 1; 1 fields would change")

		out, code = ctl("apply", "--wait", "--timeout", "60s", "--revision", "1", "--id", "first", path)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "accepted as revision 2; 8 of 8 other processes reached at once")
		So(out, ShouldContainSubstring, "revision 2 is in force everywhere")
		out, code = ctl("apply", "--revision", "1", "--id", "first", path)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "accepted as revision 2")
		out, code = ctl("apply", "--revision", "1", path)
		So(code, ShouldEqual, exitConflict)
		So(out, ShouldContainSubstring, "revision 2 was accepted from dev at")
		out, code = ctl("outcome", "first")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, `"revision": 2`)
		_, code = ctl("outcome", "no-such-change")
		So(code, ShouldEqual, exitFailure)

		out, code = ctl("get", "work")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, `"version": "2"`)
		out, _ = ctl("get", "work", "--revision", "1")
		So(out, ShouldContainSubstring, `"version": "1"`)
		out, code = ctl("rollback", "--to", "1")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "accepted as revision 3")

		out, code = ctl("drain", "data-centre", "dc-2", "--wait", "--timeout", "60s")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "data_centres[dc-2].taken_out  false  ->  true")
		_, code = ctl("drain", "data-centre", "dc-1")
		So(code, ShouldEqual, 0)
		_, code = ctl("drain", "backend-server", "no-such-server")
		So(code, ShouldEqual, exitFailure)
		out, code = ctl("return", "data-centre", "dc-1")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "accepted as revision 6")
		out, code = ctl("audit")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "rollback")
		out, code = ctl("audit", "--verify")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "the chain of 6 records is intact")
		out, code = ctl("status")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "revision 6 (accepted)")
	})

	Convey("Invalid files change nothing, and the error names each fault", t, func() {
		cases := []struct{ text, want string }{
			{work[:40], "truncated"},
			{strings.Repeat(" ", 50<<20), "the file has 52428800 bytes"},
			{strings.Repeat("[", 100_000), "nested more than 32 deep"},
			{`{"models": [], "models": []}`, `field "models" appears twice`},
			{`{"models": []}`, `names model "soap-assistant", which does not exist`},
			{strings.Replace(work, "10000", `"10s"`, 1), "write a whole number of milliseconds"},
			{strings.Replace(work, `"idempotent"`, `"idempotency"`, 1), `did you mean "idempotent"?`},
			{`{"models": "` + "\xff" + `"}`, "not valid UTF-8"},
		}
		before, _ := ctl("get")
		for _, c := range cases {
			out, code := ctl("apply", write("work", c.text))
			So(code, ShouldEqual, exitInvalidFile)
			So(out, ShouldContainSubstring, c.want)
		}
		after, _ := ctl("get")
		So(after, ShouldEqual, before)
	})

	Convey("An unknown token is refused", t, func() {
		token := write("token", "wrong")
		_, code := ctl("status", "--token-file", token)
		So(code, ShouldEqual, exitForbidden)
	})
	Convey("An unreachable entry is reported by the exit code", t, func() {
		_, code := ctl("status", "--server", "http://127.0.0.1:1")
		So(code, ShouldEqual, exitUnreachable)
	})
}
