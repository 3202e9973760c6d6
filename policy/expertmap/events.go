package expertmap

// LeaseAcquired makes the process the coordinator of its group: it holds the lease with
// the fencing number.
type LeaseAcquired struct {
	Fence uint64
	Ranks int // Number of ranks of the group.
}

// EventName implements reduce.Event.
func (LeaseAcquired) EventName() string { return "expertmap.lead" }

// LeaseLost ends the process's part as coordinator.
type LeaseLost struct{}

// EventName implements reduce.Event.
func (LeaseLost) EventName() string { return "expertmap.unlead" }

// Propose asks for a change to the map stored under the ID that Begin names.
type Propose struct{}

// EventName implements reduce.Event.
func (Propose) EventName() string { return "expertmap.propose" }

// ReplyReceived brings the state of a rank's engine after an order.
type ReplyReceived struct {
	Rank    int
	Kind    Kind   // Of the order.
	Number  Number // Of the order.
	State   EngineState
	Refused bool   // The agent did not pass the order on.
	Seen    Number // Refused: the highest number that the agent has seen.
}

// EventName implements reduce.Event.
func (ReplyReceived) EventName() string { return "expertmap.replied" }

// RecordRead brings the record; Version 0 means that there is none yet.
type RecordRead struct {
	Record  Record
	Version uint64
}

// EventName implements reduce.Event.
func (RecordRead) EventName() string { return "expertmap.record_read" }

// RecordReadFailed tells that a ReadRecord brought nothing.
type RecordReadFailed struct{}

// EventName implements reduce.Event.
func (RecordReadFailed) EventName() string { return "expertmap.record_unread" }

// RecordConflict tells that the record had another version than required;
// nothing was written.
type RecordConflict struct{}

// EventName implements reduce.Event.
func (RecordConflict) EventName() string { return "expertmap.record_conflict" }

// RecordWriteUnknown tells that a WriteRecord may or may not have taken effect, now
// or later.
type RecordWriteUnknown struct{}

// EventName implements reduce.Event.
func (RecordWriteUnknown) EventName() string { return "expertmap.record_unknown" }

// RecordWritten tells that the record was written and has the version.
type RecordWritten struct {
	Record  Record
	Version uint64
}

// EventName implements reduce.Event.
func (RecordWritten) EventName() string { return "expertmap.record_written" }

// ReadRecord asks for the record; answered by RecordRead or RecordUnread.
type ReadRecord struct{}

// EffectName implements reduce.Effect.
func (ReadRecord) EffectName() string { return "expertmap.read_record" }

// WriteRecord writes the record if it has the version; answered by
// RecordWritten, RecordConflict or RecordUnknown.
type WriteRecord struct {
	Record    Record
	IfVersion uint64
}

// EffectName implements reduce.Effect.
func (WriteRecord) EffectName() string { return "expertmap.write_record" }

// Send gives the order to the rank's agent; answered by Replied, or never.
type Send struct {
	Rank  int
	Order Order
}

// EffectName implements reduce.Effect.
func (Send) EffectName() string { return "expertmap.send" }

// PublishMap tells under which ID the proposed map has to be found by the ranks.
type PublishMap struct{ ID ID }

// EffectName implements reduce.Effect.
func (PublishMap) EffectName() string { return "expertmap.begin" }

// Notice reports what the coordinator does, for the log.
type Notice struct {
	Phase  Phase
	Change Change
	Ranks  []int // Ranks that the coordinator waits for.
}

// EffectName implements reduce.Effect.
func (Notice) EffectName() string { return "expertmap.notice" }
