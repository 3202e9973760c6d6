package hotexperts

import (
	"encoding/binary"
	"fmt"
)

// PackCounts encodes what the counts have gained since before, in one to two
// bytes a number; the counts of a large group are most of what its agents
// send. Counts that have fallen, as after a restart, gain nothing.
func PackCounts(before, counts []int64) []byte {
	packed := make([]byte, 0, 2*len(counts))
	for i, count := range counts {
		gained := count
		if i < len(before) {
			gained -= before[i]
		}
		packed = binary.AppendUvarint(packed, uint64(max(0, gained)))
	}
	return packed
}

// UnpackCounts decodes packed gains.
func UnpackCounts(packed []byte) ([]int64, error) {
	var gains []int64
	for len(packed) > 0 {
		value, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, fmt.Errorf("packed counts end inside number %d", len(gains))
		}
		gains = append(gains, int64(value))
		packed = packed[n:]
	}
	return gains, nil
}
