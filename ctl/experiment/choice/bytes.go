package choice

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"sync"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/server/wire"
)

// messageBytes returns the encoded size of the values on a connection that has
// already sent their type descriptions.
func messageBytes(values ...any) int {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for range 2 {
		buffer.Reset()
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				panic(err)
			}
		}
	}
	return buffer.Len()
}

func sampleStamp() wire.Stamp {
	return wire.Stamp{From: "entry-ba-0123", Role: "entry", DataCentre: "banska-bystrica-1", Revision: 130_000}
}

// probeSizes caches the results of probeBytes by number of blocks.
var probeSizes sync.Map

// probeBytes returns the size of a probe for a prompt of that many blocks,
// including its reply.
func probeBytes(blocks int) int {
	if cached, ok := probeSizes.Load(blocks); ok {
		return cached.(int)
	}
	hashes := make([]uint64, blocks)
	for index := range hashes {
		hashes[index] = 1<<63 + uint64(index)
	}
	request := wire.ProbeRequest{
		Stamp: sampleStamp(), Model: "soap-assistant", Adapter: "labels",
		Tokens: blocks * prefix.BlockTokens, Blocks: blocks, Prefix: prefix.Sample(hashes),
	}
	size := messageBytes(&rpc.Request{ServiceMethod: "Agent.Probe", Seq: 100_000}, &request) +
		messageBytes(&rpc.Response{ServiceMethod: "Agent.Probe", Seq: 100_000}, sampleReply())
	probeSizes.Store(blocks, size)
	return size
}

func sampleReply() *wire.ProbeReply {
	return &wire.ProbeReply{
		Stamp: sampleStamp(), BackendServer: "engine-0123", Headroom: 14, Queued: 3, Running: 18,
		CachedBlocks: 48, ExpectedWaitMS: 123.456,
	}
}

// reportBytes returns the size of one load report.
var reportBytes = sync.OnceValue(func() int {
	return messageBytes(&rpc.Request{ServiceMethod: "Entry.Report", Seq: 100_000}, sampleReply())
})
