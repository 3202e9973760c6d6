// Package once contains the state machines that run non-idempotent work at most
// once. One row of the table service for each idempotency key arbitrates between
// attempts; an entry and an agent each run a state machine that reads and writes
// the row.
//
// Each row has an epoch, which every cancellation of the row increments. An
// attempt belongs to one epoch and can start only while the row is at that epoch.
// A final cancellation also ends the request, with the guarantee that its work did
// not run and will not run.
//
// Invariants:
//   - a row becomes started only from an epoch that has not been cancelled, and
//     only the execution whose nonce is in the row runs the work;
//   - a started row is cancelled only after its agent has permanently given up the
//     execution with the nonce in the row;
//   - after a final cancellation has led to an epoch, no request that was
//     admitted at a lower epoch starts the work.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
)

// State is the state of a key's row.
type State string

// States of a row.
const (
	Absent    State = ""
	Started   State = "started"
	Done      State = "done"
	Cancelled State = "cancelled"
)

// Execution identifies one execution of the work; no two executions are equal.
type Execution struct {
	Agent string `json:"agent"` // Instance ID of the agent.
	Boot  string `json:"boot"`  // Boot ID of the agent, which changes when it restarts.
	Nonce string `json:"nonce"` // Differs for each execution.
}

// Answer is the result of an execution.
type Answer struct {
	Code        int // A result.Code; 0 if the backend server answered.
	Status      int // HTTP status.
	ContentType string
	Body        string
	Object      string // Name of the object that holds the body; empty if Body holds it.
}

// Row is the value of a key's row. The zero value stands for a row that does not
// exist.
type Row struct {
	State       State
	Epoch       uint64 // Incremented by every cancellation.
	Ended       uint64 // Epoch of the row after its last final cancellation, 0 if there was none.
	Fingerprint string // Fingerprint of the request that the key belongs to.
	Execution   Execution
	Answer      Answer // The answer if State is Done.
}

// Startable reports whether the row permits an attempt of the epoch to start.
func (r Row) Startable(epoch uint64) bool {
	return r.open() && r.Epoch == epoch
}

// open reports whether the row is neither started nor done.
func (r Row) open() bool { return r.State == Absent || r.State == Cancelled }

// finallyCancelled reports whether the row is cancelled and the last
// cancellation was final.
func (r Row) finallyCancelled() bool { return r.State == Cancelled && r.Ended == r.Epoch }

// startedBy reports whether the row is in state Started with this execution.
func (r Row) startedBy(execution Execution) bool {
	return r.State == Started && r.Execution == execution
}

// belongsToOther reports whether the row belongs to a request with another
// fingerprint.
func (r Row) belongsToOther(fingerprint string) bool {
	return r.State != Absent && r.Fingerprint != fingerprint
}

// start returns the row in state Started with this execution.
func (r Row) start(fingerprint string, execution Execution) Row {
	return Row{State: Started, Epoch: r.Epoch, Ended: r.Ended, Fingerprint: fingerprint, Execution: execution}
}

// cancel returns the row in state Cancelled at the next epoch. After a final
// cancellation, no request that was admitted before it can start the work.
func (r Row) cancel(fingerprint string, final bool) Row {
	next := Row{State: Cancelled, Epoch: r.Epoch + 1, Ended: r.Ended, Fingerprint: fingerprint}
	if final {
		next.Ended = next.Epoch
	}
	return next
}

// finish returns the row in state Done with the execution's answer.
func (r Row) finish(answer Answer) Row {
	r.State = Done
	r.Answer = answer
	return r
}

// RowKey returns the key in the table service of the row for an organisation's
// idempotency key.
func RowKey(organisation, key string) string {
	return RowPrefix + digest(organisation, key)
}

// RowPrefix is the prefix of the keys of all rows in the table service.
const RowPrefix = "once/"

// Fingerprint identifies the request that a key is used for.
func Fingerprint(service, operation string, body []byte) string {
	return digest(service, operation, string(body))
}

// digest returns the hex SHA-256 of the parts. Each part is hashed with its
// length, so that different divisions of the same bytes have different digests.
func digest(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(sum, strconv.Itoa(len(part))+":"+part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}
