// Package once stores the rows of idempotency keys in the platform's table
// service and large answers in its object store. It removes both when the
// retention period has passed.
package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"persimmonwind.dev/policy/once"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wait"
)

const (
	storeTimeout    = 2 * time.Second
	delayedReadWait = 200 * time.Millisecond
	maxInlineBytes  = 4 << 10 // Larger answers are kept in the object store.
	objectPrefix    = "once-answers/"
)

// Objects is an object store that can also delete objects.
type Objects interface {
	ports.Objects
	// Delete removes the object. It is not an error if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// Rows reads and writes the rows of idempotency keys.
type Rows struct {
	Table   ports.Table
	Objects Objects
}

// record is the JSON form in which a row is stored.
type record struct {
	State       once.State     `json:"state"`
	Epoch       uint64         `json:"epoch"`
	Ended       uint64         `json:"ended,omitempty"`
	Fingerprint string         `json:"fingerprint"`
	Execution   once.Execution `json:"execution"`
	Answer      *answerRecord  `json:"answer,omitempty"`
	Written     time.Time      `json:"written"`
}

type answerRecord struct {
	Code        int    `json:"code,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

func encode(row once.Row, now time.Time) ([]byte, error) {
	stored := record{
		State: row.State, Epoch: row.Epoch, Ended: row.Ended,
		Fingerprint: row.Fingerprint, Execution: row.Execution, Written: now.UTC(),
	}
	if row.State == once.Done {
		a := row.Answer
		stored.Answer = &answerRecord{
			Code: a.Code, Status: a.Status, ContentType: a.ContentType, Body: []byte(a.Body), Object: a.Object,
		}
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return value, nil
}

func decode(value []byte) (once.Row, time.Time, error) {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return once.Row{}, time.Time{}, fmt.Errorf("decode row: %w", err)
	}
	row := once.Row{
		State: stored.State, Epoch: stored.Epoch, Ended: stored.Ended,
		Fingerprint: stored.Fingerprint, Execution: stored.Execution,
	}
	if a := stored.Answer; a != nil {
		row.Answer = once.Answer{
			Code: a.Code, Status: a.Status, ContentType: a.ContentType, Body: string(a.Body), Object: a.Object,
		}
	}
	return row, stored.Written, nil
}

// Read executes a ReadRow effect and returns its outcome as an event.
func (r *Rows) Read(ctx context.Context, key string, effect once.ReadRow) reduce.Event {
	if effect.Delayed {
		wait.For(ctx, delayedReadWait)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := r.Table.Get(ctx, key)
	if err != nil {
		return once.ReadFailed{}
	}
	if stored.Version == 0 {
		return once.RowRead{}
	}
	row, _, err := decode(stored.Value)
	if err != nil {
		return once.ReadFailed{}
	}
	return once.RowRead{Row: row, Version: stored.Version}
}

// Write executes a WriteRow effect and returns its outcome as an event. Every
// failure other than a conflict yields WriteUnknown, even if the table service
// appears to have refused the write: only reading the row shows whether it took
// effect.
func (r *Rows) Write(ctx context.Context, key string, effect once.WriteRow) reduce.Event {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := r.storeAnswer(ctx, key, effect.Row)
	if err != nil {
		return once.WriteUnknown{}
	}
	value, err := encode(row, time.Now())
	if err != nil {
		return once.WriteUnknown{}
	}
	err = r.Table.Commit(ctx, ports.Tx{
		Conditions: []ports.Condition{{Key: key, Version: effect.Version}},
		Writes:     []ports.Write{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		return once.WriteSucceeded{}
	case errors.Is(err, ports.ErrConflict):
		return once.WriteConflict{}
	}
	return once.WriteUnknown{}
}

// storeAnswer moves an answer larger than maxInlineBytes to the object store and
// returns the row that refers to it.
func (r *Rows) storeAnswer(ctx context.Context, key string, row once.Row) (once.Row, error) {
	if len(row.Answer.Body) <= maxInlineBytes {
		return row, nil
	}
	name := objectPrefix + strings.TrimPrefix(key, once.RowPrefix) + "/" + row.Execution.Nonce
	if err := r.Objects.Put(ctx, name, []byte(row.Answer.Body)); err != nil {
		return row, fmt.Errorf("store answer of %q: %w", key, err)
	}
	row.Answer.Body, row.Answer.Object = "", name
	return row, nil
}

// LoadAnswer returns the answer with its body, read from the object store if it
// is kept there. For an answer that records a failure it returns that failure.
func (r *Rows) LoadAnswer(ctx context.Context, answer once.Answer) (once.Answer, *result.Error) {
	if answer.Code != 0 {
		return answer, result.Errorf(result.Code(answer.Code), "the backend server did not answer the only run of this work")
	}
	if answer.Object == "" {
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := r.Objects.Get(ctx, answer.Object)
	if err != nil {
		return answer, result.Errorf(result.OutcomeUnknown, "the work ran, but its stored answer can't be read: %v", err)
	}
	answer.Body = string(body)
	return answer, nil
}
