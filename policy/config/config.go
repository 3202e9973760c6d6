// Package config parses, validates and compares the declarative configuration.
// An immutable snapshot holds the data centres, the backend servers, the
// organisations, and the work that can be requested: models and plain services with
// the idempotency of their operations.
package config

import "time"

// Names of the configuration files.
const (
	FileDataCentres    = "data_centres"
	FileBackendServers = "backend_servers"
	FileOrganisations  = "organisations"
	FileWork           = "work"
)

// FileNames lists the configuration files so that each file refers only to files
// before it.
var FileNames = []string{FileDataCentres, FileWork, FileBackendServers, FileOrganisations}

// Snapshot is the whole configuration at one revision. It is immutable and may be
// shared between goroutines.
type Snapshot struct {
	Revision       uint64
	Versions       map[string]FileVersion // Version of each file, by file name.
	Files          Files                  // Source text of each file.
	DataCentres    map[string]DataCentre
	BackendServers map[string]BackendServer
	Organisations  map[string]Organisation
	Models         map[string]Model
	Services       map[string]Service

	organisationByKey map[string]string // Organisation names by hex SHA-256 of the key.
}

// FileVersion identifies one accepted version of a configuration file.
type FileVersion struct {
	Revision uint64 `json:"revision"` // Revision that introduced this text.
	Digest   string `json:"digest"`   // Hex SHA-256 of the text.
}

// DataCentre is one zone of backend servers.
type DataCentre struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	TakenOut bool   `json:"taken_out"` // Receives no new work.
}

// BackendServer is a model engine or a plain service, with an agent alongside.
// Exactly one of Model and Service is set.
type BackendServer struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Model      string `json:"model"`
	Service    string `json:"service"`
	Group      string `json:"group"`      // Expert-parallel group, empty for none.
	Rank       int    `json:"rank"`       // Rank within Group.
	FullLimit  int    `json:"full_limit"` // Maximum concurrent requests when warm.
	ColdLimit  int    `json:"cold_limit"` // Maximum concurrent requests during cold start.
	TakenOut   bool   `json:"taken_out"`  // Receives no new work.
}

// Organisation is one customer.
type Organisation struct {
	Name              string   `json:"name"`
	KeySHA256         []string `json:"key_sha256"`          // Hex SHA-256 digests of the accepted keys.
	Weight            float64  `json:"weight"`              // Weight in fair queueing.
	RequestsPerSecond float64  `json:"requests_per_second"` // Rate limit; 0 for none.
	Concurrency       int      `json:"concurrency"`         // Maximum requests in flight; 0 for no limit.
	Priority          int      `json:"priority"`            // 0 is the highest.
}

// Model is one model that backend servers serve.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Service is one plain service: a backend that is not a model engine.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is one operation of a plain service.
type Operation struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
	TimeoutMS  int    `json:"timeout_ms"`
}

// Timeout returns the maximum duration of the operation.
func (o Operation) Timeout() time.Duration {
	return time.Duration(o.TimeoutMS) * time.Millisecond
}

// Operation returns the operation with the name, and whether the service has it.
func (s Service) Operation(name string) (Operation, bool) {
	for _, operation := range s.Operations {
		if operation.Name == name {
			return operation, true
		}
	}
	return Operation{}, false
}

// OrganisationByKeyHash returns the organisation that owns the key with this
// hex SHA-256 digest.
func (s *Snapshot) OrganisationByKeyHash(hash string) (Organisation, bool) {
	name, ok := s.organisationByKey[hash]
	if !ok {
		return Organisation{}, false
	}
	return s.Organisations[name], true
}

// AllTakenOut reports whether every data centre is taken out of service.
func (s *Snapshot) AllTakenOut() bool {
	for _, dataCentre := range s.DataCentres {
		if !dataCentre.TakenOut {
			return false
		}
	}
	return true
}

// TakenOut reports whether the backend server, or its data centre, is taken
// out of service.
func (s *Snapshot) TakenOut(server BackendServer) bool {
	return server.TakenOut || s.DataCentres[server.DataCentre].TakenOut
}
