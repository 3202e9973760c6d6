package wire

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"persimmonwind.dev/server/ports"
)

// BenchmarkExchange reports the gob-encoded sizes of an exchange on a connection
// that has carried an earlier one, without the overhead of TLS and TCP.
func BenchmarkExchange(b *testing.B) {
	stamp := Stamp{From: "agent-engine-1234", Role: ports.RoleAgent, DataCentre: "dc-bratislava-1", Revision: 1_000_000}
	request := ExchangeRequest{Stamp: stamp, Instance: ports.Instance{
		ID: stamp.From, Role: stamp.Role, DataCentre: stamp.DataCentre, BackendServer: "engine-1234",
		Control: "10.101.102.103:12345", Traffic: "10.101.102.103:12346",
	}}
	reply := ExchangeReply{Stamp: stamp, Current: true, Age: 1500 * time.Millisecond, Started: true}
	var out, back bytes.Buffer
	requests, replies := gob.NewEncoder(&out), gob.NewEncoder(&back)
	_ = requests.Encode(request)
	_ = replies.Encode(reply)
	for b.Loop() {
		out.Reset()
		back.Reset()
		_ = requests.Encode(request)
		_ = replies.Encode(reply)
	}
	b.ReportMetric(float64(out.Len()), "request-bytes")
	b.ReportMetric(float64(back.Len()), "reply-bytes")
}
