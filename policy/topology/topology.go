// Package topology is the state machine that turns the rows of the platform's
// store into immutable snapshots of the deployment: the configuration in force,
// the backend servers and the data centres that are taken out.
//
// Invariants: the version in force never decreases; a snapshot never changes
// after it has been published.
package topology

import (
	"maps"
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	// lapsedRowGrace is how long a server is kept whose row disappeared in an outage of the
	// store, from the start of the last call that failed. The store came back later than
	// that, and at most 0.8 s later unless the outage was shorter than one long poll. So the
	// server is kept for the two seconds within which, as the platform promises, rows that
	// expired are back, and dropped within 3 s of the store's return, when this process
	// counts as up to date: a row still missing then was removed.
	lapsedRowGrace = 2800 * time.Millisecond
	// unlistedGrace is how long a server whose row disappeared without notice is
	// kept as a last resort: the row may have expired in an outage of the store that
	// this process did not notice. It is shorter than the shortest drain period of a
	// leaving server, 2 s.
	unlistedGrace = 1500 * time.Millisecond
	// restoreGrace is how long after the store has come back from an older copy a data
	// centre stays taken out that the copy lacks, until operators have written it again.
	restoreGrace = 5 * time.Second
	// serverRestoreGrace is restoreGrace for servers, which write their rows every
	// second.
	serverRestoreGrace = 3 * time.Second
	// goneMemory is how long a server that has gone is remembered, so that the row of
	// an older copy does not bring it back. Copies are some seconds old.
	goneMemory = 2 * time.Minute
)

// State is what a process knows about the deployment.
type State struct {
	Config   *Configuration
	ConfigAt time.Time // When Config came into force in this process.
	Servers  map[string]ServerState
	TakenOut map[string]bool // Data centres that are taken out.

	ServersLoaded bool            // The complete list of servers has been read at least once.
	LostWatches   map[string]bool // Names of the watches for which the store is unavailable.
	LapsedUntil   time.Time       // Until when rows that are missing after the last outage of the store may come back.

	gone            map[string]goneServer // Servers that have gone, by ID.
	takenOutInDoubt map[string]time.Time  // When taken-out data centres return that a restored copy lacks.
	revision        uint64                // Incremented with each change of Servers or TakenOut.
}

// ServerState is a server with the times at which its row in the store was read and at
// which the server is dropped after its row has disappeared.
type ServerState struct {
	Server Server
	SeenAt time.Time // When the row was read.
	DropAt time.Time // When the server is removed from the state; zero while its row exists.
	// Restoring means that only the older copy from which the store came back lacks the
	// row.
	Restoring bool
}

// goneServer is an incarnation of a server that has gone.
type goneServer struct {
	born int64
	at   time.Time
}

// ConfigurationRead carries a configuration from the store. Config is nil if it
// could not be decoded.
type ConfigurationRead struct{ Config *Configuration }

func (ConfigurationRead) EventName() string { return "topology.configuration_read" }

// DataCentreRead carries whether a data centre is taken out, as read from the store.
type DataCentreRead struct {
	DataCentre string
	TakenOut   bool
}

func (DataCentreRead) EventName() string { return "topology.taken_out_read" }

// TakenOutDataCentresListed carries the complete list of the data centres that are taken
// out.
type TakenOutDataCentresListed struct {
	DataCentres []string
	Restored    bool // The store came back from an older copy since the previous list.
}

func (TakenOutDataCentresListed) EventName() string { return "topology.taken_out_listed" }

// ServerRead carries one row of the list of servers.
type ServerRead struct{ Server Server }

func (ServerRead) EventName() string { return "topology.server_read" }

// ServerGone reports that a server's row was removed or describes no usable
// server.
type ServerGone struct {
	ID        string
	LostSince time.Time // When the latest failed call of the store began, if this was read in the answer after it.
}

func (ServerGone) EventName() string { return "topology.server_gone" }

// ServersListed carries the complete list of servers.
type ServersListed struct {
	Servers   []Server
	Restored  bool      // The store came back from an older copy since the previous list.
	LostSince time.Time // As in ServerGone.
}

func (ServersListed) EventName() string { return "topology.servers_listed" }

// StoreLost reports that the store has become unavailable to a watch.
type StoreLost struct{ Watch, Reason string }

func (StoreLost) EventName() string { return "topology.store_lost" }

// StoreRegained reports that the store is available to a watch again. It has come back
// after LostSince, when the latest failed call began.
type StoreRegained struct {
	Watch     string
	LostSince time.Time
}

func (StoreRegained) EventName() string { return "topology.store_regained" }

// Change is an effect that reports a change of the state, for the log.
type Change struct {
	What    string // What has changed: "configuration", "server", "data_centre" or "store".
	Subject string // Server, data centre or watch that has changed.
	Outcome string // Its new state, such as "installed", "leaving" or "taken_out".
	Version int64  // Version of the configuration.
	Reason  string
}

func (Change) EffectName() string { return "topology.change" }

// New returns the state of a process that has not read anything.
func New() State {
	return State{
		Servers: map[string]ServerState{}, TakenOut: map[string]bool{}, LostWatches: map[string]bool{},
		gone: map[string]goneServer{}, takenOutInDoubt: map[string]time.Time{},
	}
}

// Step applies one input to the state.
func Step(s State, input reduce.Input) (State, []reduce.Effect) {
	switch event := input.Event.(type) {
	case reduce.Tick:
		s, returned := s.returnInDoubt(input.Now)
		s, dropped := s.dropExpired(input.Now)
		return s, append(returned, dropped...)
	case ConfigurationRead:
		return s.install(event.Config, input.Now)
	case DataCentreRead:
		delete(s.takenOutInDoubt, event.DataCentre)
		return s.setTakenOut(event.DataCentre, event.TakenOut)
	case TakenOutDataCentresListed:
		return s.replaceTakenOut(event, input.Now)
	case ServerRead:
		return s.updateServer(event.Server, input.Now)
	case ServerGone:
		return s.removeServer(event.ID, event.LostSince, input.Now)
	case ServersListed:
		return s.replaceServers(event, input.Now)
	case StoreLost:
		s.LostWatches = maps.Clone(s.LostWatches)
		s.LostWatches[event.Watch] = true
		return s, []reduce.Effect{Change{What: "store", Subject: event.Watch, Outcome: "lost", Reason: event.Reason}}
	case StoreRegained:
		s.LostWatches = maps.Clone(s.LostWatches)
		delete(s.LostWatches, event.Watch)
		s.LapsedUntil = latest(s.LapsedUntil, event.LostSince.Add(lapsedRowGrace))
		return s, []reduce.Effect{Change{What: "store", Subject: event.Watch, Outcome: "regained"}}
	}
	return s, nil
}

// install puts the configuration in force unless its version is lower than the one in
// force.
func (s State) install(config *Configuration, now time.Time) (State, []reduce.Effect) {
	if config == nil {
		return s, []reduce.Effect{Change{What: "configuration", Outcome: "rejected", Reason: "row cannot be decoded"}}
	}
	if s.Config != nil && config.Version <= s.Config.Version {
		if config.Version == s.Config.Version {
			return s, nil
		}
		return s, []reduce.Effect{Change{What: "configuration", Outcome: "rejected", Version: config.Version, Reason: "version is lower than the one in force"}}
	}
	s.Config, s.ConfigAt = config, now
	return s, []reduce.Effect{Change{What: "configuration", Outcome: "installed", Version: config.Version}}
}

func (s State) setTakenOut(dataCentre string, takenOut bool) (State, []reduce.Effect) {
	if s.TakenOut[dataCentre] == takenOut {
		return s, nil
	}
	s.TakenOut = maps.Clone(s.TakenOut)
	s.revision++
	outcome := "returned"
	if takenOut {
		s.TakenOut[dataCentre] = true
		outcome = "taken_out"
	} else {
		delete(s.TakenOut, dataCentre)
	}
	return s, []reduce.Effect{Change{What: "data_centre", Subject: dataCentre, Outcome: outcome}}
}

// replaceTakenOut stores the complete list of data centres that are taken out. All
// others count as returned; if the list is of a restored copy, they do so only if they
// are not taken out again within restoreGrace.
func (s State) replaceTakenOut(list TakenOutDataCentresListed, now time.Time) (State, []reduce.Effect) {
	listed := map[string]bool{}
	for _, name := range list.DataCentres {
		listed[name] = true
	}
	var effects, more []reduce.Effect
	for name := range s.TakenOut {
		switch {
		case listed[name]:
		case list.Restored:
			s.takenOutInDoubt[name] = now.Add(restoreGrace)
			effects = append(effects, Change{What: "data_centre", Subject: name, Outcome: "in_doubt", Reason: "taken out, but missing in the older copy of the store"})
		case s.takenOutInDoubt[name].IsZero():
			s, more = s.setTakenOut(name, false)
			effects = append(effects, more...)
		}
	}
	for _, name := range list.DataCentres {
		delete(s.takenOutInDoubt, name)
		s, more = s.setTakenOut(name, true)
		effects = append(effects, more...)
	}
	return s, effects
}

// returnInDoubt returns the data centres whose doubt has ended.
func (s State) returnInDoubt(now time.Time) (State, []reduce.Effect) {
	var effects []reduce.Effect
	for name, until := range s.takenOutInDoubt {
		if now.Before(until) {
			continue
		}
		delete(s.takenOutInDoubt, name)
		var more []reduce.Effect
		s, more = s.setTakenOut(name, false)
		effects = append(effects, more...)
	}
	return s, effects
}

// updateServer stores the row of a server. It reports a change only if more than the
// row's revision and the remaining warm-up time differ.
func (s State) updateServer(server Server, now time.Time) (State, []reduce.Effect) {
	previous, exists := s.Servers[server.ID]
	next := ServerState{Server: server, SeenAt: now}
	s.Servers = maps.Clone(s.Servers)
	s.Servers[server.ID] = next
	s.revision++
	delete(s.gone, server.ID)
	previous.Server.Revision, previous.Server.WarmUpLeft = server.Revision, server.WarmUpLeft
	previous.Server.Era = server.Era
	if exists && previous.DropAt.IsZero() && previous.Server == server {
		return s, nil
	}
	outcome := "ready"
	if server.Leaving {
		outcome = "leaving"
	}
	return s, []reduce.Effect{Change{What: "server", Subject: server.ID, Outcome: outcome, Reason: server.Address}}
}

// removeServer sets the time at which the server is dropped. A leaving server has
// announced its removal and is dropped at once. lostSince is when the latest failed call of
// the store began, if the row was found missing in the answer after it.
func (s State) removeServer(id string, lostSince, now time.Time) (State, []reduce.Effect) {
	server, exists := s.Servers[id]
	if !exists || !server.DropAt.IsZero() && !server.Restoring {
		return s, nil
	}
	server.Restoring = false
	s.Servers = maps.Clone(s.Servers)
	s.revision++
	if server.Server.Leaving {
		delete(s.Servers, id)
		s.gone[id] = goneServer{born: server.Server.Born, at: now}
		return s, []reduce.Effect{Change{What: "server", Subject: id, Outcome: "gone", Reason: "row removed after the server was marked as leaving"}}
	}
	server.DropAt = s.dropAt(lostSince, now)
	s.Servers[id] = server
	return s, []reduce.Effect{Change{What: "server", Subject: id, Outcome: "unlisted", Reason: "row removed without notice; kept as a last resort for " + server.DropAt.Sub(now).String()}}
}

// dropAt returns when a server is dropped whose row is found missing now. If that is in the
// first answer after an outage, the row may have been removed long ago, so that the time
// counts from the outage.
func (s State) dropAt(lostSince, now time.Time) time.Time {
	if !lostSince.IsZero() {
		return latest(now, lostSince.Add(lapsedRowGrace))
	}
	return latest(now.Add(unlistedGrace), s.LapsedUntil)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replaceServers stores the complete list of servers and removes those that are not in
// it. What is known of a server prevails over the list of a restored copy: a server that
// the copy lacks is kept for serverRestoreGrace, and one that was leaving or gone gets no work
// unless its row is written again.
func (s State) replaceServers(list ServersListed, now time.Time) (State, []reduce.Effect) {
	s.ServersLoaded = true
	listed := map[string]bool{}
	var effects, more []reduce.Effect
	for _, server := range list.Servers {
		if list.Restored && server.Born < s.Servers[server.ID].Server.Born {
			continue // The copy lists an earlier incarnation.
		}
		listed[server.ID] = true
		if list.Restored && s.wasLeaving(server) {
			server.Leaving = true
		}
		s, more = s.updateServer(server, now)
		effects = append(effects, more...)
	}
	for id, server := range s.Servers {
		switch {
		case listed[id]:
		case list.Restored:
			s, more = s.awaitRow(id, now)
			effects = append(effects, more...)
		case !server.Restoring:
			s, more = s.removeServer(id, list.LostSince, now)
			effects = append(effects, more...)
		}
	}
	return s, effects
}

// wasLeaving reports whether this incarnation of the server is known to be leaving or to
// have gone.
func (s State) wasLeaving(server Server) bool {
	if known, exists := s.Servers[server.ID]; exists && known.Server.Born == server.Born {
		return known.Server.Leaving
	}
	gone, wasGone := s.gone[server.ID]
	return wasGone && gone.born == server.Born
}

// awaitRow keeps a server whose row the restored copy of the store lacks, until the
// server has written it again.
func (s State) awaitRow(id string, now time.Time) (State, []reduce.Effect) {
	server := s.Servers[id]
	if !server.DropAt.IsZero() {
		return s, nil
	}
	s.Servers = maps.Clone(s.Servers)
	s.revision++
	server.DropAt, server.Restoring = now.Add(serverRestoreGrace), true
	s.Servers[id] = server
	return s, []reduce.Effect{Change{What: "server", Subject: id, Outcome: "in_doubt", Reason: "row missing in the older copy of the store; kept for " + serverRestoreGrace.String()}}
}

// dropExpired removes the servers whose grace period has ended.
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
		s.gone[id] = goneServer{born: server.Server.Born, at: now}
		effects = append(effects, Change{What: "server", Subject: id, Outcome: "gone", Reason: "row still missing after the grace period"})
	}
	for id, server := range s.gone {
		if now.Sub(server.at) > goneMemory {
			delete(s.gone, id)
		}
	}
	return s, effects
}

// SameSnapshot reports whether both states have the same snapshot. It compares the
// revisions of the states instead of the Go maps, which states share until one of them
// changes.
func (s State) SameSnapshot(other State) bool {
	return s.Config == other.Config && s.ServersLoaded == other.ServersLoaded &&
		s.revision == other.revision
}
