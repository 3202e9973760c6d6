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
		delivered  int // Tokens delivered before.
		idempotent bool
		want       bool
	}{
		{"a cut answer", result.CutAnswer, 10, true, true},
		{"a cut answer before its first token", result.CutAnswer, 0, true, true},
		{"a refusal to continue", result.NoBackendServer, 10, true, true},
		{"a refusal before the first token", result.NoBackendServer, 0, true, false},
		{"a refusal that is not retryable", result.UnknownModel, 10, true, false},
		{"non-idempotent work", result.CutAnswer, 10, false, false},
	}
	Convey("Whether an answer is continued elsewhere after", t, func() {
		for _, row := range rows {
			Convey(row.name, func() {
				g := &generation{request: Request{Idempotent: row.idempotent}, assembler: answer.ResumeAt[stream.Piece](row.delivered)}
				So(g.canContinue(&result.Error{Code: row.code}), ShouldEqual, row.want)
			})
		}
	})
}
