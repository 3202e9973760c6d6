package once

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/once"
)

func TestRowCodec(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		row := once.Row{
			State:       rapid.SampledFrom([]once.State{once.Started, once.Done, once.Cancelled}).Draw(rt, "state"),
			Epoch:       rapid.Uint64().Draw(rt, "epoch"),
			Ended:       rapid.Uint64().Draw(rt, "ended"),
			Fingerprint: rapid.String().Draw(rt, "fingerprint"),
			Execution:   once.Execution{Agent: rapid.String().Draw(rt, "agent"), Nonce: rapid.String().Draw(rt, "nonce")},
		}
		if row.State == once.Done {
			row.Answer = once.Answer{
				Code: rapid.Int().Draw(rt, "code"), Status: rapid.Int().Draw(rt, "status"),
				Body: string(rapid.SliceOf(rapid.Byte()).Draw(rt, "body")),
			}
		}
		value, err := encode(row, time.Now())
		if err != nil {
			rt.Fatal(err)
		}
		if decoded, _, err := decode(value); err != nil || decoded != row {
			rt.Fatalf("row %+v decoded as %+v, %v", row, decoded, err)
		}
	})
}

func TestRowSize(t *testing.T) {
	Convey("The size of a done row is bounded for every inline answer", t, func() {
		id := strings.Repeat("0", 36)
		for _, body := range []int{0, 200, 1000, maxInlineBytes} {
			row := once.Row{
				State: once.Done, Fingerprint: strings.Repeat("0", 64),
				Execution: once.Execution{Agent: "agent-certifications-1", Boot: id, Nonce: id},
				Answer:    once.Answer{Status: 200, ContentType: "application/json", Body: strings.Repeat("x", body)},
			}
			value, err := encode(row, time.Now())
			So(err, ShouldBeNil)
			So(len(value), ShouldBeLessThan, 2*maxInlineBytes)
			t.Logf("answer of %d bytes: row of %d bytes", body, len(value))
		}
	})
}
