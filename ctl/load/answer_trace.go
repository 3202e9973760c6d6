package load

import (
	"bytes"
	"time"
)

// gap is the time between two consecutive parts of one answer.
type gap struct {
	duration time.Duration
	tokens   int // Number of tokens in the second of the two parts.
}

// answerTrace records the arrival times and the text of the parts of one answer.
type answerTrace struct {
	first   time.Time // Time at which the first part with text arrived.
	last    time.Time
	gaps    []gap
	tokens  int
	content []byte
}

// text adds one part of the answer. It counts tokens by their spaces, because
// each token of the stand-in engine ends with one.
func (t *answerTrace) text(part []byte) {
	if len(part) == 0 {
		return
	}
	now := time.Now()
	tokens := bytes.Count(part, []byte{' '})
	if t.first.IsZero() {
		t.first = now
	} else {
		t.gaps = append(t.gaps, gap{duration: now.Sub(t.last), tokens: tokens})
	}
	t.last = now
	t.tokens += tokens
	t.content = append(t.content, part...)
}
