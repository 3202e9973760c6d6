package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/reduce"
)

// recordTable is the table of the store with one row an entry: its record.
const recordTable = "crashes"

// recordRow is the value of a row.
type recordRow struct {
	Crashes []crashRow     `json:"crashes"`
	Cleared []clearanceRow `json:"cleared"`
}

type crashRow struct {
	Service  string       `json:"service"`
	Server   string       `json:"server"`
	AtMS     int64        `json:"at_ms"` // Unix milliseconds by the entry's clock.
	Suspects []suspectRow `json:"suspects"`
}

type suspectRow struct {
	Organisation string   `json:"organisation"`
	Parts        []string `json:"parts"`
	Fingerprint  string   `json:"request,omitempty"`
}

type clearanceRow struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	Part         string `json:"part,omitempty"`
	Fingerprint  string `json:"request,omitempty"` // Instead of a part.
	AtMS         int64  `json:"at_ms"`             // Unix milliseconds by the entry's clock.
}

func encodeRecord(record poison.Record) []byte {
	row := recordRow{Crashes: []crashRow{}, Cleared: []clearanceRow{}}
	for _, crash := range record.Crashes {
		encoded := crashRow{Service: crash.Service, Server: crash.Server, AtMS: crash.At.UnixMilli(), Suspects: []suspectRow{}}
		for _, suspect := range crash.Suspects {
			encoded.Suspects = append(encoded.Suspects, suspectRow(suspect))
		}
		row.Crashes = append(row.Crashes, encoded)
	}
	for _, clearance := range record.Clearances {
		encoded := clearanceRow{Service: clearance.Service, Organisation: clearance.Organisation, AtMS: clearance.At.UnixMilli()}
		if clearance.Trait.Kind == poison.WholeRequest {
			encoded.Fingerprint = clearance.Trait.ID
		} else {
			encoded.Part = clearance.Trait.ID
		}
		row.Cleared = append(row.Cleared, encoded)
	}
	data, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode crash record: %v", err)) // The types hold nothing that can't be encoded.
	}
	return data
}

func decodeRecord(value []byte) (poison.Record, error) {
	var row recordRow
	if err := json.Unmarshal(value, &row); err != nil {
		return poison.Record{}, fmt.Errorf("decode crash record: %w", err)
	}
	var record poison.Record
	for _, crash := range row.Crashes {
		decoded := poison.Crash{Service: crash.Service, Server: crash.Server, At: time.UnixMilli(crash.AtMS)}
		for _, suspect := range crash.Suspects {
			decoded.Suspects = append(decoded.Suspects, poison.Suspect(suspect))
		}
		record.Crashes = append(record.Crashes, decoded)
	}
	for _, clearance := range row.Cleared {
		trait := poison.Trait{Kind: poison.PromptPart, ID: clearance.Part}
		if clearance.Fingerprint != "" {
			trait = poison.Trait{Kind: poison.WholeRequest, ID: clearance.Fingerprint}
		}
		record.Clearances = append(record.Clearances, poison.Clearance{
			Service: clearance.Service, Organisation: clearance.Organisation, Trait: trait, At: time.UnixMilli(clearance.AtMS),
		})
	}
	return record, nil
}

// listRecords translates all rows of the table. Rows that can't be decoded count as
// empty and are named in the error.
func listRecords(rows []platform.Row, _ platform.Reading) ([]reduce.Event, error) {
	list := poison.RowsListed{}
	var problems []error
	for _, row := range rows {
		record, err := decodeRecord(row.Value)
		if err != nil {
			problems = append(problems, fmt.Errorf("row %s: %w", row.Key, err))
		}
		list.Rows = append(list.Rows, poison.Row{Entry: row.Key, Version: row.Version, Record: record})
	}
	return []reduce.Event{list}, errors.Join(problems...)
}

func changedRecord(row platform.Row, _ platform.Reading) (reduce.Event, error) {
	if row.Deleted {
		return poison.RowRead{Row: poison.Row{Entry: row.Key}}, nil
	}
	record, err := decodeRecord(row.Value)
	return poison.RowRead{Row: poison.Row{Entry: row.Key, Version: row.Version, Record: record}}, err
}
