package jsonfile

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type item struct {
	Name      string `json:"name"`
	TimeoutMS int    `json:"timeout_ms"`
	Rate      float64
	Out       bool `json:"out"`
}

type file struct {
	Items []item `json:"items"`
}

func TestDecodeReportsPositionAndHint(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", "{\n  \"items\": [{\"nam\": \"a\"}]}", `f:2:14: field "nam" is unknown; did you mean "name"?`},
		{"other case", `{"Items": []}`, `f:1:2: field "Items" is unknown; did you mean "items"?`},
		{"no similar field", `{"x": 1}`, `f:1:2: field "x" is unknown; known fields: items`},
		{"duplicate name", `{"items": [], "items": []}`, `f:1:15: field "items" appears twice; keep one of them`},
		{"unit in a string", `{"items": [{"timeout_ms": "10s"}]}`, `f:1:27: field "timeout_ms" holds "10s"; write a whole number of milliseconds, without its unit`},
		{"fraction", `{"items": [{"timeout_ms": 0.5}]}`, `f:1:27: field "timeout_ms" holds 0.5; write a whole number of milliseconds, without its unit`},
		{"null", `{"items": [{"out": null}]}`, `f:1:20: field "out" holds null; write true or false`},
		{"object for a list", `{"items": {}}`, `f:1:11: field "items" holds an object; write a list`},
		{"number too large", `{"items": [{"Rate": 1e999}]}`, `f:1:21: field "Rate" holds 1e999; write a number`},
		{"truncated", `{"items": [{"name": "a`, "f:1:"},
		{"empty", "", "f:1:1: "},
		{"columns count characters", `{"items": [{"name": "ľščť", "x": 1}]}`, `f:1:29: field "x" is unknown`},
		{"invalid UTF-8", "{\n\"items\": \"\xff\"}", "f:2:11: the text is not valid UTF-8; save the file as UTF-8"},
		{"text after the value", `{} {}`, "f:1:4: "},
		{"deep nesting", strings.Repeat("[", 1_000_000), "f:1:33: values are nested more than 32 deep"},
		{"deep nesting in an unknown field", `{"x":` + strings.Repeat(`{"x":`, 100), "values are nested more than 32 deep"},
		{"too large", strings.Repeat(" ", 50<<20), "f: the file has 52428800 bytes; at most 16777216 bytes are accepted"},
	}
	Convey("Each problem is reported with its position and a hint", t, func() {
		for _, c := range cases {
			var target file
			err := Decode("f", []byte(c.text), &target)
			So(err, ShouldHaveSameTypeAs, Problems{})
			So(c.name+": "+err.Error(), ShouldContainSubstring, c.want)
		}
	})
	Convey("Comments, trailing commas and brackets inside strings are accepted", t, func() {
		var target file
		text := "/* [[[ */ {// [[[\n\"items\": [{\"name\": \"" + strings.Repeat("[", 100) + "\\\"\",},],}"
		So(Decode("f", []byte(text), &target), ShouldBeNil)
		So(target.Items[0].Name, ShouldEqual, strings.Repeat("[", 100)+`"`)
	})
}

func TestSetInList(t *testing.T) {
	Convey("A field is set and comments are kept", t, func() {
		text := "// top\n{\"items\": [\n  {\"name\": \"a\"}, // first\n  {\"name\": \"b\", \"out\": true}, // second\n]}\n"
		edited, found, err := SetInList("f", []byte(text), "items", "a", "out", true)
		So(err, ShouldBeNil)
		So(found, ShouldBeTrue)
		So(string(edited), ShouldContainSubstring, "// first")
		edited, _, err = SetInList("f", edited, "items", "b", "out", false)
		So(err, ShouldBeNil)
		var target file
		So(Decode("f", edited, &target), ShouldBeNil)
		So(target.Items, ShouldResemble, []item{{Name: "a", Out: true}, {Name: "b"}})
	})
	Convey("An unknown element is not found", t, func() {
		_, found, err := SetInList("f", []byte(`{"items": []}`), "items", "a", "out", true)
		So(err, ShouldBeNil)
		So(found, ShouldBeFalse)
	})
}

// FuzzDecode checks that no text makes Decode or SetInList panic, and that every
// error names the file.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		"", "{}", `{"items": [{"name": "a", "timeout_ms": 1}]}`, "[[[[", `{"items": [{"name":`, "\xff\xfe", "/* ", "// x", `{"a":"\`,
		`{"items": {"items": []}}`, `{"items": [null, 1, "x", {}]}`, `{"name": "\ud800"}`, strings.Repeat("[", 40), `{"items": [{"timeout_ms": 1e400}]}`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var target file
		err := Decode("f", text, &target)
		problems, ok := err.(Problems)
		if err != nil && (!ok || len(problems) == 0 || problems[0].File != "f" || problems[0].Message == "") {
			t.Fatalf("error without file or message: %#v", err)
		}
		_, _, _ = SetInList("f", text, "items", "a", "out", true)
	})
}
