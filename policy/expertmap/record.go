package expertmap

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

// readRecord reads the group's record unless a read or write of it is in flight.
func (s *transition) readRecord() {
	s.RetryAt = s.now.Add(retryInterval)
	if s.StoreRequestInFlight {
		return
	}
	s.StoreRequestInFlight = true
	s.emit(ReadRecord{})
}

// writeRecord writes the group's record with the coordinator's fencing number and,
// while committing, the change in progress. It does nothing while a read or write of
// the record is in flight.
func (s *transition) writeRecord() {
	s.RetryAt = s.now.Add(retryInterval)
	if s.StoreRequestInFlight {
		return
	}
	s.StoreRequestInFlight = true
	record := Record{Fence: s.Number.Fence, Change: s.Record.Change}
	if s.Phase == Committing {
		record.Change = s.Change
	}
	s.emit(WriteRecord{Record: record, IfVersion: s.RecordVersion})
}

// commit writes the change in progress to the group's record. A group without a map
// has no map to fall back to, so its first commit is retried without a deadline.
func (s *transition) commit() {
	timeout := commitTimeout
	if s.installsFirstMap() {
		timeout = 0
	}
	s.Phase = Committing
	s.Deadline = time.Time{}
	if timeout > 0 {
		s.Deadline = s.now.Add(timeout)
	}
	s.emit(Notice{Phase: Committing, Change: s.Change})
	s.writeRecord()
}

func (s *transition) handleStoreResult(event reduce.Event) {
	switch event := event.(type) {
	case RecordRead:
		s.handleRecordRead(event)
	case RecordWritten:
		s.handleRecordWritten(event)
	case RecordConflict:
		s.RecordStale = true
		if s.Phase == Claiming || s.Phase == Committing {
			s.readRecord()
		}
	case RecordWriteUnknown:
		s.RecordStale = true
	}
}

// handleRecordRead stops the coordinator if a newer one has claimed the record.
// Otherwise it continues the claim or the commit for which the record was read.
func (s *transition) handleRecordRead(event RecordRead) {
	if s.Phase == Passive {
		return
	}
	if event.Record.Fence > s.Number.Fence {
		s.Coordinator = Coordinator{MarginSteps: s.MarginSteps}
		return
	}
	s.Record, s.RecordVersion, s.RecordStale = event.Record, event.Version, false
	claimed := event.Version > 0 && event.Record.Fence == s.Number.Fence
	switch {
	case s.Phase == Claiming && claimed:
		s.startRound()
	case s.Phase == Claiming:
		s.writeRecord()
	case s.Phase == Committing && event.Record.Change == s.Change:
		s.handleCommitted()
	case s.Phase == Committing:
		s.writeRecord()
	}
}

func (s *transition) handleRecordWritten(event RecordWritten) {
	if s.Phase != Claiming && s.Phase != Committing {
		s.RecordStale = true
		return
	}
	s.Record, s.RecordVersion, s.RecordStale = event.Record, event.Version, false
	if s.Phase == Claiming {
		s.startRound()
		return
	}
	s.handleCommitted()
}

// handleCommitted releases the ranks to switch to the committed change, or installs
// its map if no rank has one.
func (s *transition) handleCommitted() {
	if s.noRankHasMap() {
		s.enterPhase(Installing, 0)
		return
	}
	s.enterPhase(Releasing, 0)
}
