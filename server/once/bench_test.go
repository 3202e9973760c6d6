package once_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// BenchmarkKeyedCall measures calls with an idempotency key through an entry, an
// agent and the table service, all in this process. One run at the stand-in
// backend takes 3 ms.
func BenchmarkKeyedCall(b *testing.B) {
	system := newTestSystem(b)
	before := system.store.Counts()
	b.ResetTimer()
	for number := range b.N {
		key := fmt.Sprint("bench-", number)
		if o := system.call(call{key: key, body: `"bench"`, timeout: time.Minute}); o.status != http.StatusOK {
			b.Fatalf("call %d: %d %s", number, o.status, o.answer)
		}
	}
	after := system.store.Counts()
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/op")
}
