// Package result defines the numeric result codes that every refusal and failure
// carries, from an agent through an entry instance to the caller.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Code is a numeric result code. The numbers are stable: callers may store them.
type Code int

// Result codes. Codes 1xxx are errors of the caller, 2xxx are refusals before the
// work was started, 3xxx are failures after it may have been started, and 4xxx
// concern operators' requests.
const (
	OK Code = 0

	BadRequest         Code = 1001
	Unauthorized       Code = 1002
	UnknownModel       Code = 1003
	UnknownOperation   Code = 1004
	BodyTooLarge       Code = 1005
	KeyReused          Code = 1006
	HeadersTooLarge    Code = 1007
	Forbidden          Code = 1008
	UnknownPath        Code = 1009
	RequestTooSlow     Code = 1010
	RateLimited        Code = 2001
	Overloaded         Code = 2002
	ColdStart          Code = 2003
	DataCentreOut      Code = 2004
	Leaving            Code = 2005
	StaleConfiguration Code = 2006
	NoBackendServer    Code = 2007
	StoreUnavailable   Code = 2008
	DeadlineTooShort   Code = 2009
	NotReady           Code = 2010
	KeyStateUnknown    Code = 2011
	ConcurrencyLimited Code = 2012
	Cancelled          Code = 2013
	CrashingRequest    Code = 2014
	OutcomeUnknown     Code = 3001
	CutAnswer          Code = 3002
	BackendFailed      Code = 3003
	DeadlineExceeded   Code = 3004
	Internal           Code = 3005
	Superseded         Code = 3010
	InvalidFile        Code = 4001
	RevisionConflict   Code = 4002
	ApplyUnknown       Code = 4003
	UnknownFile        Code = 4004
	UnknownRevision    Code = 4005
	NotInForce         Code = 4006
	GroupWaiting       Code = 4020
	UnknownGroup       Code = 4021
	UnknownOperator    Code = 4007
	OperatorForbidden  Code = 4008
	RevisionRequired   Code = 4009
	LastDataCentre     Code = 4010
	ChangeFromTakenOut Code = 4011
	UnknownApply       Code = 4012
	UnknownTarget      Code = 4013
	AuditBroken        Code = 4014
	FileTooLarge       Code = 4015
	MalformedOrder     Code = 4016
)

// Info describes one result code for documentation and for callers.
type Info struct {
	Name       string
	HTTPStatus int
	NotRun     bool   // The work did not run, and this attempt will not run it.
	Retryable  bool   // A later retry can succeed.
	Meaning    string // One sentence for the documentation and for callers.
}

var infos = map[Code]Info{
	OK:                 {"ok", 200, false, false, "The request was answered."},
	BadRequest:         {"bad_request", 400, true, false, "The request is not well formed."},
	Unauthorized:       {"unauthorized", 401, true, false, "The organisation key is missing or unknown."},
	UnknownModel:       {"unknown_model", 404, true, false, "No such model or plain service is configured."},
	UnknownOperation:   {"unknown_operation", 404, true, false, "The plain service has no such operation."},
	BodyTooLarge:       {"body_too_large", 413, true, false, "The request body exceeds the configured size."},
	KeyReused:          {"key_reused", 409, false, false, "The idempotency key was used before with another body."},
	HeadersTooLarge:    {"headers_too_large", 431, true, false, "The request headers exceed the configured size."},
	Forbidden:          {"forbidden", 403, true, false, "The key is known but may not do this."},
	UnknownPath:        {"unknown_path", 404, true, false, "The path is not part of the interface."},
	RequestTooSlow:     {"request_too_slow", 408, true, true, "The request body did not arrive in time."},
	RateLimited:        {"rate_limited", 429, true, true, "The organisation is over its request rate."},
	Overloaded:         {"overloaded", 503, true, true, "No backend server has room for the request."},
	ColdStart:          {"cold_start", 503, true, true, "The backend server is in cold start and at its limit for cold start."},
	DataCentreOut:      {"data_centre_out", 503, true, true, "The data centre is taken out of service."},
	Leaving:            {"leaving", 503, true, true, "The process or its backend server is leaving."},
	StaleConfiguration: {"stale_configuration", 503, true, true, "The agent has no recent evidence that its configuration is current."},
	NoBackendServer:    {"no_backend_server", 503, true, true, "No backend server for this work is reachable."},
	StoreUnavailable:   {"store_unavailable", 503, true, true, "The table service is unreachable and the work needs it."},
	DeadlineTooShort:   {"deadline_too_short", 503, true, true, "The expected wait exceeds the caller's deadline."},
	NotReady:           {"not_ready", 503, true, true, "The process does not know the current configuration yet."},
	KeyStateUnknown:    {"key_state_unknown", 503, false, true, "This attempt was not run; the state of the key is unknown. Repeat with the same key."},
	ConcurrencyLimited: {"concurrency_limited", 429, true, true, "The organisation has too many requests in flight."},
	Cancelled:          {"cancelled", 409, true, true, "The request was cancelled before it started."},
	CrashingRequest:    {"crashing_request", 503, true, true, "Backend servers have ended while they began to answer this request, or prompts that share a part with its prompt."},
	OutcomeUnknown:     {"outcome_unknown", 504, false, true, "The work may have run. Repeat with the same key to learn the outcome."},
	CutAnswer:          {"cut_answer", 502, false, true, "The answer was truncated."},
	BackendFailed:      {"backend_failed", 502, false, true, "The backend server failed while it worked on the request."},
	DeadlineExceeded:   {"deadline_exceeded", 504, false, true, "The deadline passed before the answer was complete."},
	Internal:           {"internal", 500, false, true, "A fault of the load balancer itself."},
	Superseded:         {"superseded", 409, false, true, "The idempotency key's row does not allow this attempt; another attempt has superseded it. Agents return this code to entries."},
	InvalidFile:        {"invalid_file", 422, true, false, "The configuration file is invalid; nothing was changed."},
	RevisionConflict:   {"revision_conflict", 409, true, false, "Another change was accepted first; nothing was changed."},
	ApplyUnknown:       {"apply_unknown", 504, false, true, "The outcome of the apply could not be read back yet."},
	UnknownFile:        {"unknown_file", 404, true, false, "No configuration file has this name."},
	UnknownRevision:    {"unknown_revision", 404, true, false, "No such revision is stored."},
	NotInForce:         {"not_in_force", 504, false, true, "The change is accepted but not yet in force everywhere."},
	GroupWaiting:       {"group_waiting", 503, true, true, "The group of the backend server waits for its expert map."},
	UnknownGroup:       {"unknown_group", 404, true, false, "No decision about a group of this name is stored."},
	UnknownOperator:    {"unknown_operator", 401, true, false, "The operator token is missing or unknown."},
	OperatorForbidden:  {"operator_forbidden", 403, true, false, "The operator's role does not permit this."},
	RevisionRequired:   {"revision_required", 428, true, false, "The change does not say which revision it was made against."},
	LastDataCentre:     {"last_data_centre", 422, true, false, "The change would take out the last data centre and does not confirm that this is intended."},
	ChangeFromTakenOut: {"change_from_taken_out", 409, true, false, "The entry's data centre is taken out, so it may take out nothing more."},
	UnknownApply:       {"unknown_apply", 404, true, false, "No change with this ID was accepted."},
	UnknownTarget:      {"unknown_target", 404, true, false, "No data centre or backend server has this name."},
	AuditBroken:        {"audit_broken", 500, false, false, "The chain of audit records was altered."},
	FileTooLarge:       {"file_too_large", 413, true, false, "The configuration files exceed the accepted size; nothing was changed."},
	MalformedOrder:     {"malformed_order", 400, true, false, "The operator's request is not well formed; nothing was changed."},
}

// Describe returns the Info of the code, or the Info of Internal if the code is not
// defined.
func Describe(code Code) Info {
	info, ok := infos[code]
	if !ok {
		return infos[Internal]
	}
	return info
}

// Codes returns every defined code in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(infos))
	for code := range infos {
		codes = append(codes, code)
	}
	return codes
}

// String returns the code's name.
func (c Code) String() string { return Describe(c).Name }

// Error is a failure with its result code, in the form that processes send to each
// other.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // Zero if a retry cannot help or no time is known.

	// Unsettled reports that other attempts with the request's idempotency key may
	// be in flight, so that the code's guarantee "not run" does not hold.
	Unsettled bool
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", int(e.Code), e.Code)
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
}

// NotRun reports whether the error guarantees that the work did not run.
func (e *Error) NotRun() bool { return !e.Unsettled && Describe(e.Code).NotRun }

// Errorf returns an Error with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// From returns the Error that err wraps, or an Internal one with err's text.
func From(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return Errorf(Internal, "%v", err)
}
