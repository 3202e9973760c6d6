// Package topology reduces what the platform's store says of the deployment to
// one immutable snapshot: the configuration in force, the backend servers and
// the data centres that are taken out.
//
// Invariants: the version in force never falls; a snapshot never changes after
// it was published.
package topology

import (
	"maps"
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	// StoreReturnGrace is how long after the store's return a server whose row has
	// disappeared is kept: rows that lapsed in an outage are back within about
	// two seconds, as the platform promises.
	StoreReturnGrace = 2 * time.Second
	// unlistedGrace is how long a server is kept as a last resort whose row
	// disappeared without notice: an outage of the store may have gone unseen
	// here. It ends before a leaving server's shortest drain period, 2 s.
	unlistedGrace = 1500 * time.Millisecond
)

// State is what a process knows of the deployment.
type State struct {
	Config   *Configuration
	Servers  map[string]ServerState
	TakenOut map[string]bool // Data centres.

	ServersListed bool            // The list of servers has been read once.
	LostWatches   map[string]bool // Watches that the store doesn't answer.
	StoreUpSince  time.Time       // When the store last answered again.

	revision uint64 // Grows with each change of the servers or data centres.
}

// ServerState is a listed server with what the process keeps beside the row.
type ServerState struct {
	Server Server
	SeenAt time.Time // When the row was read.
	DropAt time.Time // Zero while the row is listed; else when the server is dropped.
}

// ConfigurationRead brings a configuration of the store; a nil Config is one
// that could not be decoded.
type ConfigurationRead struct{ Config *Configuration }

// EventName implements reduce.Event.
func (ConfigurationRead) EventName() string { return "topology.configuration_read" }

// TakenOutRead tells whether a data centre is taken out.
type TakenOutRead struct {
	DataCentre string
	Out        bool
}

// EventName implements reduce.Event.
func (TakenOutRead) EventName() string { return "topology.taken_out_read" }

// TakenOutListed brings all data centres that are taken out.
type TakenOutListed struct{ DataCentres []string }

// EventName implements reduce.Event.
func (TakenOutListed) EventName() string { return "topology.taken_out_listed" }

// ServerRead brings one row of the list of servers.
type ServerRead struct{ Server Server }

// EventName implements reduce.Event.
func (ServerRead) EventName() string { return "topology.server_read" }

// ServerGone tells that a server's row was removed or names no usable server.
type ServerGone struct{ ID string }

// EventName implements reduce.Event.
func (ServerGone) EventName() string { return "topology.server_gone" }

// ServersListed brings the whole list of servers.
type ServersListed struct{ Servers []Server }

// EventName implements reduce.Event.
func (ServersListed) EventName() string { return "topology.servers_listed" }

// StoreLost tells that the store stopped answering a watch.
type StoreLost struct{ Watch, Reason string }

// EventName implements reduce.Event.
func (StoreLost) EventName() string { return "topology.store_lost" }

// StoreRegained tells that the store answers a watch again.
type StoreRegained struct{ Watch string }

// EventName implements reduce.Event.
func (StoreRegained) EventName() string { return "topology.store_regained" }

// Change is an effect that reports a change of belief, for the log.
type Change struct {
	What    string // "configuration", "server", "data_centre" or "store".
	Subject string
	Outcome string
	Version int64
	Reason  string
}

// EffectName implements reduce.Effect.
func (Change) EffectName() string { return "topology.change" }

// New returns the state of a process that has read nothing.
func New() State {
	return State{Servers: map[string]ServerState{}, TakenOut: map[string]bool{}, LostWatches: map[string]bool{}}
}

// Step reduces one input.
func Step(s State, input reduce.Input) (State, []reduce.Effect) {
	switch event := input.Event.(type) {
	case reduce.Tick:
		return s.dropExpired(input.Now)
	case ConfigurationRead:
		return s.install(event.Config)
	case TakenOutRead:
		return s.setTakenOut(event.DataCentre, event.Out)
	case TakenOutListed:
		return s.replaceTakenOut(event.DataCentres)
	case ServerRead:
		return s.updateServer(event.Server, input.Now)
	case ServerGone:
		return s.removeServer(event.ID, input.Now)
	case ServersListed:
		return s.replaceServers(event.Servers, input.Now)
	case StoreLost:
		s.LostWatches = maps.Clone(s.LostWatches)
		s.LostWatches[event.Watch] = true
		return s, []reduce.Effect{Change{What: "store", Subject: event.Watch, Outcome: "lost", Reason: event.Reason}}
	case StoreRegained:
		s.LostWatches = maps.Clone(s.LostWatches)
		delete(s.LostWatches, event.Watch)
		s.StoreUpSince = input.Now
		return s, []reduce.Effect{Change{What: "store", Subject: event.Watch, Outcome: "regained"}}
	}
	return s, nil
}

func (s State) install(config *Configuration) (State, []reduce.Effect) {
	if config == nil {
		return s, []reduce.Effect{Change{What: "configuration", Outcome: "rejected", Reason: "row can't be decoded"}}
	}
	if s.Config != nil && config.Version <= s.Config.Version {
		if config.Version == s.Config.Version {
			return s, nil
		}
		return s, []reduce.Effect{Change{What: "configuration", Outcome: "rejected", Version: config.Version, Reason: "lower than the version in force"}}
	}
	s.Config = config
	return s, []reduce.Effect{Change{What: "configuration", Outcome: "installed", Version: config.Version}}
}

func (s State) setTakenOut(dataCentre string, out bool) (State, []reduce.Effect) {
	if s.TakenOut[dataCentre] == out {
		return s, nil
	}
	s.TakenOut = maps.Clone(s.TakenOut)
	s.revision++
	outcome := "returned"
	if out {
		s.TakenOut[dataCentre] = true
		outcome = "taken_out"
	} else {
		delete(s.TakenOut, dataCentre)
	}
	return s, []reduce.Effect{Change{What: "data_centre", Subject: dataCentre, Outcome: outcome}}
}

func (s State) replaceTakenOut(dataCentres []string) (State, []reduce.Effect) {
	listed := map[string]bool{}
	for _, name := range dataCentres {
		listed[name] = true
	}
	var effects, more []reduce.Effect
	for name := range s.TakenOut {
		if !listed[name] {
			s, more = s.setTakenOut(name, false)
			effects = append(effects, more...)
		}
	}
	for _, name := range dataCentres {
		s, more = s.setTakenOut(name, true)
		effects = append(effects, more...)
	}
	return s, effects
}

func (s State) updateServer(server Server, now time.Time) (State, []reduce.Effect) {
	before, known := s.Servers[server.ID]
	next := ServerState{Server: server, SeenAt: now}
	s.Servers = maps.Clone(s.Servers)
	s.Servers[server.ID] = next
	s.revision++
	before.Server.Revision, before.Server.WarmUpLeft = server.Revision, server.WarmUpLeft
	if known && before.DropAt.IsZero() && before.Server == server {
		return s, nil
	}
	outcome := "ready"
	if server.Leaving {
		outcome = "leaving"
	}
	return s, []reduce.Effect{Change{What: "server", Subject: server.ID, Outcome: outcome, Reason: server.Address}}
}

// removeServer sets the time when the server is dropped. A leaving one has announced
// it and is dropped at once.
func (s State) removeServer(id string, now time.Time) (State, []reduce.Effect) {
	server, known := s.Servers[id]
	if !known || !server.DropAt.IsZero() {
		return s, nil
	}
	s.Servers = maps.Clone(s.Servers)
	s.revision++
	if server.Server.Leaving {
		delete(s.Servers, id)
		return s, []reduce.Effect{Change{What: "server", Subject: id, Outcome: "gone", Reason: "row removed after its notice"}}
	}
	server.DropAt = now.Add(unlistedGrace)
	if graceEnd := s.StoreUpSince.Add(StoreReturnGrace); !s.StoreUpSince.IsZero() && graceEnd.After(server.DropAt) {
		server.DropAt = graceEnd
	}
	s.Servers[id] = server
	return s, []reduce.Effect{Change{What: "server", Subject: id, Outcome: "unlisted", Reason: "row removed without notice; kept as a last resort for " + server.DropAt.Sub(now).String()}}
}

func (s State) replaceServers(servers []Server, now time.Time) (State, []reduce.Effect) {
	s.ServersListed = true
	listed := map[string]bool{}
	var effects, more []reduce.Effect
	for _, server := range servers {
		listed[server.ID] = true
		s, more = s.updateServer(server, now)
		effects = append(effects, more...)
	}
	for id := range s.Servers {
		if !listed[id] {
			s, more = s.removeServer(id, now)
			effects = append(effects, more...)
		}
	}
	return s, effects
}

func (s State) dropExpired(now time.Time) (State, []reduce.Effect) {
	var effects []reduce.Effect
	for id, server := range s.Servers {
		if server.DropAt.IsZero() || now.Before(server.DropAt) {
			continue
		}
		if len(effects) == 0 {
			s.Servers = maps.Clone(s.Servers)
			s.revision++
		}
		delete(s.Servers, id)
		effects = append(effects, Change{What: "server", Subject: id, Outcome: "gone", Reason: "row still missing after the grace"})
	}
	return s, effects
}

// SameSnapshot reports whether both states have the same snapshot. States share their
// maps until one changes.
func (s State) SameSnapshot(other State) bool {
	return s.Config == other.Config && s.ServersListed == other.ServersListed &&
		s.revision == other.revision
}
