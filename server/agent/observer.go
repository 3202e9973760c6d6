package agent

import (
	"context"
	"errors"
	"io"

	"persimmonwind.dev/server/stream"
)

// observer reads an answer's pieces and reports to admission what they show
// about the backend server: the first piece, or a failure.
type observer struct {
	slot *slot
}

// next returns the next piece of the answer; see stream.Reader.Next.
func (o *observer) next(ctx context.Context, pieces *stream.Reader) (stream.Piece, error) {
	piece, err := pieces.Next()
	if errors.Is(err, io.EOF) {
		return piece, err
	}
	if err != nil {
		o.slot.fail(ctx, err)
		return piece, err
	}
	o.slot.markStarted()
	return piece, nil
}
