package report

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/ctl/load"
)

func TestWrite(t *testing.T) {
	Convey("A page contains its plots in both themes, loads no external resources and escapes texts", t, func() {
		line := experiment.Series{Name: "ours", X: []float64{0, 1}, Y: []float64{0, 0}}
		section := Section{Source: "a.json", Report: experiment.Report{
			Title:  "<script>alert(1)</script>",
			Tables: []experiment.Table{{Title: "T", Columns: []string{"a"}, Rows: [][]string{{"<b>"}}}},
			Plots:  []experiment.Plot{{Name: "p", Title: "<i>P</i>", Series: []experiment.Series{line, {Name: "empty"}}}},
			Notes:  []string{"<img src=x>"},
		}}
		var text strings.Builder
		So(Write(&text, Page{Title: "Room", GeneratedAt: time.Unix(0, 0), Sections: []Section{section}}), ShouldBeNil)
		So(strings.Count(text.String(), "<svg "), ShouldEqual, 2)
		for _, forbidden := range []string{"<script", "<b>", "<i>", "<img", "src=\"http", "href=\"http", "@import"} {
			So(text.String(), ShouldNotContainSubstring, forbidden)
		}
	})
}

func TestReadFile(t *testing.T) {
	Convey("A load result is read as a report, and the error for any other file names the file", t, func() {
		path := filepath.Join(t.TempDir(), "load.json")
		body, err := json.Marshal(load.Result{Seed: 7, Arrivals: load.Arrivals{Shape: load.Poisson, Rate: 3}})
		So(err, ShouldBeNil)
		So(os.WriteFile(path, body, 0o600), ShouldBeNil)
		section, err := ReadFile(path)
		So(err, ShouldBeNil)
		So(section.Report.Title, ShouldContainSubstring, "seed 7")
		So(os.WriteFile(path, []byte(`{"a":1}`), 0o600), ShouldBeNil)
		_, err = ReadFile(path)
		So(err.Error(), ShouldContainSubstring, "load.json is neither")
	})
}

// serveMetrics serves metrics whose counters grow with each scrape, and returns
// the base URL.
func serveMetrics(t *testing.T, revision int) string {
	var readings atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := readings.Add(1)
		fmt.Fprintf(w, "# TYPE persimmonwind_requests_total counter\n")
		fmt.Fprintf(w, "persimmonwind_requests_total{route=\"chat\",code=\"0\"} %d\n", 100*n)
		fmt.Fprintf(w, "persimmonwind_requests_total{route=\"chat\",code=\"2002\"} %d\n", 5*n)
		fmt.Fprintf(w, "# TYPE persimmonwind_first_byte_seconds histogram\n")
		fmt.Fprintf(w, "persimmonwind_first_byte_seconds_bucket{le=\"0.1\"} %d\n", 90*n)
		fmt.Fprintf(w, "persimmonwind_first_byte_seconds_bucket{le=\"0.5\"} %d\n", 100*n)
		fmt.Fprintf(w, "persimmonwind_first_byte_seconds_bucket{le=\"+Inf\"} %d\n", 100*n)
		fmt.Fprintf(w, "# TYPE persimmonwind_revision gauge\npersimmonwind_revision %d\n", revision)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestWatch(t *testing.T) {
	Convey("A deployment report counts what happened between the scrapes and names the processes that do not respond", t, func() {
		addresses := []string{serveMetrics(t, 4), serveMetrics(t, 3), "http://127.0.0.1:1"}
		section, err := Watch(context.Background(), addresses, 3, time.Millisecond)
		So(err, ShouldBeNil)
		tables := map[string][][]string{}
		for _, table := range section.Report.Tables {
			tables[table.Title] = table.Rows
		}
		So(tables["Revisions in force"], ShouldResemble, [][]string{{"4", "1"}, {"3", "1"}, {"no answer", "1"}})
		So(tables["Answers by result code"], ShouldResemble, [][]string{{"0 ok", "400"}, {"2002 overloaded", "20"}})
		So(tables["First byte of an answer (upper bound, ms)"], ShouldResemble, [][]string{{"100", "500", "500"}})
		So(section.Report.Notes[0], ShouldContainSubstring, "http://127.0.0.1:1")
		behind := section.Report.Plots[2].Series[0]
		So(behind.Y, ShouldResemble, []float64{2, 2})
	})
}
