package load

import "time"

// Second counts the requests whose intended start lies within one second.
type Second struct {
	Second          int     `json:"second"` // Start of the second, as an offset from the start of the run.
	Arrived         int     `json:"arrived"`
	Whole           int     `json:"whole"`
	Refused         int     `json:"refused"`
	Other           int     `json:"other"` // Requests that were neither answered completely nor refused.
	Tokens          int     `json:"tokens"`
	MaxFirstTokenMS float64 `json:"first_token_ms_max"`
}

// timeline counts requests by the second of their intended start.
type timeline struct{ seconds []Second }

func newTimeline() *timeline { return &timeline{} }

func (t *timeline) add(record requestRecord) {
	index := int(record.intended / time.Second)
	for len(t.seconds) <= index {
		t.seconds = append(t.seconds, Second{Second: len(t.seconds)})
	}
	second := &t.seconds[index]
	second.Arrived++
	second.Tokens += record.trace.tokens
	if !record.trace.first.IsZero() {
		second.MaxFirstTokenMS = max(second.MaxFirstTokenMS, toMilliseconds(record.first))
	}
	switch {
	case record.failure == nil:
		second.Whole++
	case record.failure.kind == Refused:
		second.Refused++
	default:
		second.Other++
	}
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
