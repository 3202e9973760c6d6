// Package adminapi declares the paths and messages of the administration API,
// version 1. docs/ADMIN_API.md documents them for other clients.
package adminapi

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/jsonfile"
	"persimmonwind.dev/policy/result"
)

// Paths of the API. A path that ends in a slash is followed by a name or ID.
const (
	PathConfiguration  = "/admin/v1/configuration"
	PathFiles          = PathConfiguration + "/files/"
	PathValidate       = PathConfiguration + "/validate"
	PathDiff           = PathConfiguration + "/diff"
	PathApply          = PathConfiguration + "/apply"
	PathRollback       = PathConfiguration + "/rollback"
	PathApplies        = PathConfiguration + "/applies/"
	PathAudit          = "/admin/v1/audit"
	PathVerify         = PathAudit + "/verify"
	PathStatus         = "/admin/v1/status"
	PathGroups         = "/admin/v1/groups/"
	PathDataCentres    = "/admin/v1/data-centres/"
	PathBackendServers = "/admin/v1/backend-servers/"

	// SuffixTakeOut and SuffixReturn follow the name of a data centre or backend
	// server.
	SuffixTakeOut = "/take-out"
	SuffixReturn  = "/return"
)

// HeaderApplyID carries the ID of a change whose request body is a file's text.
const HeaderApplyID = "Persimmonwind-Apply-Id"

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 2 * jsonfile.MaxBytes

// Role determines what an operator may do.
type Role string

// The roles. Each role includes the permissions of those before it.
const (
	RoleViewer        Role = "viewer"        // May read, validate and compare configurations.
	RoleOperator      Role = "operator"      // May also apply and roll back configurations, and take out and return data centres and backend servers.
	RoleAdministrator Role = "administrator" // May also take out the last data centre in service.
)

// Level orders the roles by their permissions. An unknown role has level 0 and
// no permissions.
func (r Role) Level() int {
	switch r {
	case RoleViewer:
		return 1
	case RoleOperator:
		return 2
	case RoleAdministrator:
		return 3
	}
	return 0
}

// Operator is a user of the administration API.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"` // SHA-256 of the operator's bearer token, in hex.
	Role        Role   `json:"role"`
}

// Configuration describes the accepted configuration.
type Configuration struct {
	Revision uint64                        `json:"revision"`
	Operator string                        `json:"operator"`
	At       time.Time                     `json:"at"`
	Files    map[string]config.FileVersion `json:"files"`
}

// Files contains the texts of files by name, encoded in base64 by encoding/json.
type Files struct {
	Files map[string][]byte `json:"files"`
}

// ApplyRequest requests a change of whole files. The If-Match header carries the
// revision that the change was made against.
type ApplyRequest struct {
	ID                  string            `json:"id"`
	Files               map[string][]byte `json:"files"`
	AllowLastDataCentre bool              `json:"allow_last_data_centre,omitempty"`
}

// RollbackRequest requests a new revision with the files of an earlier one.
type RollbackRequest struct {
	ID                  string `json:"id"`
	Revision            uint64 `json:"revision"`
	AllowLastDataCentre bool   `json:"allow_last_data_centre,omitempty"`
}

// TargetRequest requests to take out or return a data centre or backend server.
type TargetRequest struct {
	ID                  string `json:"id"`
	AllowLastDataCentre bool   `json:"allow_last_data_centre,omitempty"`
}

// AcceptedChange is the response to an accepted change.
type AcceptedChange struct {
	Revision  uint64          `json:"revision"`
	Unchanged bool            `json:"unchanged,omitempty"` // The files were already in force; no revision was created.
	Changes   []config.Change `json:"changes"`
	Reached   int             `json:"reached"`   // Number of other processes that received the change at once.
	Processes int             `json:"processes"` // Number of other processes to which the change was offered.
}

// Comparison is the response to a request to validate or to compare files.
type Comparison struct {
	Base    uint64          `json:"base"` // Revision that the files were compared with.
	Changes []config.Change `json:"changes"`
}

// Process describes the configuration in force in one process.
type Process struct {
	ID            string            `json:"id"`
	Role          string            `json:"role"`
	DataCentre    string            `json:"data_centre"`
	BackendServer string            `json:"backend_server,omitempty"`
	Leaving       bool              `json:"leaving,omitempty"`
	Answered      bool              `json:"answered"` // Whether the process answered the query; if not, only the fields above are known.
	Revision      uint64            `json:"revision"`
	Files         map[string]uint64 `json:"files,omitempty"` // Revision in which each file last changed.
	CurrentAgeMS  int64             `json:"current_age_ms"`  // Milliseconds since the latest time at which the revision was known to be the newest; -1 if there is none.
}

// Status describes the configuration in force in every process.
type Status struct {
	Revision  uint64            `json:"revision"`   // Accepted revision.
	FromStore bool              `json:"from_store"` // Whether Revision was read from the store; otherwise it is the newest of any process.
	Files     map[string]uint64 `json:"files"`
	Processes []Process         `json:"processes"`
}

// Verification is the response to a successful verification of the audit chain.
type Verification struct {
	Records uint64 `json:"records"` // Number of records in the chain, all of them intact.
}

// Error is the body of every response that reports a failure.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	Code     result.Code       `json:"code"`
	Name     string            `json:"name"`
	Message  string            `json:"message"`
	Problems jsonfile.Problems `json:"problems,omitempty"` // Problems found in invalid files.
}
