// Package prefix describes prompt prefixes as chained block hashes and tracks
// which prefixes an agent's engine has in its prefix cache. A chained hash covers
// its block and all blocks before it.
package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in one block of a prefix cache.
const BlockTokens = 16

// denseSamplePoints is the number of leading blocks after each of which there is a
// sample point; further sample points are sparser. See SamplePoints.
const denseSamplePoints = 4

// Prompt is a prompt's length and the chained hashes of its full blocks: equal
// prefixes have equal leading hashes.
type Prompt struct {
	Tokens int      // Length of the prompt.
	Blocks []uint64 // Chained hash of each full block.
}

// NewPrompt splits the text into tokens and blocks and hashes the blocks. Each word
// counts as one token.
func NewPrompt(text string) Prompt {
	var prompt Prompt
	digest := xxhash.New()
	for word := range strings.FieldsSeq(text) {
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		prompt.Tokens++
		if prompt.Tokens%BlockTokens == 0 {
			prompt.Blocks = append(prompt.Blocks, digest.Sum64())
		}
	}
	return prompt
}

// SamplePoints returns the prefix lengths, in blocks, whose hashes a probe carries
// for a prompt of n blocks: every length at first, then two for each doubling, and
// n itself.
func SamplePoints(n int) []int {
	var points []int
	for length := 1; length < n; length = nextSamplePoint(length) {
		points = append(points, length)
	}
	if n > 0 {
		points = append(points, n)
	}
	return points
}

// nextSamplePoint returns the next element of the series 1, 2, 3, 4, 6, 8, 12, 16,
// 24 and so on.
func nextSamplePoint(length int) int {
	if length < denseSamplePoints {
		return length + 1
	}
	if length&(length-1) == 0 {
		return length + length/2
	}
	return length / 3 * 4
}

// Sample returns the chained hashes of the prefixes whose lengths are the sample
// points for the number of blocks.
func Sample(blocks []uint64) []uint64 {
	points := SamplePoints(len(blocks))
	sample := make([]uint64, len(points))
	for index, point := range points {
		sample[index] = blocks[point-1]
	}
	return sample
}
