package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxBufferedBytes limits the size of an answer that is buffered until it is
	// complete.
	maxBufferedBytes = 16 << 20
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// sharedBufferBytes is what all buffers together may hold beyond their unshared bytes:
	// servers in trouble may send bytes without end in many answers at once.
	sharedBufferBytes = 32 << 20
	// unsharedBufferBytes is what each buffer may hold in any case; nearly all answers and
	// events are smaller.
	unsharedBufferBytes = 64 << 10
	// bufferStep is the number of shared bytes that a growing buffer takes at a time.
	bufferStep = 256 << 10
	// readChunkBytes is the size of one read into a buffer.
	readChunkBytes = 16 << 10
)

var (
	errBufferTooLarge = errors.New("size limit exceeded")
	errBuffersFull    = errors.New("too many large answers are buffered at this moment")
)

// bufferSpace counts the shared bytes of all buffers. It is safe for concurrent use.
type bufferSpace struct{ taken atomic.Int64 }

// take takes n shared bytes unless too many are taken.
func (s *bufferSpace) take(n int64) bool {
	if s.taken.Add(n) <= sharedBufferBytes {
		return true
	}
	s.taken.Add(-n)
	return false
}

func (s *bufferSpace) release(n int64) { s.taken.Add(-n) }

// buffer holds an answer or an event until it is complete. Release must be called at its
// end.
type buffer struct {
	space *bufferSpace
	limit int // Largest number of bytes.
	data  []byte
	taken int64 // Shared bytes.
}

// append adds bytes. It returns errBufferTooLarge or errBuffersFull and adds none if there
// is no room.
func (b *buffer) append(data []byte) error {
	size := len(b.data) + len(data)
	if size > b.limit {
		return errBufferTooLarge
	}
	for int64(size) > unsharedBufferBytes+b.taken {
		if !b.space.take(bufferStep) {
			return errBuffersFull
		}
		b.taken += bufferStep
	}
	b.data = append(b.data, data...)
	return nil
}

// readAll adds all bytes up to the end of the reader.
func (b *buffer) readAll(reader io.Reader) error {
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := reader.Read(chunk)
		if appendErr := b.append(chunk[:n]); appendErr != nil {
			return appendErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// release gives the shared bytes back and empties the buffer.
func (b *buffer) release() {
	b.space.release(b.taken)
	b.data, b.taken = nil, 0
}
