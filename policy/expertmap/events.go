package expertmap

// LeaseAcquired reports that the process has acquired the group's lease with the
// fencing number, which makes it the coordinator of its group.
type LeaseAcquired struct {
	Fence uint64
	Ranks int // Number of ranks of the group.
}

func (LeaseAcquired) EventName() string { return "expertmap.lead" }

// LeaseLost reports that the process no longer holds the group's lease, so that it
// stops coordinating.
type LeaseLost struct{}

func (LeaseLost) EventName() string { return "expertmap.unlead" }

// Propose requests a change of the expert map. When the change starts, the effect
// PublishMap carries the ID under which the new map has to be stored.
type Propose struct{}

func (Propose) EventName() string { return "expertmap.propose" }

// ReplyReceived carries a rank's reply to an order, with its engine's state.
type ReplyReceived struct {
	Rank    int
	Kind    Kind   // Kind of the order.
	Number  Number // Sequence number of the order.
	State   EngineState
	Refused bool   // The agent refused the order and did not forward it.
	Seen    Number // Highest sequence number that the agent has seen; set if Refused.
}

func (ReplyReceived) EventName() string { return "expertmap.replied" }

// RecordRead carries the group's record, which was read from the table service.
// Version is the version of its row; 0 means that the row does not exist.
type RecordRead struct {
	Record  Record
	Version uint64
}

func (RecordRead) EventName() string { return "expertmap.record_read" }

// RecordReadFailed reports that a read of the group's record failed.
type RecordReadFailed struct{}

func (RecordReadFailed) EventName() string { return "expertmap.record_unread" }

// RecordConflict reports that the group's record was not written, because its version
// was not the one that WriteRecord required.
type RecordConflict struct{}

func (RecordConflict) EventName() string { return "expertmap.record_conflict" }

// RecordWriteUnknown reports that the outcome of a write of the group's record is
// unknown: it may have taken effect, may still take effect later, or never.
type RecordWriteUnknown struct{}

func (RecordWriteUnknown) EventName() string { return "expertmap.record_unknown" }

// RecordWritten reports that the group's record was written and now has the version.
type RecordWritten struct {
	Record  Record
	Version uint64
}

func (RecordWritten) EventName() string { return "expertmap.record_written" }

// ReadRecord is the effect that reads the group's record from the table service; the
// reply is RecordRead or RecordReadFailed.
type ReadRecord struct{}

func (ReadRecord) EffectName() string { return "expertmap.read_record" }

// WriteRecord is the effect that writes the group's record if its version is still
// IfVersion; the reply is RecordWritten, RecordConflict or RecordWriteUnknown.
type WriteRecord struct {
	Record    Record
	IfVersion uint64
}

func (WriteRecord) EffectName() string { return "expertmap.write_record" }

// Send is the effect that sends the order to the rank's agent. The reply is
// ReplyReceived, which may never arrive.
type Send struct {
	Rank  int
	Order Order
}

func (Send) EffectName() string { return "expertmap.send" }

// PublishMap is the effect that stores the proposed map under the ID, where the ranks
// read it.
type PublishMap struct{ ID ID }

func (PublishMap) EffectName() string { return "expertmap.begin" }

// Notice is the effect that reports the coordinator's phase for the log.
type Notice struct {
	Phase  Phase
	Change Change
	Ranks  []int // Ranks that the coordinator is waiting for.
}

func (Notice) EffectName() string { return "expertmap.notice" }
