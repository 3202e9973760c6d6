package wholesystem

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/reduce"
)

// tableAddress stands for the table service in message.from and message.to.
const tableAddress = -1

// kind is the type of a message.
type kind int

const (
	localEvent      kind = iota // An event from the process's own host, such as a request or the backend server's progress.
	exchangeRequest             // Reports the sender's revision and asks for the receiver's.
	exchangeReply               // The answer to an exchangeRequest, a view.ExchangeAnswered.
	peerRequest                 // Asks a peer for its configuration.
	peerReply                   // Carries the peer's configuration.
	readRequest                 // Asks the table service for the newest revision.
	readReply                   // Carries the newest revision.
	submitRequest               // Asks the table service to accept a change by compare-and-set.
	submitReply                 // Carries the revision that the change has led to, or 0.
	offer                       // A configuration that a process sends without a request.
)

// message is a message that is in flight, or deferred because its receiver is
// paused.
type message struct {
	kind     kind
	from, to int       // Index of the sending and of the receiving process, or tableAddress.
	boot     int       // Boot number of the process that sent the request; a restarted process ignores replies to an earlier boot.
	beganAt  time.Time // When the request was sent.
	fetch    int       // Number of the fetch that the request belongs to.
	revision uint64
	snapshot *config.Snapshot
	event    reduce.Event
	change   change
	failed   bool // The table service was unavailable.
}

// isReply reports whether the message is lost if the receiver has restarted since:
// replies return over the connection of the request, and local events belong to
// one boot of the process.
func (m message) isReply() bool {
	switch m.kind {
	case exchangeReply, peerReply, readReply, submitReply, localEvent:
		return true
	}
	return false
}
