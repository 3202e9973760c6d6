package expertmap_test

import (
	"encoding/binary"
	"hash/maphash"

	"persimmonwind.dev/policy/expertmap"
)

var keySeed = maphash.MakeSeed()

// encoder serializes a position for hashing.
type encoder []byte

func (e *encoder) numbers(values ...uint64) {
	for _, value := range values {
		*e = binary.AppendUvarint(*e, value)
	}
}

func (e *encoder) flags(values ...bool) {
	for _, value := range values {
		bit := uint64(0)
		if value {
			bit = 1
		}
		e.numbers(bit)
	}
}

func (e *encoder) text(value string) {
	e.numbers(uint64(len(value)))
	*e = append(*e, value...)
}

func (e *encoder) change(c expertmap.Change) {
	e.numbers(c.ID.Fence, c.ID.Version, c.FirstStep)
}

func (e *encoder) state(s expertmap.EngineState) {
	e.text(s.Boot)
	e.numbers(s.Next, s.VoidedBy, s.LastHeld.Fence, s.LastHeld.Version, s.Prepared.Fence, s.Prepared.Version)
	e.change(s.InForce)
	e.change(s.Pending)
	e.change(s.Hold)
}

func (e *encoder) message(m message) {
	e.numbers(uint64(m.Node), uint64(m.Rank), m.Order.Number.Fence, m.Order.Number.Round)
	e.text(string(m.Order.Kind))
	e.change(m.Order.Change)
	e.state(m.Order.State)
	if m.Reply != nil {
		e.text(string(m.Reply.Kind))
		e.numbers(m.Reply.Number.Fence, m.Reply.Number.Round, m.Reply.Seen.Fence, m.Reply.Seen.Round)
		e.flags(m.Reply.Refused)
		e.state(m.Reply.State)
	}
}

func (e *encoder) coordinator(c expertmap.Coordinator) {
	e.text(string(c.Phase))
	e.numbers(c.Number.Fence, c.Number.Round, c.Record.Fence, c.RecordVersion, c.Version)
	e.change(c.Record.Change)
	e.change(c.Change)
	e.flags(c.RecordStale, c.StoreRequestInFlight, c.ChangeProposed, c.Deadline.IsZero())
	e.flags(c.HasReplied...)
	for _, state := range c.Before {
		e.state(state)
	}
	for _, state := range c.States {
		e.state(state)
	}
}

func (e *encoder) remaining(f faults) {
	for _, value := range []int{f.Leases, f.Ticks, f.Losses, f.Restarts, f.Duplicates, f.Unknown} {
		e.numbers(uint64(value))
	}
}

// key returns a hash that identifies the position. Times are left out because all
// timers expire at the next tick. The hashes of the messages are summed because the
// network delivers them in any order.
func (p position) key() uint64 {
	e := make(encoder, 0, 1024)
	e.remaining(p.remaining)
	for rank := range p.engines {
		e.state(p.engines[rank].State)
		e.flags(p.ranks[rank].FenceKnown)
		e.numbers(p.ranks[rank].Seen.Fence, p.ranks[rank].Seen.Round)
		e.coordinator(p.coords[rank])
	}
	e.numbers(p.fence, p.record.Fence, p.recordVersion, p.generation)
	e.change(p.record.Change)
	for _, write := range p.writes {
		e.numbers(uint64(write.Node), write.Write.Record.Fence, write.Write.IfVersion)
		e.change(write.Write.Record.Change)
		e.flags(write.ResultLost)
	}
	for step := range p.remaining.Steps {
		e.change(p.mapUsed[stepKey{Generation: p.generation, Step: step}])
	}
	var messages uint64
	for _, m := range p.inFlight {
		var encoded encoder
		encoded.message(m)
		messages += maphash.Bytes(keySeed, encoded)
	}
	e.numbers(messages)
	return maphash.Bytes(keySeed, e)
}
