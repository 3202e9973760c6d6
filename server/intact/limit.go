package intact

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge means that a body is longer than its reader allows.
var ErrTooLarge = errors.New("body exceeds the size limit")

// Limits bounds the bodies that a group of readers has in memory: each body, and the number
// of large ones at the same time.
type Limits struct {
	smallBytes int64         // Size up to which bodies are read without regard to others.
	maxBytes   int64         // Largest size of a body.
	large      chan struct{} // Holds an element for each larger body that is being read.
}

// NewLimits returns limits of maxBytes for one body, and of maxLarge bodies of more than
// smallBytes at the same time.
func NewLimits(smallBytes, maxBytes int64, maxLarge int) *Limits {
	return &Limits{smallBytes: smallBytes, maxBytes: maxBytes, large: make(chan struct{}, maxLarge)}
}

// Body returns a reader of the body that keeps the limits. A large body waits for others
// until ctx ends. A body that is too long fails with ErrTooLarge. Close must be called.
func (l *Limits) Body(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &limitedBody{ReadCloser: body, ctx: ctx, limits: l}
}

type limitedBody struct {
	io.ReadCloser
	ctx     context.Context
	limits  *Limits
	read    int64
	isLarge bool // The body is counted in limits.large.
}

func (b *limitedBody) Read(buffer []byte) (int, error) {
	allowed := min(b.limits.smallBytes, b.limits.maxBytes)
	if b.read >= allowed {
		if err := b.countAsLarge(); err != nil {
			return 0, err
		}
		allowed = b.limits.maxBytes
	}
	if b.read == allowed {
		allowed++ // Tells a body that ends here from one that is too long.
	}
	n, err := b.ReadCloser.Read(buffer[:min(int64(len(buffer)), allowed-b.read)])
	b.read += int64(n)
	if b.read > b.limits.maxBytes {
		return 0, fmt.Errorf("%w of %d bytes", ErrTooLarge, b.limits.maxBytes)
	}
	return n, err
}

func (b *limitedBody) countAsLarge() error {
	if b.isLarge {
		return nil
	}
	select {
	case b.limits.large <- struct{}{}:
		b.isLarge = true
		return nil
	case <-b.ctx.Done():
		return fmt.Errorf("wait for other large bodies: %w", b.ctx.Err())
	}
}

func (b *limitedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.isLarge {
		b.isLarge = false
		<-b.limits.large
	}
	return err
}
