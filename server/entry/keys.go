package entry

import (
	"net/http"

	"github.com/google/uuid"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/attempt"
)

// idempotencyKeyHeader names the caller's request across repeats.
const idempotencyKeyHeader = "Idempotency-Key"

// ensureIdempotencyKey generates an idempotency key where the caller gave none, and tells it,
// so that the caller can ask again for the same work.
func ensureIdempotencyKey(w http.ResponseWriter, request *attempt.Request) {
	if request.Key == "" {
		request.Key, request.KeyGenerated = uuid.NewString(), true
	}
	w.Header().Set(idempotencyKeyHeader, request.Key)
}

// markUnsettled takes the promise "not run" from a refusal of a caller's key that
// came before the key was looked at: an earlier attempt may be under way.
func markUnsettled(next handlerFunc) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request) *result.Error {
		err := next(w, r)
		if err != nil && r.Header.Get(idempotencyKeyHeader) != "" && w.Header().Get(idempotencyKeyHeader) == "" {
			err.Unsettled = true
		}
		return err
	}
}
