// Package once decides how non-idempotent work runs at most once. One row of
// the table service for each idempotency key arbitrates between attempts; an
// entry and an agent each run a small state machine over it.
//
// Invariants:
//   - a row becomes started only from an epoch that nobody has cancelled, and
//     the work runs only under the nonce that the row names;
//   - a started row is cancelled only where its agent says that the nonce is
//     given up, which is final;
//   - once a row was ended at an epoch, no request that was taken in at a lower
//     epoch starts the work.
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

// Execution names one execution of the work; no two executions are equal.
type Execution struct {
	Agent string `json:"agent"` // Instance ID.
	Boot  string `json:"boot"`  // Changes when the agent restarts.
	Nonce string `json:"nonce"`
}

// Answer is what an execution ended with.
type Answer struct {
	Code        int // A result.Code; 0 where the backend server answered.
	Status      int
	ContentType string
	Body        string
	Object      string // Name of the object that holds the body; empty where Body does.
}

// Row is the value of a key's row. The zero value is the row that does not
// exist.
type Row struct {
	State       State
	Epoch       uint64 // Grows with every cancellation.
	Ended       uint64 // Epoch that the last final cancellation led to, 0 for none.
	Fingerprint string // Of the request that the key belongs to.
	Execution   Execution
	Answer      Answer // Of a done row.
}

// Startable reports whether an attempt of the epoch may start.
func (r Row) Startable(epoch uint64) bool {
	return r.open() && r.Epoch == epoch
}

// open reports whether no execution holds the row.
func (r Row) open() bool { return r.State == Absent || r.State == Cancelled }

// finallyCancelled reports whether the row's last cancellation was final.
func (r Row) finallyCancelled() bool { return r.State == Cancelled && r.Ended == r.Epoch }

// heldBy reports whether the execution has started and has not ended.
func (r Row) heldBy(execution Execution) bool {
	return r.State == Started && r.Execution == execution
}

// belongsToOther reports whether the row belongs to another request.
func (r Row) belongsToOther(fingerprint string) bool {
	return r.State != Absent && r.Fingerprint != fingerprint
}

// start returns the row that the execution holds.
func (r Row) start(fingerprint string, execution Execution) Row {
	return Row{State: Started, Epoch: r.Epoch, Ended: r.Ended, Fingerprint: fingerprint, Execution: execution}
}

// cancel returns the row at the next epoch. A final cancellation shuts out
// every request that was taken in before.
func (r Row) cancel(fingerprint string, final bool) Row {
	next := Row{State: Cancelled, Epoch: r.Epoch + 1, Ended: r.Ended, Fingerprint: fingerprint}
	if final {
		next.Ended = next.Epoch
	}
	return next
}

// finish returns the row with the execution's answer.
func (r Row) finish(answer Answer) Row {
	r.State = Done
	r.Answer = answer
	return r
}

// RowKey returns the table service's key of the row of an organisation's
// idempotency key.
func RowKey(organisation, key string) string {
	return RowPrefix + digest(organisation, key)
}

// RowPrefix begins the table service's keys of all rows.
const RowPrefix = "once/"

// Fingerprint identifies the request that a key is used for.
func Fingerprint(service, operation string, body []byte) string {
	return digest(service, operation, string(body))
}

// digest returns the hex SHA-256 of the parts, unambiguous in their borders.
func digest(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(sum, strconv.Itoa(len(part))+":"+part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}
