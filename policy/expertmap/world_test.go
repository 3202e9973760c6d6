package expertmap_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/reduce"
)

// beyondAllTimeouts is longer than every interval and timeout of a coordinator.
const beyondAllTimeouts = time.Hour

// message is an order in flight to a rank's agent, or its reply in flight to the
// coordinator.
type message struct {
	Node  int // Node of the coordinator.
	Rank  int // Rank that receives the order or sent the reply.
	Order expertmap.Order
	Reply *expertmap.ReplyReceived
}

// tableWrite is a write of the record in flight to the table service.
type tableWrite struct {
	Node       int
	Write      expertmap.WriteRecord
	ResultLost bool // The coordinator was told that the outcome is unknown, or has restarted.
}

// engine models the engine of a rank.
type engine struct {
	State expertmap.EngineState
	Fence uint64    // Highest fencing number of an order that it has received.
	Queue []message // Orders that the agent has forwarded and the engine has not processed.
}

// stepKey identifies a step of the group. Generation counts how often the group has
// started over because no engine had state left.
type stepKey struct{ Generation, Step uint64 }

// world simulates a group with its agents, coordinators, network and table
// service. Node i is the agent of rank i.
type world struct {
	enforceFencing   bool // Engines refuse orders with old fencing numbers.
	processOnForward bool // The engine processes an order as soon as the agent forwards it.
	storeDown        bool

	engines  []engine
	ranks    []expertmap.Rank
	coords   []expertmap.Coordinator
	inFlight []message
	writes   []tableWrite

	fence         uint64           // Fencing number of the group's lease.
	record        expertmap.Record // The group's record in the table service.
	recordVersion uint64
	boots         int    // Number of boot IDs used.
	generation    uint64 // As in stepKey.
	now           time.Time

	mapUsed   map[stepKey]expertmap.Change // Map used by the first rank that ran the step.
	violation string
}

func newWorld(size int, enforceFencing bool) *world {
	w := &world{enforceFencing: enforceFencing, mapUsed: map[stepKey]expertmap.Change{}, now: time.Unix(0, 0)}
	w.engines = make([]engine, size)
	w.ranks = make([]expertmap.Rank, size)
	w.coords = make([]expertmap.Coordinator, size)
	for rank := range size {
		w.engines[rank].State.Boot = w.newBootID()
		w.coords[rank].MarginSteps = 1
	}
	return w
}

// installFirstMap puts every rank on the same first map.
func (w *world) installFirstMap() {
	first := expertmap.Change{ID: expertmap.ID{Fence: 1, Version: 1}}
	w.fence, w.recordVersion = 1, 1
	w.record = expertmap.Record{Fence: 1, Change: first}
	for rank := range w.engines {
		w.engines[rank].State.InForce, w.engines[rank].State.LastHeld = first, first.ID
		w.ranks[rank] = expertmap.Rank{FenceKnown: true, Seen: expertmap.Number{Fence: 1}}
	}
}

func (w *world) newBootID() string {
	w.boots++
	return strconv.Itoa(w.boots)
}

func (w *world) clone() *world {
	c := *w
	c.engines = slices.Clone(w.engines)
	for i := range c.engines {
		c.engines[i].Queue = slices.Clone(c.engines[i].Queue)
	}
	c.ranks = slices.Clone(w.ranks)
	c.coords = slices.Clone(w.coords)
	c.inFlight = slices.Clone(w.inFlight)
	c.writes = slices.Clone(w.writes)
	c.mapUsed = make(map[stepKey]expertmap.Change, len(w.mapUsed))
	for key, change := range w.mapUsed {
		c.mapUsed[key] = change
	}
	return &c
}

// takeLease gives the lease to the node; the previous holder is not told.
func (w *world) takeLease(node int) {
	w.fence++
	w.coordinate(node, expertmap.LeaseAcquired{Fence: w.fence, Ranks: len(w.engines)})
}

// coordinate applies the event to the node's coordinator and executes the effects.
func (w *world) coordinate(node int, event reduce.Event) {
	next, effects := expertmap.StepCoordinator(w.coords[node], reduce.Input{Now: w.now, Event: event})
	w.coords[node] = next
	for _, effect := range effects {
		w.perform(node, effect)
	}
}

// perform executes an effect of the node's coordinator.
func (w *world) perform(node int, effect reduce.Effect) {
	switch effect := effect.(type) {
	case expertmap.Send:
		w.inFlight = append(w.inFlight, message{Node: node, Rank: effect.Rank, Order: effect.Order})
	case expertmap.ReadRecord:
		if w.storeDown {
			w.coordinate(node, expertmap.RecordReadFailed{})
			return
		}
		w.coordinate(node, expertmap.RecordRead{Record: w.record, Version: w.recordVersion})
	case expertmap.WriteRecord:
		w.writes = append(w.writes, tableWrite{Node: node, Write: effect})
	}
}

// deliver delivers one message; the message stays in flight if keep is set.
func (w *world) deliver(index int, keep bool) {
	m := w.inFlight[index]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	if m.Reply != nil {
		w.coordinate(m.Node, *m.Reply)
		return
	}
	next, effects := expertmap.StepRank(w.ranks[m.Rank], reduce.Input{Now: w.now, Event: expertmap.OrderReceived{Order: m.Order}})
	w.ranks[m.Rank] = next
	for _, effect := range effects {
		w.performRank(m, effect)
	}
}

// performRank executes an effect of the agent that has received the order m.
func (w *world) performRank(m message, effect reduce.Effect) {
	switch effect := effect.(type) {
	case expertmap.ReadFence:
		var event reduce.Event = expertmap.FenceRead{Fence: w.fence}
		if w.storeDown {
			event = expertmap.FenceReadFailed{}
		}
		w.ranks[m.Rank], _ = expertmap.StepRank(w.ranks[m.Rank], reduce.Input{Now: w.now, Event: event})
	case expertmap.RefuseOrder:
		w.reply(m, expertmap.ReplyReceived{Refused: true, Seen: effect.Seen})
	case expertmap.Forward:
		w.engines[m.Rank].Queue = append(w.engines[m.Rank].Queue, m)
		if w.processOnForward {
			w.processOrder(m.Rank, false)
		}
	}
}

// reply sends the reply to the order m.
func (w *world) reply(m message, reply expertmap.ReplyReceived) {
	reply.Rank, reply.Kind, reply.Number = m.Rank, m.Order.Kind, m.Order.Number
	w.inFlight = append(w.inFlight, message{Node: m.Node, Rank: m.Rank, Reply: &reply})
}

// processOrder processes the engine's next order, which stays queued if keep is
// set.
func (w *world) processOrder(rank int, keep bool) {
	e := &w.engines[rank]
	m := e.Queue[0]
	if !keep {
		e.Queue = e.Queue[1:]
	}
	if w.enforceFencing && m.Order.Number.EngineFence() < e.Fence {
		w.reply(m, expertmap.ReplyReceived{Refused: true})
		return
	}
	e.Fence = max(e.Fence, m.Order.Number.EngineFence())
	e.State = e.State.Apply(m.Order)
	w.reply(m, expertmap.ReplyReceived{State: e.State})
}

// applyWrite applies a write of the record and reports the result unless the
// coordinator was told that the outcome is unknown.
func (w *world) applyWrite(index int) {
	write := w.writes[index]
	w.writes = slices.Delete(w.writes, index, index+1)
	var answer reduce.Event = expertmap.RecordConflict{}
	if write.Write.IfVersion == w.recordVersion {
		w.recordVersion++
		w.record = write.Write.Record
		answer = expertmap.RecordWritten{Record: w.record, Version: w.recordVersion}
	}
	if !write.ResultLost {
		w.coordinate(write.Node, answer)
	}
}

// loseWriteResult tells the coordinator that a write's outcome is unknown; the
// write may still be applied.
func (w *world) loseWriteResult(index int) {
	w.writes[index].ResultLost = true
	w.coordinate(w.writes[index].Node, expertmap.RecordWriteUnknown{})
}

// tick advances the clock beyond the node's timers.
func (w *world) tick(node int) {
	w.now = w.now.Add(beyondAllTimeouts)
	w.coordinate(node, reduce.Tick{})
}

// restartAgent clears the state of the rank's agent and coordinator.
func (w *world) restartAgent(rank int) {
	w.ranks[rank] = expertmap.Rank{}
	w.coords[rank] = expertmap.Coordinator{MarginSteps: 1}
	for index := range w.writes {
		w.writes[index].ResultLost = w.writes[index].ResultLost || w.writes[index].Node == rank
	}
}

// loseEngineState restarts the rank's engine without its state. If no engine has
// state left, the group starts over from its record, possibly at steps that were
// run before.
func (w *world) loseEngineState(rank int) {
	w.engines[rank].State = expertmap.EngineState{Boot: w.newBootID()}
	w.engines[rank].Fence = 0
	for index := range w.engines {
		if !w.engines[index].State.HasNoMap() {
			return
		}
	}
	w.generation++
}

// canRun reports whether lock-step and the rank's own state allow its next step.
func (w *world) canRun(rank int) bool {
	state := w.engines[rank].State
	for _, other := range w.engines {
		if other.State.Next < state.Next {
			return false
		}
	}
	return state.CanRunNext()
}

// runStep runs the rank's next step and records a violation if another rank used
// a different map for it.
func (w *world) runStep(rank int) {
	state := w.engines[rank].State
	key := stepKey{Generation: w.generation, Step: state.Next}
	used := state.MapAt(state.Next)
	if seen, ok := w.mapUsed[key]; ok && seen != used {
		w.violation = fmt.Sprintf("step %d: rank %d uses map %v, another used %v", key.Step, rank, used.ID, seen.ID)
	}
	w.mapUsed[key] = used
	w.engines[rank].State = state.AfterNextStep()
}
