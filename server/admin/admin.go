// Package admin serves the administration API of an entry. Operators use it to
// read, compare, apply and roll back the configuration, to take out and return
// data centres and backend servers, and to read the audit trail.
//
// All state is kept in the platform, so operators may use several entries at the
// same time.
package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/jsonfile"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/node"
)

// applyTimeout bounds the submission of a change. When it expires during the
// commit, the outcome is reported as unknown.
const applyTimeout = 15 * time.Second

// API serves the administration API.
type API struct {
	node      *node.Node
	operators map[string]adminapi.Operator // Operators by the SHA-256 of their tokens, in lower-case hex.
}

// New returns an API for the operators that works through the node.
func New(n *node.Node, operators []adminapi.Operator) *API {
	api := &API{node: n, operators: map[string]adminapi.Operator{}}
	for _, operator := range operators {
		api.operators[strings.ToLower(operator.TokenSHA256)] = operator
	}
	return api
}

// handler serves a request of an authenticated operator.
type handler func(w http.ResponseWriter, r *http.Request, operator adminapi.Operator) error

// Handler returns the HTTP handler for all paths of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	route := func(method, path string, role adminapi.Role, next handler) {
		mux.HandleFunc(method+" "+path, a.requireRole(role, next))
	}
	route("GET", adminapi.PathConfiguration, adminapi.RoleViewer, a.serveConfiguration)
	route("GET", adminapi.PathFiles+"{file}", adminapi.RoleViewer, a.serveFile)
	route("PUT", adminapi.PathFiles+"{file}", adminapi.RoleOperator, a.servePutFile)
	route("POST", adminapi.PathValidate, adminapi.RoleViewer, a.serveCompare)
	route("POST", adminapi.PathDiff, adminapi.RoleViewer, a.serveCompare)
	route("POST", adminapi.PathApply, adminapi.RoleOperator, a.serveApply)
	route("POST", adminapi.PathRollback, adminapi.RoleOperator, a.serveRollback)
	route("GET", adminapi.PathApplies+"{id}", adminapi.RoleViewer, a.serveOutcome)
	route("GET", adminapi.PathAudit, adminapi.RoleViewer, a.serveAudit)
	route("GET", adminapi.PathVerify, adminapi.RoleViewer, a.serveVerify)
	route("GET", adminapi.PathStatus, adminapi.RoleViewer, a.serveStatus)
	route("GET", adminapi.PathGroups+"{group}", adminapi.RoleViewer, a.serveDecision)
	for _, kind := range targetKinds {
		route("POST", kind.path+"{name}"+adminapi.SuffixTakeOut, adminapi.RoleOperator, a.serveTarget(kind, true))
		route("POST", kind.path+"{name}"+adminapi.SuffixReturn, adminapi.RoleOperator, a.serveTarget(kind, false))
	}
	mux.HandleFunc("/admin/", func(w http.ResponseWriter, r *http.Request) {
		a.writeError(w, result.Errorf(result.UnknownPath, "%s %s is not part of the administration API", r.Method, r.URL.Path))
	})
	return mux
}

// requireRole returns a handler that authenticates the operator and calls next
// if the operator has the role or a higher one.
func (a *API) requireRole(role adminapi.Role, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, err := a.authenticate(r)
		if err == nil && operator.Role.Level() < role.Level() {
			err = forbiddenError(operator, role)
		}
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes)
			err = next(w, r, operator)
		}
		if err != nil {
			a.logError(r, operator, err)
			a.writeError(w, err)
		}
	}
}

// authenticate returns the operator whose bearer token the request carries.
func (a *API) authenticate(r *http.Request) (adminapi.Operator, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return adminapi.Operator{}, result.Errorf(result.UnknownOperator, "send the operator token as \"Authorization: Bearer TOKEN\"")
	}
	sum := sha256.Sum256([]byte(token))
	operator, ok := a.operators[hex.EncodeToString(sum[:])]
	if !ok {
		return adminapi.Operator{}, result.Errorf(result.UnknownOperator, "no operator has this token")
	}
	return operator, nil
}

func forbiddenError(operator adminapi.Operator, role adminapi.Role) error {
	return result.Errorf(result.OperatorForbidden, "operator %q has the role %q; the request needs the role %q", operator.Name, operator.Role, role)
}

func (a *API) logError(r *http.Request, operator adminapi.Operator, err error) {
	event := logevent.OrderRefused
	if result.From(err).Code == result.ApplyUnknown {
		event = logevent.OrderOutcomeUnknown
	}
	logevent.Write(a.node.Log(), event, logrus.Fields{
		"operator": operator.Name, "request": r.Method + " " + r.URL.Path, "error": err.Error(),
	})
}

// writeError writes the error as the response. jsonfile.Problems get the code
// InvalidFile.
func (a *API) writeError(w http.ResponseWriter, err error) {
	detail := adminapi.ErrorDetail{Message: err.Error()}
	var retryAfter time.Duration
	if errors.As(err, &detail.Problems) {
		detail.Code = result.InvalidFile
	} else {
		codedErr := result.From(err)
		detail.Code, retryAfter = codedErr.Code, codedErr.RetryAfter
		if codedErr.Detail != "" {
			detail.Message = codedErr.Detail
		}
	}
	info := result.Describe(detail.Code)
	detail.Name = info.Name
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(info.HTTPStatus)
	_ = json.NewEncoder(w).Encode(adminapi.Error{Error: detail})
}

func writeJSON(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// setRevision sets the ETag header of the response to the configuration revision.
func setRevision(w http.ResponseWriter, revision uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
}

// requiredRevision returns the revision in the If-Match header.
func requiredRevision(r *http.Request) (uint64, error) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, result.Errorf(result.RevisionRequired, "send the revision that the change was made against as If-Match: \"REVISION\"")
	}
	text, err := strconv.Unquote(tag)
	if err == nil {
		var revision uint64
		if revision, err = strconv.ParseUint(text, 10, 64); err == nil {
			return revision, nil
		}
	}
	return 0, result.Errorf(result.MalformedOrder, "If-Match is %s; write the revision in double quotes, as in If-Match: \"7\"", tag)
}

// readJSON decodes the body into target. An empty body leaves target unchanged.
func readJSON(r *http.Request, target any) error {
	body, err := readBody(r)
	if err != nil || len(body) == 0 {
		return err
	}
	if err := jsonfile.Decode("request body", body, target); err != nil {
		return result.Errorf(result.MalformedOrder, "%v", err)
	}
	return nil
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.FileTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.Errorf(result.MalformedOrder, "read the body: %v", err)
	}
	return body, nil
}
