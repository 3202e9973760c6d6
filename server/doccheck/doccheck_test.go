// Package doccheck checks that the tables in docs/ match the code. Its tests write
// the tables when they are run with -update.
package doccheck

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/gateway"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/mapcontrol"
	"persimmonwind.dev/server/metrics"
	"persimmonwind.dev/server/quarantine"
	"persimmonwind.dev/server/settings"
	"persimmonwind.dev/server/upstream"
)

var update = flag.Bool("update", false, "write the tables instead of checking them")

func checkPage(t *testing.T, path, want string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from the code; run: go test ./server/doccheck -update", path)
	}
}

func TestResultCodes(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Result codes\n\nGenerated from package `result` by `go test ./server/doccheck -update`.\n\n")
	page.WriteString("\"Not run\" guarantees that the work did not run. \"Retry\" means that a later attempt can succeed; the answer says when.\n\n")
	page.WriteString("| code | name | HTTP status | not run | retry | meaning |\n|---|---|---|---|---|---|\n")
	codes := result.Codes()
	slices.Sort(codes)
	for _, code := range codes {
		info := result.Describe(code)
		fmt.Fprintf(&page, "| %d | `%s` | %d | %s | %s | %s |\n", int(code), info.Name, info.HTTPStatus, yesOrEmpty(info.NotRun), yesOrEmpty(info.Retryable), info.Meaning)
	}
	checkPage(t, "../../docs/RESULT_CODES.md", page.String())
}

func TestLogEvents(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Log events\n\nGenerated from package `logevent` by `go test ./server/doccheck -update`.\n\n")
	page.WriteString("Every log line is JSON with the fields `event` (the number) and `name`.\n\n")
	page.WriteString("| event | name | level | meaning |\n|---|---|---|---|\n")
	events := logevent.Events()
	slices.SortFunc(events, func(a, b logevent.Event) int { return a.ID - b.ID })
	for index, event := range events {
		if index > 0 && events[index-1].ID == event.ID {
			t.Errorf("event number %d is used twice: %s and %s", event.ID, events[index-1].Name, event.Name)
		}
		meaning := strings.TrimSpace(event.Meaning + " " + event.Fields)
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s |\n", event.ID, event.Name, event.Level, meaning)
	}
	checkPage(t, "../../docs/LOG_EVENTS.md", page.String())
}

func TestSettings(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Settings\n\nGenerated from package `settings` by `go test ./server/doccheck -update`.\n\n")
	page.WriteString("A flag takes precedence over an environment variable, and that over the settings file (`--settings FILE`, JSON with comments). ")
	page.WriteString("An unknown or malformed field is rejected with its file, line and column. Lists in flags and variables are separated by commas.\n")
	entry, agent := settings.DefaultEntry(), settings.DefaultAgent()
	writeSettings(&page, "persimmonwind entry", settings.Fields(&entry))
	writeSettings(&page, "persimmonwind agent", settings.Fields(&agent))
	checkPage(t, "../../docs/SETTINGS.md", page.String())
}

func writeSettings(page *strings.Builder, command string, fields []settings.Field) {
	fmt.Fprintf(page, "\n## `%s`\n\n| field | type | default | flag | variable | meaning |\n|---|---|---|---|---|---|\n", command)
	for _, field := range fields {
		flagName, variable := "`--"+field.Flag()+"`", "`"+field.Env()+"`"
		if field.FileOnly() {
			flagName, variable = "", ""
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s | %s |\n", field.Name, field.Type(), field.Default, flagName, variable, field.Doc)
	}
}

func TestMetrics(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Metrics\n\nGenerated from package `metrics` by `go test ./server/doccheck -update`.\n\n")
	page.WriteString("Entries serve `/metrics` on their addresses for callers and for operators, agents on the address of their health checks. ")
	page.WriteString("The standard metrics of the Go runtime and the process are included.\n\n| metric | type | meaning |\n|---|---|---|\n")
	m := metrics.New(func() control.State { return control.State{} })
	m.RegisterInFlight(func() int { return 0 })
	m.ObserveRequest("route", result.OK, 0)
	m.ObserveFirstByte("route", 0)
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if strings.HasPrefix(family.GetName(), "persimmonwind_") {
			fmt.Fprintf(&page, "| `%s` | %s | %s |\n", family.GetName(), strings.ToLower(family.GetType().String()), family.GetHelp())
		}
	}
	page.WriteString("\nThe processes on the users' platform serve `/metrics` on the port set by `--metrics-port`:\n\n| metric | type | meaning |\n|---|---|---|\n")
	writeDeployedMetrics(t, &page)
	checkPage(t, "../../docs/METRICS.md", page.String())
}

// writeDeployedMetrics writes the metrics of entries and agents on the users'
// platform with the types and help texts from their registries.
func writeDeployedMetrics(t *testing.T, page *strings.Builder) {
	t.Helper()
	registry := prometheus.NewRegistry()
	gatewayMetrics := gateway.NewMetrics(registry)
	gatewayMetrics.ObserveRequest(result.OK, 0)
	gatewayMetrics.ObserveBroken(upstream.OtherEnd, false)
	gatewayMetrics.ObserveDecision(dispatch.Decision{})
	gatewayMetrics.ObserveRefusal("", 0)
	quarantine.NewMetrics(registry)
	mapMetrics := mapcontrol.NewMetrics(registry)
	mapMetrics.CountPhase("idle")
	mapMetrics.CountElections("elected")
	mapMetrics.CountDemandCalls("none", "written")
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", family.GetName(), strings.ToLower(family.GetType().String()), family.GetHelp())
	}
}

func yesOrEmpty(value bool) string {
	if value {
		return "yes"
	}
	return ""
}
