package settings

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/spf13/pflag"
)

// load loads an agent's settings from a file with the given text, environment
// variables and command-line arguments.
func load(t *testing.T, text string, variables map[string]string, arguments ...string) (Agent, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	config := DefaultAgent()
	flags := pflag.NewFlagSet("agent", pflag.ContinueOnError)
	loader := NewLoader(flags, &config)
	if err := flags.Parse(append([]string{"--settings", path}, arguments...)); err != nil {
		return config, err
	}
	err := loader.Load(func(name string) (string, bool) {
		value, ok := variables[name]
		return value, ok
	})
	return config, err
}

func TestLoaderPrecedence(t *testing.T) {
	const file = `{"id": "from-file", "tls": {"key": "file.pem"}, "leave_delay_ms": 7} // comment`
	variables := map[string]string{"PERSIMMONWIND_ID": "from-variable", "PERSIMMONWIND_TLS_KEY": "variable.pem"}
	Convey("A flag takes precedence over a variable, and a variable over the file", t, func() {
		config, err := load(t, file, variables, "--id", "from-flag", "--peers", "a:1,b:2")
		So(err, ShouldBeNil)
		So(config.ID, ShouldEqual, "from-flag")
		So(config.TLS.Key, ShouldEqual, "variable.pem")
		So(config.LeaveDelayMS, ShouldEqual, 7)
		So(config.Peers, ShouldResemble, []string{"a:1", "b:2"})
	})
	Convey("A field that no source sets keeps its default", t, func() {
		config, err := load(t, `{}`, nil)
		So(err, ShouldBeNil)
		So(config.LeaveDelayMS, ShouldEqual, defaultLeaveDelayMS)
	})
	Convey("An unknown field is rejected with its file, line and column", t, func() {
		_, err := load(t, "{\n  \"idd\": \"a\"\n}", nil)
		So(err.Error(), ShouldContainSubstring, "agent.jsonc:2:3")
	})
	Convey("A variable of the wrong type is rejected with the expected type", t, func() {
		_, err := load(t, `{}`, map[string]string{"PERSIMMONWIND_LEAVE_DELAY_MS": "soon"})
		So(err.Error(), ShouldContainSubstring, `"leave_delay_ms" is "soon"; it must be an integer`)
	})
}

func TestValidate(t *testing.T) {
	Convey("All problems are reported together", t, func() {
		err := Agent{Kind: "robot", Backend: "nowhere"}.Validate()
		for _, want := range []string{`"id" is missing`, `"control" is ""`, `"backend" is "nowhere"`, `"kind" is "robot"`} {
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
	Convey("Valid settings pass", t, func() {
		process := Process{ID: "a", DataCentre: "d", Control: "127.0.0.1:1", Store: "http://127.0.0.1:2"}
		So(Entry{Process: process, Listen: "127.0.0.1:3", Admin: "127.0.0.1:4"}.Validate(), ShouldBeNil)
	})
}
