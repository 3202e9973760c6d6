package watch

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: the race detector of Go 1.26 crashes if the
// timers of a synctest bubble with hundreds of goroutines fire on several.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
