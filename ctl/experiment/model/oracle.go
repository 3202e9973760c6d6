package model

import "persimmonwind.dev/policy/result"

// oracleQueue is the longest queue of an admission that knows the true limit.
const oracleQueue = 16

// UseOracle makes the server admit by the engine's true limit at each moment,
// which no agent can know.
func (v *Server) UseOracle() { v.fixed = true }

func (v *Server) askOracle(a asked) {
	if len(v.waiting) >= oracleQueue {
		a.outcome.Refused(&result.Error{Code: result.Overloaded})
		return
	}
	v.waiting = append(v.waiting, a)
	v.startOracle()
}

func (v *Server) startOracle() {
	for v.fixed && len(v.waiting) > 0 && v.oracleRoom() {
		first := v.waiting[0]
		v.waiting = v.waiting[1:]
		v.run(first)
	}
}

func (v *Server) oracleRoom() bool {
	if v.engine.cold {
		return v.engine.coldStarts < v.engine.ColdLimit
	}
	return len(v.engine.generations) < v.engine.FullLimit
}
