package dispatch

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnLength is the length of the turns by which entries share a server that takes
	// fewer requests than there are entries.
	turnLength = 300 * time.Millisecond
	// turnLoad is the share of what the server takes that the entries whose turn it is may
	// use on average. The rest is for turns that fall together.
	turnLoad = 0.6
)

// turnSeed determines in which turns an entry may send requests to which servers. It is
// drawn by each entry.
type turnSeed uint64

// turnNumber returns the number of the current turn.
func turnNumber(now time.Time) int64 { return now.UnixNano() / int64(turnLength) }

// turnShare returns the share of turns that an entry has if a server takes the given
// number of requests in a window from all entries.
func turnShare(requests float64, window time.Duration, entries int) float64 {
	turnsInWindow := 1 + window.Seconds()/turnLength.Seconds()
	return turnLoad * requests / float64(max(1, entries)) / turnsInWindow
}

// has reports whether now is a turn of the entry at the server.
func (s turnSeed) has(server string, share float64, now time.Time) bool {
	digest := xxhash.NewWithSeed(uint64(s))
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(turnNumber(now)))
	_, _ = digest.Write(number[:]) // Never fails.
	_, _ = digest.WriteString(server)
	return float64(digest.Sum64()) < share*math.MaxUint64
}
