package mapswitch

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestChangesAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Map {
			experts := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 3)
			return rapid.SliceOfN(rapid.SliceOfN(experts, 3, 3), 2, 2).Draw(t, name)
		}
		from, to := draw("from"), draw("to")
		changes, err := UnpackChanges(PackChanges(Changes(from, to)))
		if err != nil {
			t.Fatal(err)
		}
		applied, ok := Apply(from, changes)
		if !ok || !reflect.DeepEqual(applied, to) {
			t.Fatalf("got %v, want %v", applied, to)
		}
	})
}

func TestUnpackChangesOfForeignBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes, err := UnpackChanges(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		if err == nil {
			_, _ = Apply(Map{{{0}, {1}}}, changes) // Must not panic.
		}
	})
	if _, ok := Apply(Map{{{0}}}, []Change{{Set: -1}}); ok {
		t.Error("a change of a negative expert set was applied")
	}
}

func TestRoundRobinShape(t *testing.T) {
	shape := Shape{Sets: 2, Experts: 7, Ranks: 3}
	if got, ok := RoundRobinShape(InTurn(shape)); !ok || got != shape {
		t.Errorf("got %v, %v", got, ok)
	}
	other := InTurn(shape)
	other[1][2] = []int{0}
	if got, ok := RoundRobinShape(other); ok || got != (Shape{}) {
		t.Errorf("a map with another placement is recognised as a round-robin map: %v", got)
	}
}
