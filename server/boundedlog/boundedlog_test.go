package boundedlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blockedWriter) Write(data []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func TestWriter(t *testing.T) {
	Convey("Lines are written whole and in order", t, func() {
		var out bytes.Buffer
		w := New(&out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			So(err, ShouldBeNil)
		}
		w.Close()
		So(out.String(), ShouldEqual, "a\nb\nc\n")
	})
	Convey("A blocked output never blocks Write, and dropped lines are counted", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 100) + "\n")
		done := make(chan struct{})
		go func() {
			for range 3 * queueCapacity {
				_, _ = w.Write(line)
			}
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("Write blocked for 10 seconds")
		}
		So(w.DroppedLines(), ShouldBeGreaterThan, 0)
		close(out.release)
		w.Close()
		So(out.buffer.String(), ShouldContainSubstring, `"name":"log_dropped"`)
	})
}
