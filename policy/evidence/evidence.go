// Package evidence decides whether an agent may start new work: only while it
// has recent evidence that its configuration is current. A process that was
// paused or cut off from the network does not know whether its data centre has
// been taken out, so it must start no work while evidence is missing.
//
// A read of the table service is always evidence, whether the process made the
// read itself or a peer reported it. While the table service is down for every
// process, no change can be accepted, so contact with peers (an exchange in which
// a peer answers with its own revision) can be evidence as well; ContactRule says
// which contacts count.
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
	// MaxContactAge is how long a contact with a peer counts as evidence. It is
	// shorter than MaxStoreAge because the peer itself may have learned of a
	// change with a delay.
	MaxContactAge = 3 * time.Second

	peerQueryInterval = time.Second
	peerQueryJitter   = 250 * time.Millisecond
	// askEveryDataCentreAge is the age of the newest known read of the table service
	// from which one peer in every data centre is asked instead of one peer anywhere.
	askEveryDataCentreAge = 2200 * time.Millisecond
	retryAfter            = time.Second
)

// ContactRule says which contacts with peers count as evidence.
type ContactRule int

// The contact rules, the strictest first.
const (
	// StoreOnly accepts no contact as evidence.
	StoreOnly ContactRule = iota
	// EveryDataCentre requires a contact in every data centre that is not taken
	// out.
	EveryDataCentre
	// OtherDataCentre requires a contact in one other data centre.
	OtherDataCentre
	// AnyPeer requires one contact in any data centre.
	AnyPeer
)

// String returns the rule's name.
func (r ContactRule) String() string {
	return [...]string{"store only", "every data centre", "one other data centre", "any peer"}[r]
}

// StartupCheck says what must confirm the configuration of a restarted process
// before its answers count as evidence for others.
type StartupCheck int

// The values of StartupCheck.
const (
	// NoStartupCheck accepts the answers of every process that has a
	// configuration.
	NoStartupCheck StartupCheck = iota
	// PeerStartupCheck sets State.Started on evidence from the table service,
	// on contact with a peer whose State.Started is set, or on contact with a peer
	// in every data centre that is not taken out. Until then the process may not
	// start work on the evidence of contacts either.
	PeerStartupCheck
	// StoreStartupCheck sets State.Started only on a read of the table service
	// that began after the process started. Until then, peers must not take this
	// process's replies as proof that their configuration is current.
	StoreStartupCheck
)

// String returns the check's name.
func (b StartupCheck) String() string {
	return [...]string{"no bit", "bit from peers", "bit from the store"}[b]
}

// Policy combines a contact rule with a start-up check.
type Policy struct {
	ContactRule  ContactRule
	StartupCheck StartupCheck
}

// DefaultPolicy is the policy in use; docs/design/evidence.md gives the
// reasons.
var DefaultPolicy = Policy{ContactRule: EveryDataCentre, StartupCheck: StoreStartupCheck}

// State is the evidence that a process has, except for the time of the last read of
// the table service, which is view.State.CurrentAt.
type State struct {
	Policy   Policy
	BootedAt time.Time // Time of the first input.
	Started  bool      // Whether the start-up check has passed.
	// Contacts holds, by data centre, when the latest exchange began with a peer
	// there that knew no newer configuration. The map is replaced, never modified.
	Contacts      map[string]time.Time
	NextPeerQuery time.Time
}

// AskPeers requests that the process query peers for their revisions; each reply
// arrives as a view.ExchangeAnswered.
type AskPeers struct {
	// DataCentres lists the data centres in which to ask one peer each; empty
	// means one peer in any data centre.
	DataCentres []string
}

func (AskPeers) EffectName() string { return "evidence.ask" }

// Step applies one input to the state and returns the resulting effects. view.Step
// must have processed the same input before.
func Step(state State, viewState view.State, input reduce.Input) (State, []reduce.Effect) {
	if exchange, ok := input.Event.(view.ExchangeAnswered); ok {
		state = applyExchange(state, viewState, exchange)
	}
	if state.BootedAt.IsZero() {
		state.BootedAt = input.Now
	}
	if viewState.CurrentAt.After(state.BootedAt) {
		state.Started = true
	}
	if _, ok := input.Event.(reduce.Tick); !ok || input.Now.Before(state.NextPeerQuery) {
		return state, nil
	}
	jitter := time.Duration(input.Random % uint64(peerQueryJitter))
	state.NextPeerQuery = input.Now.Add(peerQueryInterval - jitter)
	return state, []reduce.Effect{AskPeers{DataCentres: dataCentresToAsk(viewState, input.Now)}}
}

// applyExchange records the contact with a peer, unless the peer has no
// configuration, has not passed its start-up check or has a newer revision.
func applyExchange(state State, viewState view.State, exchange view.ExchangeAnswered) State {
	if state.Policy.StartupCheck == PeerStartupCheck && (exchange.Started || state.hasContactEverywhere(viewState, exchange.BeganAt)) {
		state.Started = true
	}
	hasNoRevision := exchange.Revision == 0
	unconfirmed := state.Policy.StartupCheck != NoStartupCheck && !exchange.Started
	if hasNoRevision || unconfirmed || exchange.Revision > viewState.Revision() {
		return state
	}
	if exchange.BeganAt.Before(state.Contacts[exchange.DataCentre]) {
		return state
	}
	contacts := make(map[string]time.Time, len(state.Contacts)+1)
	maps.Copy(contacts, state.Contacts)
	contacts[exchange.DataCentre] = exchange.BeganAt
	state.Contacts = contacts
	return state
}

// dataCentresToAsk returns the data centres in which one peer each must be
// asked; nil means one peer in any data centre.
func dataCentresToAsk(viewState view.State, now time.Time) []string {
	if viewState.InForce == nil || viewState.Age(now) < askEveryDataCentreAge {
		return nil
	}
	var names []string
	for name, dataCentre := range viewState.InForce.DataCentres {
		if !dataCentre.TakenOut {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CheckNewWork returns why a process in dataCentre may not start new work now,
// or nil if it may.
func (s State) CheckNewWork(viewState view.State, dataCentre string, now time.Time) *result.Error {
	if viewState.InForce != nil && viewState.Age(now) <= MaxStoreAge {
		return nil
	}
	confirmed := s.Policy.StartupCheck != PeerStartupCheck || s.Started
	if viewState.InForce != nil && !viewState.Behind() && confirmed && s.hasRequiredContacts(viewState, dataCentre, now) {
		return nil
	}
	return &result.Error{Code: result.StaleConfiguration, RetryAfter: retryAfter}
}

func (s State) hasRequiredContacts(viewState view.State, dataCentre string, now time.Time) bool {
	switch s.Policy.ContactRule {
	case EveryDataCentre:
		return s.hasContactEverywhere(viewState, now)
	case OtherDataCentre:
		return s.hasAnyContact(now, func(name string) bool { return name != dataCentre })
	case AnyPeer:
		return s.hasAnyContact(now, func(string) bool { return true })
	}
	return false
}

func (s State) hasContactEverywhere(viewState view.State, now time.Time) bool {
	if viewState.InForce == nil {
		return false
	}
	for name, dataCentre := range viewState.InForce.DataCentres {
		if !dataCentre.TakenOut && now.Sub(s.Contacts[name]) > MaxContactAge {
			return false
		}
	}
	return true
}

func (s State) hasAnyContact(now time.Time, include func(name string) bool) bool {
	for name, at := range s.Contacts {
		if include(name) && now.Sub(at) <= MaxContactAge {
			return true
		}
	}
	return false
}
