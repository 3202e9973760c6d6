package group

import (
	"context"
	"encoding/json"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/lease"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/server/ports"
)

// leaseKey and recordKey return the keys of the group's rows in the table service:
// the lease and the record of the map changes.
func (g *Group) leaseKey() string  { return "groups/" + g.name() + "/lease" }
func (g *Group) recordKey() string { return "groups/" + g.name() + "/record" }

// executeTable carries out reads and writes of rows in the table service; each
// posts exactly one event.
func (g *Group) executeTable(ctx context.Context, effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case lease.ReadRow:
		go g.read(ctx, g.leaseKey(), lease.RowAccessFailed{}, leaseRead)
	case expertmap.ReadFence:
		go g.read(ctx, g.leaseKey(), expertmap.FenceReadFailed{}, fenceRead)
	case expertmap.ReadRecord:
		go g.read(ctx, g.recordKey(), expertmap.RecordReadFailed{}, recordRead)
	case lease.WriteRow:
		go g.writeLease(ctx, effect)
	case expertmap.WriteRecord:
		go g.writeRecord(ctx, effect)
	default:
		return false
	}
	return true
}

// read reads a row and posts the event that is made from it, or failureEvent if the row
// can't be read or decoded.
func (g *Group) read(ctx context.Context, key string, failureEvent reduce.Event, toEvent func(ports.Row) (reduce.Event, error)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := g.node.Store.Get(ctx, key)
	if err != nil {
		g.node.Loop.Post(failureEvent)
		return
	}
	read, err := toEvent(row)
	if err != nil {
		read = failureEvent
	}
	g.node.Loop.Post(read)
}

func leaseRead(row ports.Row) (reduce.Event, error) {
	var value lease.Row
	err := decode(row, &value)
	return lease.RowRead{Row: value, Version: row.Version}, err
}

func fenceRead(row ports.Row) (reduce.Event, error) {
	var value lease.Row
	err := decode(row, &value)
	return expertmap.FenceRead{Fence: value.Fence}, err
}

func recordRead(row ports.Row) (reduce.Event, error) {
	var value expertmap.Record
	err := decode(row, &value)
	return expertmap.RecordRead{Record: value, Version: row.Version}, err
}

// decode decodes the row's value. A row that does not exist leaves the value
// unchanged.
func decode(row ports.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	return json.Unmarshal(row.Value, value)
}

func (g *Group) writeLease(ctx context.Context, write lease.WriteRow) {
	version, err := g.write(ctx, g.leaseKey(), write.Row, write.IfVersion)
	switch {
	case err == nil:
		g.node.Loop.Post(lease.RowWritten{Row: write.Row, Version: version})
	case outcomeUnknown(err):
		g.node.Loop.Post(lease.RowAccessFailed{})
	default:
		g.node.Loop.Post(lease.WriteConflict{})
	}
}

func (g *Group) writeRecord(ctx context.Context, write expertmap.WriteRecord) {
	version, err := g.write(ctx, g.recordKey(), write.Record, write.IfVersion)
	switch {
	case err == nil:
		g.node.Loop.Post(expertmap.RecordWritten{Record: write.Record, Version: version})
	case outcomeUnknown(err):
		g.node.Loop.Post(expertmap.RecordWriteUnknown{})
	default:
		g.node.Loop.Post(expertmap.RecordConflict{})
	}
}

// write writes the value if the row still has the version and returns the row's
// new version.
func (g *Group) write(ctx context.Context, key string, value any, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	tx := ports.Tx{
		Conditions: []ports.Condition{{Key: key, Version: version}},
		Writes:     []ports.Write{{Key: key, Value: body}},
	}
	if err := g.node.Store.Commit(ctx, tx); err != nil {
		return 0, err
	}
	row, err := g.node.Store.Get(ctx, key)
	if err != nil || string(row.Value) != string(body) {
		return 0, ports.ErrUnknownOutcome
	}
	return row.Version, nil
}
