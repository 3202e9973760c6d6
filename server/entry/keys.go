package entry

import (
	"net/http"

	"github.com/google/uuid"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/attempt"
)

// idempotencyKeyHeader carries the key that identifies a caller's request
// across retries.
const idempotencyKeyHeader = "Idempotency-Key"

// ensureIdempotencyKey generates an idempotency key if the caller sent none,
// and returns the key in the response header so that the caller can retry the
// same work.
func ensureIdempotencyKey(w http.ResponseWriter, request *attempt.Request) {
	if request.Key == "" {
		request.Key, request.KeyGenerated = uuid.NewString(), true
	}
	w.Header().Set(idempotencyKeyHeader, request.Key)
}

// markUnsettled withdraws the "not run" guarantee from an error that was
// returned before the caller's idempotency key was looked up: an earlier attempt
// with that key may still be running.
func markUnsettled(next handlerFunc) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request) *result.Error {
		err := next(w, r)
		if err != nil && r.Header.Get(idempotencyKeyHeader) != "" && w.Header().Get(idempotencyKeyHeader) == "" {
			err.Unsettled = true
		}
		return err
	}
}
