// Package answer assembles one answer from parts that may come late, twice or
// out of order.
//
// Invariants: every token is delivered exactly once and in order; a part of
// another answer is never delivered; the end is delivered only after every
// token before it.
package answer

import (
	"errors"
	"fmt"
)

// maxHeld bounds the parts that wait for an earlier one.
const maxHeld = 64

var (
	// ErrWrongAnswer means that a part belongs to another answer.
	ErrWrongAnswer = errors.New("part belongs to another answer")
	// ErrOverlap means that a part repeats some tokens and brings new ones.
	ErrOverlap = errors.New("part overlaps tokens already delivered")
	// ErrGap means that tokens before the part are missing and it can't be held.
	ErrGap = errors.New("tokens before the part are missing")
	// ErrAfterEnd means that a part has tokens behind the answer's end.
	ErrAfterEnd = errors.New("part lies behind the end of the answer")
)

// Part is one part of an answer: Tokens tokens that follow the answer's first
// From tokens.
type Part[T any] struct {
	ID      string
	From    int
	Tokens  int
	End     bool
	Payload T
}

// Assembler puts the parts of one answer in order. The zero value expects the
// answer from its first token on.
type Assembler[T any] struct {
	next  int // Tokens delivered so far.
	ended bool
	held  map[int]Part[T] // Parts that wait for earlier ones, by From.
}

// ResumeAt returns an assembler of an answer whose first from tokens were
// delivered before.
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
	return fmt.Errorf("%w: source ended, delivered %d", ErrGap, a.next)
}

// DropPending forgets the parts that wait for earlier ones; a new source sends
// them again.
func (a *Assembler[T]) DropPending() { a.held = nil }

// Accept takes the next part from the source with this id and returns the
// payloads that are now due, in order. A duplicate yields none.
func (a *Assembler[T]) Accept(id string, part Part[T]) ([]T, error) {
	if part.ID != id {
		return nil, fmt.Errorf("%w: part of %q in %q", ErrWrongAnswer, part.ID, id)
	}
	if part.From < 0 || part.Tokens < 0 {
		return nil, fmt.Errorf("%w: from %d, %d tokens", ErrGap, part.From, part.Tokens)
	}
	if a.duplicate(part) {
		return nil, nil
	}
	if a.ended {
		return nil, fmt.Errorf("%w: from %d", ErrAfterEnd, part.From)
	}
	if part.From < a.next {
		return nil, fmt.Errorf("%w: from %d, delivered %d", ErrOverlap, part.From, a.next)
	}
	if part.From > a.next {
		return nil, a.hold(part)
	}
	return a.deliver(part), nil
}

// duplicate reports whether the part brings nothing new.
func (a *Assembler[T]) duplicate(part Part[T]) bool {
	if part.End {
		return a.ended && part.From+part.Tokens == a.next
	}
	return part.From+part.Tokens <= a.next
}

func (a *Assembler[T]) hold(part Part[T]) error {
	if len(a.held) >= maxHeld {
		return fmt.Errorf("%w: from %d, delivered %d", ErrGap, part.From, a.next)
	}
	if a.held == nil {
		a.held = map[int]Part[T]{}
	}
	// A part with tokens goes before an end at the same place.
	if existing, ok := a.held[part.From]; !ok || existing.Tokens == 0 {
		a.held[part.From] = part
	}
	return nil
}

// deliver returns the part's payload and those of the held parts behind it.
func (a *Assembler[T]) deliver(part Part[T]) []T {
	payloads := []T{part.Payload}
	a.advance(part)
	for {
		next, ok := a.held[a.next]
		if !ok || a.ended {
			return payloads
		}
		delete(a.held, next.From)
		payloads = append(payloads, next.Payload)
		a.advance(next)
	}
}

func (a *Assembler[T]) advance(part Part[T]) {
	a.next += part.Tokens
	a.ended = part.End
}
