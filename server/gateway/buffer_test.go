package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/platform/header"
)

func TestBuffersShareABoundedSpace(t *testing.T) {
	Convey("Whatever arrives in whatever order, buffers hold no more than the space and their unshared bytes", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			space := &bufferSpace{}
			buffers := make([]*buffer, rapid.IntRange(1, 60).Draw(t, "buffers"))
			for i := range buffers {
				buffers[i] = &buffer{space: space, limit: maxBufferedBytes}
			}
			data := make([]byte, 1<<20)
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				b := buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")]
				if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
					b.release()
				} else if before := len(b.data); b.append(data[:rapid.IntRange(0, len(data)).Draw(t, "bytes")]) != nil && len(b.data) != before {
					t.Fatalf("a refused append has added bytes")
				}
				total := 0
				for _, b := range buffers {
					total += len(b.data)
				}
				if total > sharedBufferBytes+len(buffers)*unsharedBufferBytes {
					t.Fatalf("%d bytes in %d buffers", total, len(buffers))
				}
			}
			for _, b := range buffers {
				b.release()
			}
			if space.taken.Load() != 0 {
				t.Fatalf("%d bytes are taken after all buffers have been released", space.taken.Load())
			}
		})
	})
}

// Guards against servers in trouble that send bodies without end: each was read into memory
// up to 16 MB, whatever the others had.
func TestBodiesWithoutEnd(t *testing.T) {
	cases := map[string]string{"/safe/x": "text/plain", "/stream/x": "text/event-stream"}
	for path, contentType := range cases {
		Convey("Bodies without end at many servers, "+path+", leave room for other answers", t, func() {
			endless := func(_ int, w http.ResponseWriter, r *http.Request) {
				w.Header().Set(header.Stamp, "signed")
				w.Header().Set("Content-Type", contentType)
				if r.Header.Get("X-Whole") != "" {
					_, _ = fmt.Fprint(w, "id: 1\ndata: whole\n\n")
					return
				}
				bytes := []byte(strings.Repeat("x", 64<<10))
				for range 1000 {
					if _, err := w.Write(bytes); err != nil {
						return
					}
				}
			}
			var servers []*backend
			for i := range 12 {
				servers = append(servers, newBackend(fmt.Sprint("b", i), endless))
			}
			s := newSystem(servers...)
			defer s.close(servers...)
			var peak int64
			done := make(chan struct{})
			var watching, callers sync.WaitGroup
			watching.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(time.Millisecond):
						peak = max(peak, s.gateway.buffers.taken.Load())
					}
				}
			})
			for range 24 {
				callers.Go(func() {
					response, _, err := s.send("POST", path, "", nil)
					if err == nil && response.StatusCode < 500 {
						t.Errorf("status %d for an answer without end", response.StatusCode)
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
			for range 20 {
				response, body, err := s.send("POST", path, "", func(r *http.Request) { r.Header.Set("X-Whole", "1") })
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldBeIn, 200, 503) // 503 while all servers have failed.
				if response.StatusCode == 200 {
					So(body, ShouldEqual, "id: 1\ndata: whole\n\n")
				}
			}
			callers.Wait()
			close(done)
			watching.Wait()
			So(peak, ShouldBeLessThanOrEqualTo, sharedBufferBytes+24*bufferStep)
			So(s.gateway.buffers.taken.Load(), ShouldEqual, 0)
		})
	}
}
