package hotexperts

import (
	"encoding/binary"
	"fmt"
)

// PackCounts encodes by how much each counter in counts exceeds that in before, as
// varints of one to two bytes: in a large group, counters make up most of what agents
// send. A counter that has decreased, as after a restart, is encoded as zero.
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

// UnpackCounts decodes the increases of counters that PackCounts encoded.
func UnpackCounts(packed []byte) ([]int64, error) {
	var gains []int64
	for len(packed) > 0 {
		value, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, fmt.Errorf("packed counts: invalid varint at index %d", len(gains))
		}
		gains = append(gains, int64(value))
		packed = packed[n:]
	}
	return gains, nil
}
