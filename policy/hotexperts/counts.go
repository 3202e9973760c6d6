package hotexperts

import (
	"encoding/binary"
	"fmt"
)

// twoByteShare is the largest share of counters that SumPacked encodes in two bytes or
// more.
const twoByteShare = 0.1

// maxCountShift limits the precision that encoded counters may lose.
const maxCountShift = 16

// PackCounts encodes by how much each counter in counts exceeds that in before, as
// varints of one to two bytes: in a large group, counters make up most of what agents
// send. A counter that has decreased, as after a restart, is encoded as zero.
func PackCounts(before, counts []int64) []byte {
	gains := make([]int64, len(counts))
	for i, count := range counts {
		gains[i] = count
		if i < len(before) {
			gains[i] -= before[i]
		}
	}
	return packShifted(gains, 0)
}

// packShifted encodes the shift and the counters without their lowest shift bits.
func packShifted(counters []int64, shift int) []byte {
	packed := make([]byte, 0, 1+len(counters)*5/4)
	packed = binary.AppendUvarint(packed, uint64(shift))
	for _, counter := range counters {
		packed = binary.AppendUvarint(packed, uint64(max(0, counter))>>shift)
	}
	return packed
}

// UnpackCounts decodes the increases of counters that PackCounts or SumPacked encoded.
func UnpackCounts(packed []byte) ([]int64, error) {
	shift, n := binary.Uvarint(packed)
	if n <= 0 || shift > maxCountShift {
		return nil, fmt.Errorf("packed counts: invalid shift %d", shift)
	}
	packed = packed[n:]
	gains := make([]int64, 0, len(packed))
	for len(packed) > 0 {
		value, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, fmt.Errorf("packed counts: invalid varint at index %d", len(gains))
		}
		gains = append(gains, int64(value<<shift))
		packed = packed[n:]
	}
	return gains, nil
}

// SumPacked adds up increases that PackCounts encoded and encodes the sums. All inputs
// must have the same number of counters. Large sums lose their lowest bits, so that most
// of them take one byte: the load of an expert need not be known exactly.
func SumPacked(inputs [][]byte) ([]byte, error) {
	var sums []int64
	for i, packed := range inputs {
		gains, err := UnpackCounts(packed)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			sums = gains
			continue
		}
		if len(gains) != len(sums) {
			return nil, fmt.Errorf("packed counts: %d counters, others have %d", len(gains), len(sums))
		}
		for counter, gained := range gains {
			sums[counter] += gained
		}
	}
	return packShifted(sums, oneByteShift(sums)), nil
}

// oneByteShift returns the smallest shift at which most counters fit in one byte.
func oneByteShift(counters []int64) int {
	const oneByteLimit = 128
	for shift := range maxCountShift {
		large := 0
		for _, counter := range counters {
			if counter>>shift >= oneByteLimit {
				large++
			}
		}
		if float64(large) <= twoByteShare*float64(len(counters)) {
			return shift
		}
	}
	return maxCountShift
}
