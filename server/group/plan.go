package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/planner"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/ports"
)

const (
	planInterval    = time.Second
	secondsPerStep  = 0.027   // Duration of one step of the engines.
	expertTimeShare = 0.6     // Share of a step's time that the experts take.
	moveSeconds     = 0.44e-3 // Delay of the steps caused by loading one expert.
	switchSeconds   = 1e-3    // Time that a change of the map takes.
	horizonSteps    = 66000   // Steps for which the demand forecast is assumed to hold.
	maxMoves        = 13500   // Most experts that the weight store can deliver until the next plan.
)

// runPlanner reads the engine's report periodically, and plans while this agent
// is the coordinator.
func (g *Group) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.planOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// planOnce reads the engine's report and, if this agent is the coordinator and no
// change is in progress, plans a new map.
func (g *Group) planOnce(ctx context.Context) {
	member := g.node.State().Member
	if member.Group == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := g.engine.Report(callCtx)
	if err != nil {
		return
	}
	g.node.Loop.Post(expertmap.EngineReported{State: report.State})
	if member.Coordinator.Phase != expertmap.Steady {
		return
	}
	if report.State.HasNoMap() {
		g.propose(evenPlacement(report.Shape), "the group has no map yet")
		return
	}
	current, _, err := g.readMap(ctx, report.State.InForce.ID)
	if err != nil {
		return
	}
	plan := planner.Decide(&g.plannerState, planner.Input{
		Shape: report.Shape, Costs: costs(report), Observed: report.Popularity, Slowness: report.Slowness, Current: current,
	})
	g.recordDecision(ctx, report.State.InForce.ID.String(), plan)
	if len(plan.Moves) > 0 {
		g.propose(plan.Placement, plan.Reason)
	}
}

// propose stores the planned map in memory and asks the control loop to change to it.
func (g *Group) propose(placement planner.Placement, reason string) {
	g.mu.Lock()
	g.plannedMap = placement
	g.mu.Unlock()
	g.log(logevent.MapPlanned, logrus.Fields{"reason": reason})
	g.node.Loop.Post(expertmap.Propose{})
}

// evenPlacement places the experts as if all were equally popular.
func evenPlacement(shape planner.Shape) planner.Placement {
	load := make([][]float64, shape.Layers)
	for layer := range load {
		load[layer] = make([]float64, shape.Experts)
		for expert := range load[layer] {
			load[layer][expert] = 1
		}
	}
	return planner.Recompute(shape, load, nil)
}

// costs returns the costs of steps and moves for the group's reported size and load.
func costs(report ports.RankReport) planner.Costs {
	var total float64
	for _, layer := range report.Popularity {
		for _, tokens := range layer {
			total += tokens
		}
	}
	return planner.Costs{
		SecondsPerLoad: secondsPerStep * expertTimeShare * float64(report.Shape.Ranks) / max(total, 1),
		MoveSeconds:    moveSeconds, SwitchSeconds: switchSeconds, HorizonSteps: horizonSteps, MaxMoves: maxMoves,
	}
}
