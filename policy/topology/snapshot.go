package topology

import (
	"sort"
	"strings"
	"time"
)

// Snapshot is an immutable view of a State, read by the goroutines that serve
// traffic.
type Snapshot struct {
	Config   *Configuration // Configuration in force; nil until the first one has been read.
	ConfigAt time.Time      // When Config came into force in this process.
	Ready    bool           // The configuration and the list of servers have been read.

	routesByHost       map[string][]*Route // By lower-case host, the route with the longest prefix first.
	organisationsByKey map[string]*Organisation
	candidates         map[string][]Candidate // By service, the servers that may receive new work, ordered by ID.
	listedServers      map[string][]Server    // By service, all listed servers, ordered by ID.
}

// Candidate is a backend server that may receive new work.
type Candidate struct {
	Server
	Unlisted bool // The server's row disappeared without notice; the server is used only as a last resort.
}

// Snapshot returns the snapshot of the state. It reuses the indexes of routes and keys
// of the previous snapshot, which may be nil, if the configuration is the same.
func (s State) Snapshot(previous *Snapshot) *Snapshot {
	snapshot := &Snapshot{
		Config:     s.Config,
		ConfigAt:   s.ConfigAt,
		Ready:      s.Config != nil && s.ServersLoaded,
		candidates: map[string][]Candidate{}, listedServers: map[string][]Server{},
	}
	if previous != nil && previous.Config == s.Config {
		snapshot.routesByHost, snapshot.organisationsByKey = previous.routesByHost, previous.organisationsByKey
	} else if s.Config != nil {
		snapshot.index()
	}
	for _, server := range s.latestAtAddress() {
		service := server.Server.Service
		snapshot.listedServers[service] = append(snapshot.listedServers[service], server.Server)
		if server.Server.Leaving || s.TakenOut[server.Server.DataCentre] {
			continue
		}
		snapshot.candidates[service] = append(snapshot.candidates[service], Candidate{
			Server: server.Server, Unlisted: !server.DropAt.IsZero() && !server.Restoring,
		})
	}
	for _, list := range snapshot.candidates {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for _, list := range snapshot.listedServers {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return snapshot
}

// latestAtAddress returns the servers without those whose address now belongs to
// another server: the rows of such servers just have not expired yet.
func (s State) latestAtAddress() map[string]ServerState {
	latest := map[string]string{}
	for id, server := range s.Servers {
		other, taken := latest[server.Server.Address]
		if !taken || s.Servers[other].Server.writtenBefore(server.Server) {
			latest[server.Server.Address] = id
		}
	}
	servers := make(map[string]ServerState, len(latest))
	for _, id := range latest {
		servers[id] = s.Servers[id]
	}
	return servers
}

// writtenBefore reports whether the server's row was written before the other one's.
// Revisions of different eras don't compare: the store gives them out again.
func (s Server) writtenBefore(other Server) bool {
	if s.Era != other.Era {
		return s.Era < other.Era
	}
	return s.Revision < other.Revision
}

// index builds the indexes of routes by host and of organisations by key.
func (s *Snapshot) index() {
	s.routesByHost = map[string][]*Route{}
	s.organisationsByKey = map[string]*Organisation{}
	for i := range s.Config.Routes {
		route := &s.Config.Routes[i]
		host := strings.ToLower(route.Host)
		s.routesByHost[host] = append(s.routesByHost[host], route)
	}
	for _, routes := range s.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range s.Config.Organisations {
		organisation := &s.Config.Organisations[i]
		for _, key := range organisation.Keys {
			if key != "" && organisation.Name != "" {
				s.organisationsByKey[key] = organisation
			}
		}
	}
}

// Route returns the route of the host with the longest prefix that matches the
// path, or nil.
func (s *Snapshot) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := s.routesByHost[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon > 0 {
			routes = s.routesByHost[host[:colon]]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RequiresKeys reports whether callers of routes that are not public need keys.
func (s *Snapshot) RequiresKeys() bool { return !s.Config.AnonymousCallers }

// Organisation returns the organisation that the key belongs to, or nil.
func (s *Snapshot) Organisation(key string) *Organisation { return s.organisationsByKey[key] }

// Service returns the service with the name, or the zero value if none is configured.
func (s *Snapshot) Service(name string) Service { return s.Config.Services[name] }

// Candidates returns the backend servers of the service that may receive new work. The
// caller must not change the slice.
func (s *Snapshot) Candidates(service string) []Candidate { return s.candidates[service] }

// ListedServers returns all servers of the service, including those that receive no new
// work. The caller must not change the slice.
func (s *Snapshot) ListedServers(service string) []Server { return s.listedServers[service] }

// PickService returns the service of one of the route's targets, which a random number
// in [0, 1) selects in proportion to the weights; "" if no target has a weight.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	remaining := random * float64(total)
	picked := ""
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		picked = target.Service
		if remaining -= float64(target.Weight); remaining < 0 {
			break
		}
	}
	return picked
}
