package admission

import (
	"time"

	"persimmonwind.dev/policy/result"
)

// Probed asks how soon the agent could serve a request with a given prompt. The
// answer is an Offer.
type Probed struct {
	Ticket uint64
	Tokens int      // Length of the prompt.
	Blocks int      // Number of full blocks of the prompt.
	Sample []uint64 // Hashes of the prompt's blocks, as prefix.Sample selects them.
}

func (Probed) EventName() string { return "admission.probed" }

// Offer is the answer to a Probed event.
type Offer struct {
	Ticket           uint64
	Refuses          result.Code // OK, or why no new work is taken.
	RetryAfter       time.Duration
	Headroom         int // Free slots minus queued requests; may be negative.
	Running          int
	Queued           int
	Cold             bool
	CachedBlocks     int
	TimeToFirstToken time.Duration // Expected time to first token.
}

func (Offer) EffectName() string { return "admission.offer" }

func (s *State) offer(event Probed) Offer {
	cached := s.index.Lookup(event.Sample, event.Blocks)
	expectedWait := s.expectedWait()
	offer := Offer{
		Ticket: event.Ticket, Refuses: result.OK,
		Headroom: s.currentLimit() - len(s.running) - s.limit.externalRequests - s.queue.len(), Running: len(s.running) + s.limit.externalRequests, Queued: s.queue.len(),
		Cold: s.limit.coldSuspected(), CachedBlocks: cached,
		TimeToFirstToken: expectedWait + s.speedEstimate.timeToFirstChunk(s.pendingCost()+cost(event.Tokens, cached), s.limit.coldSuspected()),
	}
	if s.limit.down || s.limit.unknown(s.settings) || expectedWait > maxWait {
		err := s.refusal()
		offer.Refuses, offer.RetryAfter = err.Code, err.RetryAfter
	}
	return offer
}
