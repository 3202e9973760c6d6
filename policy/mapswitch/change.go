package mapswitch

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// Change is the difference between two expert maps for one rank in one expert
// set. Agents that know the map in force receive changes instead of the whole
// next map, which in a large group is a hundred times as long.
type Change struct {
	Set, Rank int
	Experts   []int // All experts that the rank holds in the expert set after the change.
}

// Changes returns the changes that turn the expert map from into the map to.
func Changes(from, to Map) []Change {
	var changes []Change
	for set := range to {
		for rank := range to[set] {
			if set >= len(from) || rank >= len(from[set]) || !slices.Equal(from[set][rank], to[set][rank]) {
				changes = append(changes, Change{Set: set, Rank: rank, Experts: to[set][rank]})
			}
		}
	}
	return changes
}

// Apply returns a copy of the expert map from with the changes applied. ok is
// false if a change names an expert set or a rank that from does not have.
func Apply(from Map, changes []Change) (to Map, ok bool) {
	to = make(Map, len(from))
	for set := range from {
		to[set] = slices.Clone(from[set])
	}
	for _, change := range changes {
		if change.Set < 0 || change.Set >= len(to) || change.Rank < 0 || change.Rank >= len(to[change.Set]) {
			return nil, false
		}
		to[change.Set][change.Rank] = change.Experts
	}
	return to, true
}

// errChangesMalformed means that bytes are not changes that PackChanges encoded.
var errChangesMalformed = errors.New("malformed map changes")

// PackChanges encodes changes as varints, most of which take one byte: in a large group,
// the changes for all ranks make up most of what a coordinator sends. Changes must be
// ordered by expert set and rank, as Changes returns them.
func PackChanges(changes []Change) []byte {
	var packed []byte
	previous := Change{}
	for _, change := range changes {
		if change.Set != previous.Set {
			previous.Rank = 0
		}
		packed = binary.AppendUvarint(packed, uint64(change.Set-previous.Set))
		packed = binary.AppendUvarint(packed, uint64(change.Rank-previous.Rank))
		packed = binary.AppendUvarint(packed, uint64(len(change.Experts)))
		for _, expert := range change.Experts {
			packed = binary.AppendUvarint(packed, uint64(expert))
		}
		previous = change
	}
	return packed
}

// UnpackChanges decodes changes that PackChanges encoded.
func UnpackChanges(packed []byte) ([]Change, error) {
	var changes []Change
	malformed := false
	next := func() int {
		value, n := binary.Uvarint(packed)
		if n <= 0 || value > math.MaxInt32 {
			malformed, packed = true, nil
			return 0
		}
		packed = packed[n:]
		return int(value)
	}
	previous := Change{}
	for len(packed) > 0 {
		change := Change{Set: previous.Set + next()}
		if change.Set == previous.Set {
			change.Rank = previous.Rank
		}
		change.Rank += next()
		count := next()
		if count > len(packed) {
			return nil, errChangesMalformed
		}
		change.Experts = make([]int, count)
		for i := range change.Experts {
			change.Experts[i] = next()
		}
		changes, previous = append(changes, change), change
	}
	if malformed {
		return nil, errChangesMalformed
	}
	return changes, nil
}

// Shape is the size of a group's expert map: the number of expert sets, of
// experts in each set and of ranks.
type Shape struct{ Sets, Experts, Ranks int }

// InTurn returns the expert map that a new group starts with: the experts of
// each expert set are assigned to the ranks round-robin.
func InTurn(shape Shape) Map {
	roundRobin := make(Map, shape.Sets)
	for set := range roundRobin {
		roundRobin[set] = make([][]int, shape.Ranks)
		for expert := range shape.Experts {
			rank := expert % shape.Ranks
			roundRobin[set][rank] = append(roundRobin[set][rank], expert)
		}
	}
	return roundRobin
}

// RoundRobinShape returns the shape of an expert map that InTurn returned. ok is false
// for any other map.
func RoundRobinShape(m Map) (Shape, bool) {
	if len(m) == 0 {
		return Shape{}, false
	}
	shape := Shape{Sets: len(m), Ranks: len(m[0])}
	for _, experts := range m[0] {
		shape.Experts += len(experts)
	}
	if len(Changes(InTurn(shape), m)) > 0 {
		return Shape{}, false
	}
	return shape, true
}
