package expertmap

// LeaseAcquired makes the process the coordinator of its group: it holds the
// group's lease with the fencing number.
type LeaseAcquired struct {
	Fence uint64
	Ranks int // Number of ranks of the group.
}

func (LeaseAcquired) EventName() string { return "expertmap.lead" }

// LeaseLost ends the process's role as coordinator.
type LeaseLost struct{}

func (LeaseLost) EventName() string { return "expertmap.unlead" }

// Propose requests a change of the map. When the change starts, PublishMap
// carries the ID under which the new map has to be stored.
type Propose struct{}

func (Propose) EventName() string { return "expertmap.propose" }

// ReplyReceived carries a rank's reply to an order, with its engine's state.
type ReplyReceived struct {
	Rank    int
	Kind    Kind   // Of the order.
	Number  Number // Of the order.
	State   EngineState
	Refused bool   // The agent did not forward the order.
	Seen    Number // If refused: the highest number that the agent has seen.
}

func (ReplyReceived) EventName() string { return "expertmap.replied" }

// RecordRead carries the record; Version 0 means that the row does not exist.
type RecordRead struct {
	Record  Record
	Version uint64
}

func (RecordRead) EventName() string { return "expertmap.record_read" }

// RecordReadFailed reports that a ReadRecord failed.
type RecordReadFailed struct{}

func (RecordReadFailed) EventName() string { return "expertmap.record_unread" }

// RecordConflict reports that the record's version was not the one required;
// nothing was written.
type RecordConflict struct{}

func (RecordConflict) EventName() string { return "expertmap.record_conflict" }

// RecordWriteUnknown reports that the outcome of a WriteRecord is unknown: it may
// have taken effect, may still take effect later, or never.
type RecordWriteUnknown struct{}

func (RecordWriteUnknown) EventName() string { return "expertmap.record_unknown" }

// RecordWritten reports that the record was written and now has the version.
type RecordWritten struct {
	Record  Record
	Version uint64
}

func (RecordWritten) EventName() string { return "expertmap.record_written" }

// ReadRecord requests the record; answered by RecordRead or RecordReadFailed.
type ReadRecord struct{}

func (ReadRecord) EffectName() string { return "expertmap.read_record" }

// WriteRecord writes the record if its version is IfVersion; answered by
// RecordWritten, RecordConflict or RecordWriteUnknown.
type WriteRecord struct {
	Record    Record
	IfVersion uint64
}

func (WriteRecord) EffectName() string { return "expertmap.write_record" }

// Send sends the order to the rank's agent; answered by ReplyReceived, or not at
// all.
type Send struct {
	Rank  int
	Order Order
}

func (Send) EffectName() string { return "expertmap.send" }

// PublishMap requests that the proposed map is stored under the ID, where the
// ranks read it.
type PublishMap struct{ ID ID }

func (PublishMap) EffectName() string { return "expertmap.begin" }

// Notice reports the coordinator's phase for the log.
type Notice struct {
	Phase  Phase
	Change Change
	Ranks  []int // Ranks that the coordinator is waiting for.
}

func (Notice) EffectName() string { return "expertmap.notice" }
