package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// request returns a suspect that is told apart by its fingerprint, with the parts of its
// prompt.
func request(fingerprint string, parts ...string) Suspect {
	return Suspect{Organisation: "o", Parts: parts, Fingerprint: fingerprint}
}

func (f *fleet) served(entry string, request Suspect) {
	f.step(entry, Answered{Service: "s", Request: request})
}

func (f *fleet) refusesRequest(entry string, request Suspect) bool {
	_, _, found := f.states[entry].Verdicts.Find("s", request, f.now)
	return found
}

// Guards against one request that ends server after server (BUDGET): it has no prompt, or
// one whose parts sound requests have as well.
func TestRepeatedRequest(t *testing.T) {
	bad := request("bad")
	Convey("A request that was at two servers that ended is refused by all entries, other requests that were there once are not", t, func() {
		f := newFleet("e1", "e2", "e3")
		f.crash("e1", "i-1", bad, request("x"))
		So(f.refusesRequest("e1", bad), ShouldBeFalse)
		f.crash("e2", "i-2", bad, request("y"))
		for _, entry := range []string{"e1", "e2", "e3"} {
			So(f.refusesRequest(entry, bad), ShouldBeTrue)
			So(f.refusesRequest(entry, request("x")), ShouldBeFalse)
			So(f.refusesRequest(entry, request("y")), ShouldBeFalse)
		}
	})
	Convey("It is refused too where a sound request, which nobody there has seen answered, was at more servers", t, func() {
		f := newFleet("e1")
		for i := range 3 {
			suspects := []Suspect{request("popular")}
			if i > 0 {
				suspects = append(suspects, bad)
			}
			f.crash("e1", fmt.Sprint("i-", i), suspects...)
		}
		So(f.refusesRequest("e1", bad), ShouldBeTrue)
	})
	Convey("It explains the parts of its prompt: other requests with them are not refused", t, func() {
		f := newFleet("e1")
		for i := range 3 {
			f.crash("e1", fmt.Sprint("i-", i), request("bad", "common", "subject"), request(fmt.Sprint("sound", i), "common"))
			f.pass(betweenCrashes)
		}
		So(f.refusesRequest("e1", request("bad", "common", "subject")), ShouldBeTrue)
		So(f.refusesRequest("e1", request("other", "common", "subject")), ShouldBeFalse)

		Convey("until another request with the same part ends a server more", func() {
			f.crash("e1", "i-3", request("other", "subject"))
			So(f.refusesRequest("e1", request("new", "subject")), ShouldBeTrue)
			So(f.refusesRequest("e1", request("new", "common")), ShouldBeFalse)
		})
	})
	Convey("A request that many send, and that was answered before, is not refused when all servers end together", t, func() {
		popular := request("popular")
		f := newFleet("e1", "e2")
		f.served("e1", popular)
		f.pass(time.Second)
		for i := range 3 {
			f.crash("e1", fmt.Sprint("i-", i), popular)
		}
		So(f.refusesRequest("e1", popular), ShouldBeFalse)

		Convey("the entries that don't know it learn that it is sound from its first answer", func() {
			So(f.refusesRequest("e2", popular), ShouldBeTrue)
			f.pass(betweenCrashes)
			f.served("e1", popular)
			f.pass(clearanceSpread)
			So(f.refusesRequest("e2", popular), ShouldBeFalse)
		})
		Convey("it is refused if a server ends under it again before it is answered", func() {
			f.pass(betweenCrashes)
			f.crash("e1", "i-3", popular)
			So(f.refusesRequest("e1", popular), ShouldBeTrue)
		})
	})
	Convey("Requests that their callers invent displace neither the memory of sound parts nor that of another organisation's requests", t, func() {
		f := newFleet("e1")
		f.served("e1", request("popular", "common"))
		for i := range 10 * soundTraitsEach {
			f.step("e1", Answered{Service: "s", Request: Suspect{Organisation: "attacker", Fingerprint: fmt.Sprint("a", i)}})
			f.served("e1", Suspect{Organisation: "o", Fingerprint: fmt.Sprint("b", i)})
		}
		f.crash("e1", "i-1", request("", "common"))
		f.pass(betweenCrashes)
		f.crash("e1", "i-2", request("", "common"))
		So(f.refusesRequest("e1", request("", "common")), ShouldBeFalse)
	})
}

func TestFingerprint(t *testing.T) {
	Convey("Requests have one fingerprint if and only if method, target, organisation and body are the same", t, func() {
		seen := map[string]string{}
		for _, fields := range [][4]string{
			{"GET", "/a", "o", ""}, {"POST", "/a", "o", ""}, {"GET", "/a?", "o", ""}, {"GET", "/a?q", "o", ""}, {"GET", "/a", "p", ""},
			{"GET", "/a", "o", "b"}, {"GET", "/ao", "", ""}, {"GET", "/", "ao", ""}, {"GET", "/a", "", "o"},
		} {
			fingerprint := Fingerprint(fields[0], fields[1], fields[2], []byte(fields[3]))
			So(seen[fingerprint], ShouldBeEmpty)
			seen[fingerprint] = fmt.Sprint(fields)
			So(Fingerprint(fields[0], fields[1], fields[2], []byte(fields[3])), ShouldEqual, fingerprint)
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 4 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Fingerprint("POST", "/a", "o", body)
			}
		})
	}
}
