package intact

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// endless is a body without end. It counts itself in large while it has handed out more
// than smallBytes and is not closed.
type endless struct {
	read  int
	large *atomic.Int32
	peak  *atomic.Int32
}

func (e *endless) Read(buffer []byte) (int, error) {
	if e.read <= smallBytes && e.read+len(buffer) > smallBytes {
		if now := e.large.Add(1); now > e.peak.Load() {
			e.peak.Store(now)
		}
	}
	e.read += len(buffer)
	return len(buffer), nil
}

func (e *endless) Close() error {
	if e.read > smallBytes {
		e.large.Add(-1)
	}
	return nil
}

// closeObserver reports the close of its body.
type closeObserver struct {
	io.Reader
	closed bool
}

func (c *closeObserver) Close() error { c.closed = true; return nil }

const smallBytes = 64 << 10

func TestLimits(t *testing.T) {
	Convey("A body up to the limit is read unchanged in pieces of any size, and a longer one is refused", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			limit := rapid.Int64Range(1, 3*smallBytes).Draw(t, "limit")
			content := bytes.Repeat([]byte("abc"), rapid.IntRange(0, smallBytes+100).Draw(t, "length"))
			limits := NewLimits(smallBytes, limit, 1)
			observer := &closeObserver{Reader: bytes.NewReader(content)}
			body := limits.Body(context.Background(), observer)
			got, err := io.ReadAll(io.LimitReader(body, 10*smallBytes))
			if int64(len(content)) > limit && err == nil {
				t.Fatalf("%d bytes were read, %d allowed", len(got), limit)
			}
			if int64(len(content)) <= limit && (err != nil || !bytes.Equal(got, content)) {
				t.Fatalf("%d of %d bytes, error %v", len(got), len(content), err)
			}
			if _ = body.Close(); len(limits.large) != 0 || !observer.closed {
				t.Fatalf("%d bodies count as large after the close", len(limits.large))
			}
		})
	})
	Convey("However many bodies have no end, only so many are large at the same time", t, func() {
		const allowed = 3
		limits := NewLimits(smallBytes, 1<<20, allowed)
		var large, peak atomic.Int32
		var readers sync.WaitGroup
		for range 40 {
			readers.Go(func() {
				body := limits.Body(context.Background(), &endless{large: &large, peak: &peak})
				if _, err := io.ReadAll(body); err == nil {
					t.Error("a body without end was read")
				}
				_ = body.Close()
			})
		}
		readers.Wait()
		So(peak.Load(), ShouldBeLessThanOrEqualTo, allowed)
		So(large.Load(), ShouldEqual, 0)
	})
	Convey("While large bodies are stuck, small ones are read, and large ones wait until their context ends", t, func() {
		limits := NewLimits(smallBytes, 1<<20, 1)
		stuckReader, stuckWriter := io.Pipe()
		defer func() { _ = stuckWriter.Close() }()
		stuck := limits.Body(context.Background(), stuckReader)
		go func() { _, _ = stuckWriter.Write(make([]byte, smallBytes+1)) }()
		_, err := io.ReadFull(stuck, make([]byte, smallBytes+1))
		So(err, ShouldBeNil)
		small, err := io.ReadAll(limits.Body(context.Background(), io.NopCloser(bytes.NewReader(make([]byte, smallBytes-1)))))
		So(err, ShouldBeNil)
		So(small, ShouldHaveLength, smallBytes-1)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = io.ReadAll(limits.Body(ctx, io.NopCloser(bytes.NewReader(make([]byte, smallBytes+1)))))
		So(err, ShouldWrap, context.DeadlineExceeded)
		So(stuck.Close(), ShouldBeNil)
		whole, err := io.ReadAll(limits.Body(context.Background(), io.NopCloser(bytes.NewReader(make([]byte, smallBytes+1)))))
		So(err, ShouldBeNil)
		So(whole, ShouldHaveLength, smallBytes+1)
	})
}
