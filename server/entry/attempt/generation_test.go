package attempt

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/answer"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/stream"
)

func TestContinuable(t *testing.T) {
	rows := []struct {
		name       string
		code       result.Code
		passed     int // Tokens.
		idempotent bool
		want       bool
	}{
		{"a broken answer", result.CutAnswer, 10, true, true},
		{"a broken answer before its first token", result.CutAnswer, 0, true, true},
		{"a refusal of the rest", result.NoBackendServer, 10, true, true},
		{"a refusal of the whole", result.NoBackendServer, 0, true, false},
		{"a refusal that coming back does not mend", result.UnknownModel, 10, true, false},
		{"work that must not run twice", result.CutAnswer, 10, false, false},
	}
	Convey("An answer goes on elsewhere after", t, func() {
		for _, row := range rows {
			Convey(row.name, func() {
				g := &generation{request: Request{Idempotent: row.idempotent}, assembler: answer.ResumeAt[stream.Piece](row.passed)}
				So(g.continuable(&result.Error{Code: row.code}), ShouldEqual, row.want)
			})
		}
	})
}
