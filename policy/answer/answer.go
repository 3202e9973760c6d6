// Package answer assembles a streamed answer from its parts, each a run of tokens,
// which may arrive late, more than once or out of order.
//
// Invariants: every token is delivered exactly once and in order; a part of
// another answer is never delivered; the end is delivered only after every token
// before it.
package answer

import (
	"errors"
	"fmt"
)

// maxPending is the maximum number of buffered parts that wait for earlier ones.
const maxPending = 64

var (
	// ErrWrongAnswer means that the part belongs to another answer.
	ErrWrongAnswer = errors.New("part belongs to another answer")
	// ErrOverlap means that the part contains both delivered and new tokens.
	ErrOverlap = errors.New("part overlaps tokens already delivered")
	// ErrGap means that tokens before the part are missing and the part can't be
	// buffered.
	ErrGap = errors.New("tokens before the part are missing")
	// ErrAfterEnd means that the part has tokens after the end of the answer.
	ErrAfterEnd = errors.New("part extends past the end of the answer")
)

// Part is one part of a streamed answer: a run of Tokens tokens at offset From.
type Part[T any] struct {
	ID      string // ID of the answer.
	From    int    // Number of tokens of the answer before this part.
	Tokens  int    // Number of tokens in this part.
	End     bool   // The answer ends with this part.
	Payload T
}

// Assembler puts the parts of one answer in order. The zero value expects the
// answer from its first token on.
type Assembler[T any] struct {
	next    int // Tokens delivered so far.
	ended   bool
	pending map[int]Part[T] // Buffered parts that wait for earlier ones, by Part.From.
}

// ResumeAt returns an assembler for an answer whose first from tokens have already
// been delivered.
func ResumeAt[T any](from int) Assembler[T] { return Assembler[T]{next: from} }

// Delivered returns the number of tokens delivered so far.
func (a *Assembler[T]) Delivered() int { return a.next }

// Ended reports whether the end has been delivered.
func (a *Assembler[T]) Ended() bool { return a.ended }

// CheckComplete returns nil once the end has been delivered, otherwise ErrGap.
func (a *Assembler[T]) CheckComplete() error {
	if a.ended {
		return nil
	}
	return fmt.Errorf("%w: source ended after %d delivered tokens", ErrGap, a.next)
}

// DropPending discards the buffered parts, because a new source of the answer sends
// them again.
func (a *Assembler[T]) DropPending() { a.pending = nil }

// Accept takes the next part received for the answer with this ID and returns
// the payloads that can now be delivered, in order. A duplicate yields none.
func (a *Assembler[T]) Accept(id string, part Part[T]) ([]T, error) {
	if part.ID != id {
		return nil, fmt.Errorf("%w: part of %q in answer %q", ErrWrongAnswer, part.ID, id)
	}
	if part.From < 0 || part.Tokens < 0 {
		return nil, fmt.Errorf("%w: invalid range at offset %d with %d tokens", ErrGap, part.From, part.Tokens)
	}
	if a.duplicate(part) {
		return nil, nil
	}
	if a.ended {
		return nil, fmt.Errorf("%w: offset %d", ErrAfterEnd, part.From)
	}
	if part.From < a.next {
		return nil, fmt.Errorf("%w: offset %d, delivered %d", ErrOverlap, part.From, a.next)
	}
	if part.From > a.next {
		return nil, a.addPending(part)
	}
	return a.deliver(part), nil
}

// duplicate reports whether all tokens of the part, and the end if it has one, were
// delivered before.
func (a *Assembler[T]) duplicate(part Part[T]) bool {
	if part.End {
		return a.ended && part.From+part.Tokens == a.next
	}
	return part.From+part.Tokens <= a.next
}

func (a *Assembler[T]) addPending(part Part[T]) error {
	if len(a.pending) >= maxPending {
		return fmt.Errorf("%w: offset %d, delivered %d", ErrGap, part.From, a.next)
	}
	if a.pending == nil {
		a.pending = map[int]Part[T]{}
	}
	// At the same offset, a part with tokens replaces an end part.
	if existing, ok := a.pending[part.From]; !ok || existing.Tokens == 0 {
		a.pending[part.From] = part
	}
	return nil
}

// deliver returns the part's payload and those of the buffered parts that follow
// it without a gap.
func (a *Assembler[T]) deliver(part Part[T]) []T {
	payloads := []T{part.Payload}
	a.advance(part)
	for {
		next, ok := a.pending[a.next]
		if !ok || a.ended {
			return payloads
		}
		delete(a.pending, next.From)
		payloads = append(payloads, next.Payload)
		a.advance(next)
	}
}

func (a *Assembler[T]) advance(part Part[T]) {
	a.next += part.Tokens
	a.ended = part.End
}
