package group

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/planner"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/ports"
)

// decisionInterval is the minimum time between the latest recorded decision and the
// next recorded one without moves.
const decisionInterval = time.Minute

// Decision is the planner's last decision about a group's map, stored
// for operators to read.
type Decision struct {
	At         time.Time `json:"at"`
	Group      string    `json:"group"`
	Map        string    `json:"map"` // ID of the map in force at the time of the decision.
	Reason     string    `json:"reason"`
	Moves      int       `json:"moves"`
	SkewBefore float64   `json:"skew_before"` // Forecast skew of the load with the map in force.
	SkewAfter  float64   `json:"skew_after"`  // Forecast skew of the load after the moves.
}

// DecisionKey returns the key of the row in the table service that holds a
// group's last Decision.
func DecisionKey(group string) string { return "groups/" + group + "/decision" }

// recordDecision stores the decision in the table service: at once if it moves
// experts, otherwise at most once per decisionInterval.
func (g *Group) recordDecision(ctx context.Context, inForce string, plan planner.Plan) {
	now := time.Now()
	if len(plan.Moves) == 0 && now.Sub(g.decisionRecordedAt) < decisionInterval {
		return
	}
	g.decisionRecordedAt = now
	decision := Decision{
		At: now, Group: g.name(), Map: inForce, Reason: plan.Reason,
		Moves: len(plan.Moves), SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewAfter,
	}
	body, err := json.Marshal(decision)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = g.node.Store.Commit(ctx, ports.Tx{Writes: []ports.Write{{Key: DecisionKey(decision.Group), Value: body}}})
	}
	if err != nil {
		g.log(logevent.MapOrderFailed, logrus.Fields{"decision": decision.Reason, "error": err.Error()})
	}
}
