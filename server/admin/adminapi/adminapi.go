// Package adminapi declares the messages of the administration API, version 1.
// docs/ADMIN_API.md describes them for other clients.
package adminapi

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/jsonfile"
	"persimmonwind.dev/policy/result"
)

// Paths of the API. Those that end in a slash are followed by a name.
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

	// SuffixTakeOut and SuffixReturn follow the name of a data centre or
	// backend server.
	SuffixTakeOut = "/take-out"
	SuffixReturn  = "/return"
)

// HeaderApplyID carries the change's ID where the body is a file's text.
const HeaderApplyID = "Persimmonwind-Apply-Id"

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 2 * jsonfile.MaxBytes

// Role is what an operator may do.
type Role string

// The roles; each includes those before it.
const (
	RoleViewer        Role = "viewer"        // Reads, validates and compares.
	RoleOperator      Role = "operator"      // Applies, rolls back, takes out and returns.
	RoleAdministrator Role = "administrator" // Takes out the last data centre.
)

// Level orders the roles; an unknown role has rank 0 and may do nothing.
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

// Operator is one who may use the API.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"` // Hex digest of the token.
	Role        Role   `json:"role"`
}

// Configuration is the accepted configuration.
type Configuration struct {
	Revision uint64                        `json:"revision"`
	Operator string                        `json:"operator"`
	At       time.Time                     `json:"at"`
	Files    map[string]config.FileVersion `json:"files"`
}

// Files carries the texts of files, in base64 as encoding/json writes bytes.
type Files struct {
	Files map[string][]byte `json:"files"`
}

// ApplyRequest asks to accept files. The revision that they were made against
// is in the header If-Match.
type ApplyRequest struct {
	ID                  string            `json:"id"`
	Files               map[string][]byte `json:"files"`
	AllowLastDataCentre bool              `json:"allow_last_data_centre,omitempty"`
}

// RollbackRequest asks to accept the files of an earlier revision anew.
type RollbackRequest struct {
	ID                  string `json:"id"`
	Revision            uint64 `json:"revision"`
	AllowLastDataCentre bool   `json:"allow_last_data_centre,omitempty"`
}

// TargetRequest asks to take out or return one data centre or backend server.
type TargetRequest struct {
	ID                  string `json:"id"`
	AllowLastDataCentre bool   `json:"allow_last_data_centre,omitempty"`
}

// Accepted answers a change.
type Accepted struct {
	Revision  uint64          `json:"revision"`
	Unchanged bool            `json:"unchanged,omitempty"` // In force already; no revision was made.
	Changes   []config.Change `json:"changes"`
	Reached   int             `json:"reached"` // Other processes that took the change at once.
	Processes int             `json:"processes"`
}

// Comparison answers a validation or a comparison.
type Comparison struct {
	Base    uint64          `json:"base"` // Revision compared with.
	Changes []config.Change `json:"changes"`
}

// Process is one process's configuration in force.
type Process struct {
	ID            string            `json:"id"`
	Role          string            `json:"role"`
	DataCentre    string            `json:"data_centre"`
	BackendServer string            `json:"backend_server,omitempty"`
	Leaving       bool              `json:"leaving,omitempty"`
	Answered      bool              `json:"answered"`
	Revision      uint64            `json:"revision"`
	Files         map[string]uint64 `json:"files,omitempty"` // Revision that brought each file.
	CurrentAgeMS  int64             `json:"current_age_ms"`  // Since the revision was known to be the newest; -1 for never.
}

// Status is the configuration in force in every process.
type Status struct {
	Revision  uint64            `json:"revision"`   // Accepted.
	FromStore bool              `json:"from_store"` // Else the newest known to any process.
	Files     map[string]uint64 `json:"files"`
	Processes []Process         `json:"processes"`
}

// Verification answers a check of the audit chain.
type Verification struct {
	Records uint64 `json:"records"` // All of them whole.
}

// Error is the body of every answer that is not a success.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	Code     result.Code       `json:"code"`
	Name     string            `json:"name"`
	Message  string            `json:"message"`
	Problems jsonfile.Problems `json:"problems,omitempty"` // Of invalid files.
}
