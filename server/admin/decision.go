package admin

import (
	"encoding/json"
	"net/http"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/group"
)

// serveDecision responds with the planner's latest decision about the expert map
// of a group.
func (a *API) serveDecision(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	name := r.PathValue("group")
	row, err := a.node.Store.Get(r.Context(), group.DecisionKey(name))
	if err != nil {
		return result.Errorf(result.StoreUnavailable, "read the decision about group %q: %v", name, err)
	}
	var decision group.Decision
	if row.Version == 0 || json.Unmarshal(row.Value, &decision) != nil {
		return result.Errorf(result.UnknownGroup, "no decision about group %q is stored", name)
	}
	return writeJSON(w, decision)
}
