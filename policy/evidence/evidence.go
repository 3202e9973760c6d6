// Package evidence decides whether an agent may start new work: only while it
// has recent evidence that its configuration is current. A process that was
// paused or cut off does not know that its data centre was taken out, so that
// the absence of evidence must stop it.
//
// A read of the table service, its own or one that a peer tells of, is always
// evidence. While the table service is down for everybody nothing can be
// accepted, so contact with peers can be evidence as well; the Rule says which.
package evidence

import (
	"maps"
	"slices"
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/view"
)

const (
	// MaxStoreAge is how long a read of the table service permits new work.
	MaxStoreAge = 4 * time.Second
	// MaxContactAge is how long a contact counts. It is shorter, since the peer
	// itself may have learned of a change a moment late.
	MaxContactAge = 3 * time.Second

	askInterval = time.Second
	askJitter   = 250 * time.Millisecond
	// doubtAge is the age of the newest read of the table service from which a
	// peer in every data centre is asked.
	doubtAge   = 2200 * time.Millisecond
	retryAfter = time.Second
)

// ContactRule says which contacts with peers are evidence.
type ContactRule int

// The rules, from the strictest to the most lenient but one.
const (
	// StoreOnly takes no contact as evidence.
	StoreOnly ContactRule = iota
	// EveryDataCentre needs a peer in every data centre not taken out.
	EveryDataCentre
	// OtherDataCentre needs a peer in one other data centre.
	OtherDataCentre
	// AnyPeer needs one peer anywhere.
	AnyPeer
)

// String returns the rule's name.
func (r ContactRule) String() string {
	return [...]string{"store only", "every data centre", "one other data centre", "any peer"}[r]
}

// StartupCheck says what a restarted process needs before its word counts.
type StartupCheck int

// The variants of the start-up bit.
const (
	// NoStartupCheck lets the word of every process count that has a configuration.
	NoStartupCheck StartupCheck = iota
	// PeerStartupCheck starts at false; it becomes true on evidence from the table
	// service, on contact with a peer whose bit is true, or with a peer in every
	// data centre not taken out. Without it a process starts no work either.
	PeerStartupCheck
	// StoreStartupCheck starts at false and becomes true on evidence from the table
	// service alone, of a read since the process started. Without it a process is no witness for others.
	StoreStartupCheck
)

// String returns the bit's name.
func (b StartupCheck) String() string {
	return [...]string{"no bit", "bit from peers", "bit from the store"}[b]
}

// Policy is one variant of the rules of evidence.
type Policy struct {
	ContactRule  ContactRule
	StartupCheck StartupCheck
}

// DefaultPolicy is the variant in use; docs/design/evidence.md gives the
// reasons.
var DefaultPolicy = Policy{ContactRule: EveryDataCentre, StartupCheck: StoreStartupCheck}

// State is a process's evidence beside view.State.CurrentAt.
type State struct {
	Policy   Policy
	BootedAt time.Time // Of the first input.
	Started  bool      // The start-up bit.
	// Contacts holds, by data centre, the start of the latest exchange with a
	// peer there that knew no newer configuration. It is never modified.
	Contacts map[string]time.Time
	NextAsk  time.Time
}

// AskPeers asks for exchanges with peers; each answer is a view.Met.
type AskPeers struct {
	// DataCentres names where to ask one peer each; none means any one peer.
	DataCentres []string
}

// EffectName implements reduce.Effect.
func (AskPeers) EffectName() string { return "evidence.ask" }

// Step reduces one input. The view has reduced it already.
func Step(state State, known view.State, input reduce.Input) (State, []reduce.Effect) {
	if met, ok := input.Event.(view.ExchangeAnswered); ok {
		state = meet(state, known, met)
	}
	if state.BootedAt.IsZero() {
		state.BootedAt = input.Now
	}
	if known.CurrentAt.After(state.BootedAt) {
		state.Started = true
	}
	if _, ok := input.Event.(reduce.Tick); !ok || input.Now.Before(state.NextAsk) {
		return state, nil
	}
	jitter := time.Duration(input.Random % uint64(askJitter))
	state.NextAsk = input.Now.Add(askInterval - jitter)
	return state, []reduce.Effect{AskPeers{DataCentres: toAsk(known, input.Now)}}
}

func meet(state State, known view.State, met view.ExchangeAnswered) State {
	if state.Policy.StartupCheck == PeerStartupCheck && (met.Started || state.everyDataCentre(known, met.BeganAt)) {
		state.Started = true
	}
	knowsNothing := met.Revision == 0
	isStarting := state.Policy.StartupCheck != NoStartupCheck && !met.Started
	if knowsNothing || isStarting || met.Revision > known.Revision() {
		return state
	}
	if met.BeganAt.Before(state.Contacts[met.DataCentre]) {
		return state
	}
	contacts := make(map[string]time.Time, len(state.Contacts)+1)
	maps.Copy(contacts, state.Contacts)
	contacts[met.DataCentre] = met.BeganAt
	state.Contacts = contacts
	return state
}

// toAsk returns the data centres where a peer must be asked.
func toAsk(known view.State, now time.Time) []string {
	if known.InForce == nil || known.Age(now) < doubtAge {
		return nil
	}
	var names []string
	for name, dataCentre := range known.InForce.DataCentres {
		if !dataCentre.TakenOut {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CheckNewWork returns why the process in the data centre may not start new
// work at the time, or nil.
func (s State) CheckNewWork(known view.State, dataCentre string, now time.Time) *result.Error {
	if known.InForce != nil && known.Age(now) <= MaxStoreAge {
		return nil
	}
	started := s.Policy.StartupCheck != PeerStartupCheck || s.Started
	if known.InForce != nil && !known.Behind() && started && s.hasContacts(known, dataCentre, now) {
		return nil
	}
	return &result.Error{Code: result.StaleConfiguration, RetryAfter: retryAfter}
}

func (s State) hasContacts(known view.State, dataCentre string, now time.Time) bool {
	switch s.Policy.ContactRule {
	case EveryDataCentre:
		return s.everyDataCentre(known, now)
	case OtherDataCentre:
		return s.anyContact(now, func(name string) bool { return name != dataCentre })
	case AnyPeer:
		return s.anyContact(now, func(string) bool { return true })
	}
	return false
}

func (s State) everyDataCentre(known view.State, now time.Time) bool {
	if known.InForce == nil {
		return false
	}
	for name, dataCentre := range known.InForce.DataCentres {
		if !dataCentre.TakenOut && now.Sub(s.Contacts[name]) > MaxContactAge {
			return false
		}
	}
	return true
}

func (s State) anyContact(now time.Time, counts func(name string) bool) bool {
	for name, at := range s.Contacts {
		if counts(name) && now.Sub(at) <= MaxContactAge {
			return true
		}
	}
	return false
}
