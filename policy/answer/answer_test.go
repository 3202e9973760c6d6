package answer

import (
	"errors"
	"flag"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

// drawParts splits an answer of numbered tokens into parts and adds a last part,
// without tokens, that ends the answer.
func drawParts(t *rapid.T) (parts []Part[[]int], total int) {
	for _, tokens := range rapid.SliceOfN(rapid.IntRange(1, 5), 0, 20).Draw(t, "sizes") {
		payload := make([]int, tokens)
		for i := range payload {
			payload[i] = total + i
		}
		parts = append(parts, Part[[]int]{ID: "a", From: total, Tokens: tokens, Payload: payload})
		total += tokens
	}
	return append(parts, Part[[]int]{ID: "a", From: total, End: true}), total
}

// TestAnyOrderAndDuplicates checks the invariants of the package for parts that
// arrive in any order and more than once.
func TestAnyOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts, total := drawParts(t)
		repeats := rapid.SliceOfN(rapid.SampledFrom(parts), 0, 5).Draw(t, "repeats")
		arrivals := rapid.Permutation(append(parts, repeats...)).Draw(t, "arrivals")
		var assembler Assembler[[]int]
		var got []int
		for _, part := range arrivals {
			payloads, err := assembler.Accept("a", part)
			if err != nil {
				t.Fatalf("part %+v: %v", part, err)
			}
			for _, payload := range payloads {
				got = append(got, payload...)
			}
		}
		if !assembler.Ended() || len(got) != total {
			t.Fatalf("ended %v with %d of %d tokens", assembler.Ended(), len(got), total)
		}
		for i, token := range got {
			if token != i {
				t.Fatalf("token %d delivered at position %d", token, i)
			}
		}
	})
}

// TestLostPart checks that an answer with a missing part never ends.
func TestLostPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts, _ := drawParts(t)
		lost := rapid.IntRange(0, len(parts)-1).Draw(t, "lost")
		var assembler Assembler[[]int]
		for i, part := range parts {
			if i == lost {
				continue
			}
			_, _ = assembler.Accept("a", part)
		}
		if assembler.Ended() {
			t.Fatalf("ended without part %d", lost)
		}
	})
}

func TestRefusedParts(t *testing.T) {
	Convey("Given an answer with four tokens delivered", t, func() {
		var assembler Assembler[string]
		_, err := assembler.Accept("a", Part[string]{ID: "a", Tokens: 4})
		So(err, ShouldBeNil)

		refused := []struct {
			name string
			part Part[string]
			want error
		}{
			{"a part of another answer", Part[string]{ID: "b", From: 4, Tokens: 1}, ErrWrongAnswer},
			{"a part that overlaps", Part[string]{ID: "a", From: 2, Tokens: 4}, ErrOverlap},
			{"an end inside the answer", Part[string]{ID: "a", From: 3, End: true}, ErrOverlap},
			{"a negative offset", Part[string]{ID: "a", From: -1, Tokens: 1}, ErrGap},
		}
		for _, row := range refused {
			Convey(row.name+" is refused", func() {
				payloads, err := assembler.Accept("a", row.part)
				So(errors.Is(err, row.want), ShouldBeTrue)
				So(payloads, ShouldBeEmpty)
			})
		}

		Convey("too many parts after a gap are refused", func() {
			var err error
			for from := 5; err == nil && from < 1000; from++ {
				_, err = assembler.Accept("a", Part[string]{ID: "a", From: from, Tokens: 1})
			}
			So(errors.Is(err, ErrGap), ShouldBeTrue)
		})
	})
}
