package expertmap_test

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/reduce"
)

// byteCounter counts the bytes written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// wireSize returns the encoded size of one order and its reply on a connection
// that has already transmitted their gob type definitions.
func wireSize(b *testing.B, order expertmap.Order, state expertmap.EngineState) float64 {
	var bytes byteCounter
	encoder := gob.NewEncoder(&bytes)
	for range 2 {
		bytes = 0
		if err := encoder.Encode(order); err != nil {
			b.Fatal(err)
		}
		if err := encoder.Encode(state); err != nil {
			b.Fatal(err)
		}
	}
	return float64(bytes)
}

// BenchmarkCoordinator measures one query round and one complete change.
func BenchmarkCoordinator(b *testing.B) {
	for _, ranks := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("poll/ranks=%d", ranks), func(b *testing.B) { benchmarkRounds(b, ranks, false) })
		b.Run(fmt.Sprintf("change/ranks=%d", ranks), func(b *testing.B) { benchmarkRounds(b, ranks, true) })
	}
}

func benchmarkRounds(b *testing.B, ranks int, change bool) {
	w := newWorld(ranks, true)
	w.processOnForward = true
	w.installFirstMap()
	w.takeLease(0)
	w.deliverAll()
	messages, bytes := 0, 0.0
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(2 * time.Second)
		if change {
			w.coordinate(0, expertmap.Propose{})
		} else {
			w.coordinate(0, reduce.Tick{})
		}
		for len(w.inFlight)+len(w.writes) > 0 {
			if len(w.writes) > 0 {
				w.applyWrite(0)
				continue
			}
			if m := w.inFlight[0]; m.Reply == nil {
				messages++
				bytes += wireSize(b, m.Order, w.engines[m.Rank].State)
			}
			w.deliver(0, false)
		}
		for rank := range w.engines {
			w.engines[rank].State.Next += 2
			w.engines[rank].State = w.engines[rank].State.AfterNextStep()
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "orders/op")
	b.ReportMetric(bytes/float64(b.N), "payload-B/op")
}
