package model

import "persimmonwind.dev/policy/result"

// maxOracleQueue is the maximum queue length of a server that admits by the true
// limit.
const maxOracleQueue = 16

// UseOracle makes the server admit by the engine's true limit at each moment, which
// no real agent can know.
func (s *Server) UseOracle() { s.oracle = true }

func (s *Server) submitToOracle(p pending) {
	if len(s.oracleQueue) >= maxOracleQueue {
		p.callbacks.Refused(&result.Error{Code: result.Overloaded})
		return
	}
	s.oracleQueue = append(s.oracleQueue, p)
	s.startOracleQueue()
}

func (s *Server) startOracleQueue() {
	for s.oracle && len(s.oracleQueue) > 0 && s.oracleHasCapacity() {
		next := s.oracleQueue[0]
		s.oracleQueue = s.oracleQueue[1:]
		s.run(next)
	}
}

func (s *Server) oracleHasCapacity() bool {
	if s.engine.cold {
		return s.engine.coldRunning < s.engine.Cold
	}
	return len(s.engine.generations) < s.engine.Full
}
