// Package poison finds the requests that crash the backend servers which execute them, and
// the parts of prompts that do, from what the requests had in common that were at servers
// which ended. What requests can have in common is a Trait.
//
// Each entry keeps a Record: the crashes that it observed, with the requests that it had
// there and that had not been answered yet, and the traits that it has seen answered
// since. Entries exchange their records through the platform's store; Step reduces all of
// them to the accused traits.
//
// Invariants: a trait is accused only by crashes after which none of its organisation's
// requests with it has been answered; what a single organisation sends neither clears nor
// accuses a trait for others, what two send holds for all; all state is bounded.
package poison

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	// evidenceTTL is how long a crash counts as evidence.
	evidenceTTL = 2 * time.Hour
	// maxCrashes and maxClearances bound a record, and with it the size of its row in the
	// store.
	maxCrashes    = 8
	maxClearances = 64
	// maxSuspectWeight bounds the suspects of one crash in a record: each counts
	// suspectWeight, and 1 more for each of its parts.
	maxSuspectWeight = 192
	suspectWeight    = 3
	// maxClockSkew is how far an entry's time of day may be ahead of another's for its
	// records to count.
	maxClockSkew = time.Minute
	// writeBackoff is the time after a failed write of the record until the next one.
	writeBackoff = 300 * time.Millisecond
	// judgeInterval is how often evidence that has not changed is judged anew, as it grows
	// old.
	judgeInterval = 10 * time.Second
	// confirmTimeout is how long a successful write may take to be read back before it is
	// repeated.
	confirmTimeout = time.Second
)

// Suspect is what requests are compared by. In a Crash it is a request that was at the
// server and that the server had not answered, or had only just begun to.
type Suspect struct {
	Organisation string
	Parts        []string // Hashes of the parts of its prompt that other requests may share.
	Fingerprint  string   // See Fingerprint; empty if unknown.
}

// Kind tells what requests with a trait have in common.
type Kind int

const (
	PromptPart   Kind = iota // A part of their prompts.
	WholeRequest             // Everything that the server executes.
)

// Trait is something that requests have in common.
type Trait struct {
	Kind Kind
	ID   string // Hash of the part, or fingerprint of the request.
}

// traits returns what other requests may have in common with the suspect, the whole request
// first.
func (s Suspect) traits() []Trait {
	var traits []Trait
	if s.Fingerprint != "" {
		traits = append(traits, Trait{WholeRequest, s.Fingerprint})
	}
	for _, part := range s.Parts {
		traits = append(traits, Trait{PromptPart, part})
	}
	return traits
}

// Crash is the end of an incarnation of a server.
type Crash struct {
	Service  string
	Server   string    // ID of the incarnation.
	At       time.Time // By the clock of the entry that observed it.
	Suspects []Suspect
}

// Clearance tells that a request of an organisation with an accused trait was answered.
type Clearance struct {
	Service, Organisation string
	Trait                 Trait
	At                    time.Time
}

// Record is what one entry has observed.
type Record struct {
	Crashes    []Crash
	Clearances []Clearance
}

// empty reports whether the record holds nothing.
func (r Record) empty() bool { return len(r.Crashes) == 0 && len(r.Clearances) == 0 }

// Row is an entry's record as read from the store. Version 0 means that there is none.
type Row struct {
	Entry   string
	Version uint64
	Record  Record
}

// CrashObserved reports a crash that this entry has observed.
type CrashObserved struct{ Crash Crash }

func (CrashObserved) EventName() string { return "poison.crash_observed" }

// Answered reports that a server has answered a request of this entry, or has gone on
// for a while after it began to.
type Answered struct {
	Service string
	Request Suspect
}

func (Answered) EventName() string { return "poison.answered" }

// RowsListed carries the records of all entries.
type RowsListed struct{ Rows []Row }

func (RowsListed) EventName() string { return "poison.rows_listed" }

// RowRead carries a record that has changed.
type RowRead struct{ Row Row }

func (RowRead) EventName() string { return "poison.row_read" }

// RecordWritten reports the result of WriteRecord.
type RecordWritten struct{ Err error }

func (RecordWritten) EventName() string { return "poison.record_written" }

// WriteRecord asks the caller to write this entry's record if its row still has the
// version, and to post RecordWritten.
type WriteRecord struct {
	Record  Record
	Version uint64
}

func (WriteRecord) EffectName() string { return "poison.write_record" }

// RemoveRows asks the caller to remove the rows of entries whose evidence is too old.
type RemoveRows struct{ Entries []string }

func (RemoveRows) EffectName() string { return "poison.remove_rows" }

// VerdictChanged reports that a trait has become accused, is accused of more crashes, or
// is no longer accused.
type VerdictChanged struct {
	Service    string
	Trait      Trait
	Accusation Accusation // The new one, or the last one if Cleared is set.
	Cleared    bool
}

func (VerdictChanged) EffectName() string { return "poison.verdict_changed" }

// State is what an entry knows.
type State struct {
	Verdicts *Verdicts // The accused traits; never changed after it has been set.

	entry     string // Name of this entry.
	own       Record // What the row of this entry should hold.
	rows      map[string]Row
	listed    bool // The rows have been read.
	sound     *soundTraits
	writing   bool
	nextWrite time.Time
	watched   map[traitKey]bool // Traits that are accused here, or by the records alone.
	judgedAt  time.Time
	clearAt   time.Time // When clearances are published; zero if none are missing.
}

// New returns the state of an entry that knows nothing yet.
func New(entry string) State {
	return State{Verdicts: &Verdicts{}, entry: entry, rows: map[string]Row{}, sound: newSoundTraits()}
}

// Step applies an input to the state.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects []reduce.Effect
	switch event := input.Event.(type) {
	case CrashObserved:
		event.Crash.At = wireTime(event.Crash.At)
		state.own.addCrash(event.Crash, state.Verdicts)
		state, effects = state.judge(input)
	case Answered:
		if watched := state.answered(event, input.Now); !watched {
			return state, nil
		}
		state, effects = state.judge(input)
	case RowsListed:
		state.rows = make(map[string]Row, len(event.Rows))
		for _, row := range event.Rows {
			state.rows[row.Entry] = row
		}
		state.takeOverOwnRow()
		state.nextWrite = input.Now
		state, effects = state.judge(input)
	case RowRead:
		state.rows[event.Row.Entry] = event.Row
		if event.Row.Version == 0 {
			delete(state.rows, event.Row.Entry)
		}
		if event.Row.Entry == state.entry {
			state.nextWrite = input.Now
		}
		state, effects = state.judge(input)
	case RecordWritten:
		state.writing = false
		state.nextWrite = input.Now.Add(confirmTimeout)
		if event.Err != nil {
			state.nextWrite = input.Now.Add(writeBackoff)
		}
	case reduce.Tick:
		state.own.dropExpired(input.Now)
		published := false
		state, published = state.publishClearances(input.Now)
		if published || input.Now.Sub(state.judgedAt) >= judgeInterval {
			state, effects = state.judge(input)
		}
		effects = append(effects, state.removeExpired(input)...)
	}
	state, write := state.write(input.Now)
	return state, append(effects, write...)
}

// answered remembers the request's traits as sound and reports whether one of them is
// watched.
func (s State) answered(event Answered, now time.Time) (watched bool) {
	for _, trait := range event.Request.traits() {
		key := traitKey{event.Service, trait}
		s.sound.add(event.Request.Organisation, key, now)
		watched = watched || s.watched[key]
	}
	return watched
}

// wireTime returns the time in the resolution in which records are stored.
func wireTime(at time.Time) time.Time { return time.UnixMilli(at.UnixMilli()) }

// takeOverOwnRow adds to the entry's record what its row holds from before a restart,
// when the rows are listed for the first time.
func (s *State) takeOverOwnRow() {
	if s.listed {
		return
	}
	s.listed = true
	for _, crash := range s.rows[s.entry].Record.Crashes {
		s.own.addCrash(crash, s.Verdicts)
	}
	for _, clearance := range s.rows[s.entry].Record.Clearances {
		s.own.addClearance(clearance)
	}
}

// write asks for a write of the entry's record if its row differs.
func (s State) write(now time.Time) (State, []reduce.Effect) {
	row := s.rows[s.entry]
	if s.writing || !s.listed || now.Before(s.nextWrite) || s.own.equal(row.Record) {
		return s, nil
	}
	s.writing = true
	return s, []reduce.Effect{WriteRecord{Record: s.own.clone(), Version: row.Version}}
}

// removalShare is the share of ticks at which an entry removes expired rows: all entries
// see them, and one removal is enough.
const removalShare = 1.0 / 64

// removeExpired asks for the removal of rows without recent evidence.
func (s State) removeExpired(input reduce.Input) []reduce.Effect {
	if float64(input.Random>>11)/(1<<53) >= removalShare {
		return nil
	}
	var expired []string
	for entry, row := range s.rows {
		record := row.Record.clone()
		record.dropExpired(input.Now)
		if row.Version != 0 && record.empty() {
			expired = append(expired, entry)
		}
	}
	if len(expired) == 0 {
		return nil
	}
	return []reduce.Effect{RemoveRows{Entries: expired}}
}
