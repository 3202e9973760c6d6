package wire

import "persimmonwind.dev/policy/expertmap"

// MapOrder sends an expert map order to a rank's agent.
type MapOrder struct {
	Stamp Stamp
	Order expertmap.Order
}

// MapReply answers a MapOrder with the state of the rank's engine.
type MapReply struct {
	Stamp   Stamp
	State   expertmap.EngineState
	Refused bool             // The agent did not forward the order to the engine.
	Seen    expertmap.Number // If refused: the highest order number that the agent has seen.
}
