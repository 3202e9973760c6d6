package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func validFiles() Files {
	return Files{
		FileDataCentres: []byte(`{"data_centres": [
  {"name": "dc-1", "region": "r"},
  {"name": "dc-2", "region": "r"}]}`),
		FileWork: []byte(`{"models": [{"name": "m", "version": "1", "adapters": ["x"]}],
"services": [{"name": "s", "operations": [{"name": "book", "idempotent": false, "timeout_ms": 10000}]}]}`),
		FileBackendServers: []byte(`{"backend_servers": [
  {"name": "e1", "data_centre": "dc-1", "model": "m", "group": "g", "rank": 0, "full_limit": 8, "cold_limit": 2},
  {"name": "s1", "data_centre": "dc-2", "service": "s", "full_limit": 8, "cold_limit": 2}]}`),
		FileOrganisations: []byte(`{"organisations": [
  {"name": "o", "key_sha256": ["` + strings.Repeat("a", 64) + `"], "weight": 1}]}`),
	}
}

func TestBuildReportsEachProblem(t *testing.T) {
	cases := []struct{ file, old, new, want string }{
		{FileBackendServers, `"dc-1"`, `"dc-9"`, `backend_servers:2:33: backend server "e1" names data centre "dc-9", which does not exist`},
		{FileBackendServers, `"model": "m"`, `"model": "n"`, `names model "n", which does not exist`},
		{FileBackendServers, `"service": "s"`, `"service": "t"`, `names service "t", which does not exist`},
		{FileBackendServers, `"service": "s", `, ``, `set exactly one of model and service`},
		{FileBackendServers, `"model": "m"`, `"model": "m", "service": "s"`, `set exactly one of model and service`},
		{FileBackendServers, `"s1"`, `"e1"`, `backend_servers:3:12: backend server "e1" is listed twice`},
		{FileBackendServers, `"full_limit": 8`, `"full_limit": 0`, `backend_servers:2:94: the value 0 is out of bounds; write 1 to 100000 requests at a time`},
		{FileBackendServers, `"cold_limit": 2`, `"cold_limit": 9`, `at most full_limit`},
		{FileBackendServers, `"group": "g", `, `"rank": 3, "group": "", `, `field "rank" appears twice`},
		{FileBackendServers, `"group": "g", "rank": 0`, `"rank": 3`, `has a rank but no group`},
		{FileDataCentres, `"dc-2"`, `"dc-1"`, `data centre "dc-1" is listed twice`},
		{FileDataCentres, `"dc-2"`, `"dc 2"`, `data centre has the name "dc 2"`},
		{FileDataCentres, `"dc-1", "region": "r"`, `"dc-1"`, `data centre "dc-1" has the region ""`},
		{FileWork, `10000`, `10`, `write 50 to 3600000 milliseconds`},
		{FileWork, `["x"]`, `["x", "x"]`, `adapter "x" is listed twice`},
		{FileOrganisations, `"weight": 1`, `"weight": 0`, `has the weight 0`},
		{FileOrganisations, strings.Repeat("a", 64), "dev-key", `write the SHA-256 of the key as 64 lower-case hex digits`},
	}
	Convey("The files are valid", t, func() {
		snapshot, err := Build(3, validFiles())
		So(err, ShouldBeNil)
		So(snapshot.Versions[FileWork].Revision, ShouldEqual, 3)
	})
	Convey("Each problem is reported with its position", t, func() {
		for _, c := range cases {
			files := validFiles()
			text := string(files[c.file])
			So(text, ShouldContainSubstring, c.old)
			files[c.file] = []byte(strings.Replace(text, c.old, c.new, 1))
			_, err := Build(1, files)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
	Convey("A file that breaks the references of another file is rejected", t, func() {
		files := validFiles()
		files[FileDataCentres] = []byte(`{"data_centres": [{"name": "dc-1", "region": "r"}]}`)
		_, err := Build(1, files)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, `names data centre "dc-2", which does not exist`)
	})
	Convey("An unknown file is rejected", t, func() {
		_, err := Build(1, Files{"fish": []byte("{}")})
		So(err, ShouldNotBeNil)
	})
}

func TestDiffListsChangedFields(t *testing.T) {
	Convey("Only fields that differ are listed, regardless of order and comments", t, func() {
		old, updated := validFiles(), validFiles()
		updated[FileDataCentres] = []byte(`{"data_centres": [ // In reverse order.
  {"name": "dc-2", "region": "r", "taken_out": true},
  {"name": "dc-1", "region": "r", "taken_out": false}]}`)
		changes, err := Diff(old, updated)
		So(err, ShouldBeNil)
		So(changes, ShouldResemble, []Change{{File: FileDataCentres, Path: "data_centres[dc-2].taken_out", Old: "false", New: "true"}})
	})
	Convey("A removed element lists its fields", t, func() {
		updated := validFiles()
		updated[FileOrganisations] = []byte(`{}`)
		changes, err := Diff(validFiles(), updated)
		So(err, ShouldBeNil)
		So(changes[0], ShouldResemble, Change{File: FileOrganisations, Path: "organisations[o].concurrency", Old: "0"})
	})
}

// FuzzBuild checks that no set of files makes Build or Diff panic, and that
// Diff accepts the files that Build accepts.
func FuzzBuild(f *testing.F) {
	files := validFiles()
	f.Add(files[FileDataCentres], files[FileWork], files[FileBackendServers], files[FileOrganisations])
	f.Add([]byte("{}"), []byte("[]"), []byte(`{"backend_servers": [{}]}`), []byte(`{"organisations": [{"key_sha256": [""]}]}`))
	f.Add([]byte(""), []byte("\xff"), []byte(`{"backend_servers": [{"name":`), []byte("[[["))
	f.Fuzz(func(t *testing.T, dataCentres, work, servers, organisations []byte) {
		fuzzed := Files{FileDataCentres: dataCentres, FileWork: work, FileBackendServers: servers, FileOrganisations: organisations}
		if _, err := Build(1, fuzzed); err != nil {
			return
		}
		if _, err := Diff(files, fuzzed); err != nil {
			t.Fatalf("Diff rejected files that Build accepted: %v", err)
		}
	})
}

// BenchmarkBuild measures Build with several numbers of organisations.
func BenchmarkBuild(b *testing.B) {
	for _, count := range []int{1_500, 5_000, 15_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkBuild(b, count) })
	}
}

func benchmarkBuild(b *testing.B, count int) {
	files := validFiles()
	var text strings.Builder
	text.WriteString(`{"organisations": [`)
	for index := range count {
		name := fmt.Sprintf("organisation-%05d", index)
		fmt.Fprintf(&text, `{"name": %q, "key_sha256": [%q], "weight": 1, "requests_per_second": 10, "concurrency": 5},`, name, Digest([]byte(name)))
	}
	text.WriteString("]}")
	files[FileOrganisations] = []byte(text.String())
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Build(1, files); err != nil {
			b.Fatal(err)
		}
	}
}
