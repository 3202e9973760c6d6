package wholesystem

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/reduce"
)

// tableAddress is the address of the table service in message.from and message.to.
const tableAddress = -1

// kind is the type of a message.
type kind int

const (
	localEvent      kind = iota // An event from the process's own host, such as a request or the backend server's progress.
	exchangeRequest             // Reports the sender's revision and asks for the receiver's.
	exchangeReply               // The answer, a view.ExchangeAnswered.
	peerRequest                 // Asks a peer for its configuration.
	peerReply
	readRequest // Asks the table for its head.
	readReply
	submitRequest // Asks the table for a compare-and-set.
	submitReply
	offer // A configuration sent without a request.
)

// message is in flight, or deferred at a paused process.
type message struct {
	kind     kind
	from, to int // Index of the process, or tableAddress.
	boot     int // Boot number of the process that asked; answers to an earlier boot are ignored.
	beganAt  time.Time
	fetch    int // Number of the fetch that sent the request.
	revision uint64
	snapshot *config.Snapshot
	event    reduce.Event
	change   change
	failed   bool // The table is unavailable.
}

// isReply reports whether the message is delivered only to the boot that asked for
// it: replies return over the connection of the request, and local events belong
// to one boot.
func (m message) isReply() bool {
	switch m.kind {
	case exchangeReply, peerReply, readReply, submitReply, localEvent:
		return true
	}
	return false
}
