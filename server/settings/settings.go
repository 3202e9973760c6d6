// Package settings loads and validates a process's settings. They come from a
// file of JSON with comments, environment variables and flags.
package settings

import (
	"time"

	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/keys"
)

// Process holds the settings that entries and agents have in common.
type Process struct {
	ID         string   `json:"id" doc:"Name of this process, unique in the system."`
	DataCentre string   `json:"data_centre" doc:"Data centre of this process, as in the configuration."`
	Control    string   `json:"control" doc:"host:port of the control RPC, for the system's own processes."`
	Store      string   `json:"store" doc:"Base URL of the platform's store."`
	Peers      []string `json:"peers" doc:"Control addresses of peers that a starting process asks when neither the store nor the instance list answers."`

	TLS keys.Files `json:"tls"`

	LeaveDelayMS int `json:"leave_delay_ms" doc:"Time in milliseconds for which a stopping process continues to answer, so that other processes can notice that it leaves."`
}

// LeaveDelay returns LeaveDelayMS as a duration.
func (p Process) LeaveDelay() time.Duration {
	return time.Duration(p.LeaveDelayMS) * time.Millisecond
}

// defaultLeaveDelayMS is the LeaveDelayMS of settings that don't set it.
const defaultLeaveDelayMS = 3000

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{Process: Process{LeaveDelayMS: defaultLeaveDelayMS}}
}

// DefaultAgent returns the default settings of an agent.
func DefaultAgent() Agent {
	return Agent{Process: Process{LeaveDelayMS: defaultLeaveDelayMS}}
}

// Entry holds the settings of an entry instance.
type Entry struct {
	Process
	Listen string `json:"listen" doc:"host:port for callers."`
	Admin  string `json:"admin" doc:"host:port for operators and metrics."`

	Operators []adminapi.Operator `json:"operators" doc:"Operators with the SHA-256 digests of their tokens and their roles."`
}

// Kinds of backend server.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Agent holds the settings of an agent.
type Agent struct {
	Process
	Traffic       string `json:"traffic" doc:"host:port for work from entries."`
	Health        string `json:"health" doc:"host:port for the platform's health checks and metrics."`
	BackendServer string `json:"backend_server" doc:"Name of the backend server in the configuration."`
	Kind          string `json:"kind" doc:"Kind of backend server: engine or service."`
	Backend       string `json:"backend" doc:"Base URL of the backend server."`
}
