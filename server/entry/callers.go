package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin"
	"persimmonwind.dev/server/entry/attempt"
	"persimmonwind.dev/server/entry/openai"
)

func (e *Entry) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.authenticated(e.serveChat))
	mux.HandleFunc("POST /v1/completions", e.authenticated(e.serveCompletion))
	mux.HandleFunc("GET /v1/models", e.authenticated(e.serveModels))
	mux.HandleFunc("POST /v1/services/{service}/{operation}", e.instrumented(markUnsettled(func(w http.ResponseWriter, r *http.Request) *result.Error {
		return e.serveOrg(w, r, e.serveService)
	})))
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.metrics.Handler())
	mux.HandleFunc("/", e.instrumented(serveUnknownPath))
	return mux
}

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.metrics.Handler())
	mux.Handle("/admin/", admin.New(e.node, e.settings.Operators).Handler())
	return mux
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := e.node.State()
	if state.Leaving || state.View.InForce == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// orgHandler serves one request of an authenticated organisation.
type orgHandler func(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation) *result.Error

// authenticated runs next for the organisation that the caller's key identifies.
// If next returns an error before the response has started, the error is written as the
// response.
func (e *Entry) authenticated(next orgHandler) http.HandlerFunc {
	return e.instrumented(func(w http.ResponseWriter, r *http.Request) *result.Error {
		return e.serveOrg(w, r, next)
	})
}

// serveOrg authenticates the caller, enforces the organisation's limits on POST
// requests and runs next.
func (e *Entry) serveOrg(w http.ResponseWriter, r *http.Request, next orgHandler) *result.Error {
	snapshot := e.node.State().View.InForce
	if snapshot == nil {
		return &result.Error{Code: result.NotReady, RetryAfter: time.Second}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return result.Errorf(result.Unauthorized, "send the organisation's key as \"Authorization: Bearer KEY\"")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok := snapshot.OrganisationByKeyHash(hex.EncodeToString(sum[:]))
	if !ok {
		return &result.Error{Code: result.Unauthorized}
	}
	if r.Method != http.MethodPost {
		return next(w, r, snapshot, org)
	}
	release, refusal := e.limiter.Admit(r.Context(), org)
	if refusal != nil {
		return refusal
	}
	defer release()
	return next(w, r, snapshot, org)
}

// writeError writes the error as a JSON response. The response must not have
// started.
func writeError(w http.ResponseWriter, err *result.Error) {
	w.Header().Set("Content-Type", "application/json")
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	w.WriteHeader(result.Describe(err.Code).HTTPStatus)
	_ = json.NewEncoder(w).Encode(openai.ErrorOf(err))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// newRequest returns a request with the fields that generations and service
// calls have in common.
func newRequest(r *http.Request, org config.Organisation) (attempt.Request, *result.Error) {
	limit, err := requestTimeout(r)
	return attempt.Request{
		ID: uuid.NewString(), Org: org.Name, Priority: org.Priority,
		Deadline: time.Now().Add(limit), Key: r.Header.Get(idempotencyKeyHeader),
	}, err
}

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, snapshot *config.Snapshot, _ config.Organisation) *result.Error {
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for name := range snapshot.Models {
		list.Data = append(list.Data, openai.Model{ID: name, Object: "model", OwnedBy: "persimmonwind"})
	}
	writeJSON(w, list)
	return nil
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation) *result.Error {
	service, ok := snapshot.Services[r.PathValue("service")]
	if !ok {
		return result.Errorf(result.UnknownModel, "plain service %q does not exist", r.PathValue("service"))
	}
	operation, ok := service.Operation(r.PathValue("operation"))
	if !ok {
		return result.Errorf(result.UnknownOperation, "service %q has no operation %q", service.Name, r.PathValue("operation"))
	}
	if operation.Idempotent {
		r.Header.Del(idempotencyKeyHeader)
	}
	body, refusal := readBody(w, r)
	if refusal != nil {
		return refusal
	}
	request, refusal := newRequest(r, org)
	if refusal != nil {
		return refusal
	}
	if latest := time.Now().Add(operation.Timeout()); latest.Before(request.Deadline) {
		request.Deadline = latest
	}
	request.Service, request.Operation = service.Name, operation.Name
	request.Idempotent = operation.Idempotent
	request.Body = body
	if !request.Idempotent {
		ensureIdempotencyKey(w, &request)
	}
	setWriteDeadline(w, request.Deadline)
	answer, refusal := e.runner.Call(r.Context(), request)
	if refusal != nil {
		return refusal
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}
