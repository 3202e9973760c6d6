// Package boundedlog writes log lines without ever blocking the caller. Lines wait
// in a bounded queue; lines that arrive while it is full are dropped and counted.
package boundedlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is about ten seconds of lines at an entry's peak load.
	queueCapacity = 4096
	// flushBytes is the buffer size at which lines are written; batching lines into
	// one write saves system calls.
	flushBytes = 16 << 10
	// flushInterval is the longest time that a line waits in the buffer.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer that takes one whole line per Write.
type Writer struct {
	lines          chan []byte
	droppedLines   atomic.Int64
	closeRequested chan struct{}
	done           chan struct{}
}

// New returns a writer to out and starts its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), closeRequested: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues the line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.droppedLines.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines dropped so far.
func (w *Writer) DroppedLines() int64 { return w.droppedLines.Load() }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	close(w.closeRequested)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var buffer []byte
	var reportedDrops int64
	flush := func() {
		if droppedLines := w.droppedLines.Load(); droppedLines != reportedDrops {
			buffer = fmt.Appendf(buffer, `{"event":108,"name":"log_dropped","level":"warning","dropped":%d}`+"\n", droppedLines-reportedDrops)
			reportedDrops = droppedLines
		}
		if len(buffer) > 0 {
			// There is no place to report that the log can't be written.
			_, _ = out.Write(buffer)
			buffer = buffer[:0]
		}
	}
	for {
		select {
		case line := <-w.lines:
			if buffer = append(buffer, line...); len(buffer) >= flushBytes {
				flush()
			}
		case <-ticker.C:
			flush()
		case <-w.closeRequested:
			for {
				select {
				case line := <-w.lines:
					buffer = append(buffer, line...)
				default:
					flush()
					return
				}
			}
		}
	}
}
