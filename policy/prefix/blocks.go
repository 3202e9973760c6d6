// Package prefix describes prompt prefixes as chained block hashes, and keeps
// what an agent knows about the prefixes in its engine's cache.
package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in one block of a prefix cache.
const BlockTokens = 16

// denseMarks is the number of leading blocks that Marks lists one by one.
const denseMarks = 4

// Prompt is a prompt's length and the chained hashes of its full blocks: equal
// prefixes have equal leading hashes.
type Prompt struct {
	Tokens int
	Blocks []uint64
}

// NewPrompt splits the prompt into blocks.
func NewPrompt(prompt string) Prompt {
	var described Prompt
	digest := xxhash.New()
	for word := range strings.FieldsSeq(prompt) {
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		described.Tokens++
		if described.Tokens%BlockTokens == 0 {
			described.Blocks = append(described.Blocks, digest.Sum64())
		}
	}
	return described
}

// SamplePoints returns the lengths, in blocks, at which a prompt of n blocks is
// described in a probe: every length at first, then two for each doubling, and
// n itself.
func SamplePoints(n int) []int {
	var marks []int
	for length := 1; length < n; length = nextMark(length) {
		marks = append(marks, length)
	}
	if n > 0 {
		marks = append(marks, n)
	}
	return marks
}

// nextMark continues 1, 2, 3, 4, 6, 8, 12, 16, 24 and so on.
func nextMark(length int) int {
	if length < denseMarks {
		return length + 1
	}
	if length&(length-1) == 0 {
		return length + length/2
	}
	return length / 3 * 4
}

// Sample returns the hashes at the marks of the blocks.
func Sample(blocks []uint64) []uint64 {
	marks := SamplePoints(len(blocks))
	sample := make([]uint64, len(marks))
	for index, mark := range marks {
		sample[index] = blocks[mark-1]
	}
	return sample
}
