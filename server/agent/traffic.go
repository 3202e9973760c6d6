package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

const maxWorkBytes = 16 << 20

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGenerate, a.withAdmission(a.generate))
	mux.HandleFunc("POST "+wire.PathCall, a.withAdmission(a.call))
	return mux
}

func (a *Agent) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.Handle("GET /metrics", a.metrics.Handler())
	return mux
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.node.State().CheckNewWork(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// workHandler runs admitted work in its slot; it reports whether the backend
// server's answer was complete.
type workHandler func(ctx context.Context, w http.ResponseWriter, slot *slot, work wire.Work, body []byte) bool

// withAdmission reads the work, waits for its admission and passes it to next.
func (a *Agent) withAdmission(next workHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		work, err := wire.DecodeWork(r.Header)
		if err != nil {
			refuse(w, result.Errorf(result.BadRequest, "%v", err))
			return
		}
		a.node.ObserveStamp(work.Stamp)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWorkBytes))
		if err != nil {
			refuse(w, result.Errorf(result.BodyTooLarge, "read work %q: %v", work.RequestID, err))
			return
		}
		slot, refusal := a.admitter.admit(r.Context(), work, promptOf(body))
		if refusal != nil {
			refuse(w, refusal)
			return
		}
		completed := false
		defer func() { slot.release(completed) }()
		w.Header().Set(wire.HeaderRequestID, work.AnswerID())
		w.Header().Set(wire.HeaderRevision, strconv.FormatUint(a.node.State().View.Revision(), 10))
		completed = next(r.Context(), w, slot, work, body)
	}
}

// promptOf describes the prompt of a generation. It returns the zero value for a
// call of a plain service, which has no prompt.
func promptOf(body []byte) prefix.Prompt {
	var generation ports.Generation
	if err := json.Unmarshal(body, &generation); err != nil {
		return prefix.Prompt{}
	}
	return prefix.NewPrompt(generation.Prompt)
}

func refuse(w http.ResponseWriter, err *result.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderRefusal, strconv.Itoa(int(err.Code)))
	w.WriteHeader(result.Describe(err.Code).HTTPStatus)
	_ = json.NewEncoder(w).Encode(wire.NewRefusal(err))
}

func (a *Agent) call(ctx context.Context, w http.ResponseWriter, slot *slot, work wire.Work, body []byte) bool {
	if a.service == nil {
		refuse(w, result.Errorf(result.BadRequest, "work %q is a service call, but this backend server is not a plain service", work.RequestID))
		return false
	}
	if !work.Idempotent {
		return a.callKeyed(ctx, w, slot, work, body)
	}
	answer, err := a.service.Call(ctx, ports.ServiceCall{
		ID: work.RequestID, Service: work.Service, Operation: work.Operation, Body: body,
	})
	if err != nil {
		slot.fail(ctx, err)
		refuse(w, backendError(err))
		return false
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return true
}

// backendError converts an error from a call of the backend server to a result.
func backendError(err error) *result.Error {
	if errors.Is(err, ports.ErrUnavailable) {
		return result.Errorf(result.NoBackendServer, "%v", err)
	}
	return result.Errorf(result.OutcomeUnknown, "%v", err)
}
