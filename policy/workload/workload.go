// Package workload predicts the work that a request causes at a model engine from the
// numbers of tokens that its caller states and from the engine's cost model, and keeps
// account of the prompts that engines have not read yet.
//
// Callers may state nothing or anything, so predictions decide on order and placement
// only. Observations replace them: a first event shows that the prompt has been read.
package workload

import (
	"math"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// defaultPromptTokens is the usual prompt of an engine whose configuration names none.
	// The mean prompts of the users' routes are 714 to 1,000 tokens.
	defaultPromptTokens = 800
	// defaultAnswerTokens is the usual answer of an engine whose configuration names none:
	// the users' routes have means of 95 and 138 tokens.
	defaultAnswerTokens = 100
	// maxTokens bounds the tokens of a request and of a pass at an engine whose
	// configuration doesn't say what it can hold. It is four times the memory of the users'
	// ranks.
	maxTokens = 1 << 20
	// maxReadTime bounds predictions, which an invented cost model could make arbitrarily
	// long. Callers wait seconds.
	maxReadTime = time.Minute
	// leastChargeShare is the share of the usual prompt that a request is charged at least,
	// so that callers who state too few tokens get at most twice as many prompts read as
	// others in the same time.
	leastChargeShare = 0.5
	// longShare is the share of what a rank can read in one pass from which a prompt is
	// long: two of them don't fit into one pass of a rank.
	longShare = 0.5
)

// Request is the size of a request as its caller states it.
type Request struct {
	PromptTokens int // Tokens of the prompt; 0 if not stated.
	OutputTokens int // Expected tokens of the answer; 0 if not stated.
}

// Model predicts the work of requests at one service's engines.
type Model struct {
	tokensPerSecond   float64 // Prompt tokens that one rank reads in a second; 0 if unknown.
	secondsPerMillion float64 // Seconds that each million pairs of prompt tokens adds.
	passTokens        int     // Prompt tokens that one rank reads at most in a pass; 0 if unknown.
	memoryTokens      int     // Tokens that a rank can hold.
	usual             Request
}

// NewModel returns the model of a service with these engines. Of a nil engine nothing is
// known.
func NewModel(engine *topology.Engine) Model {
	model := Model{memoryTokens: maxTokens, usual: Request{defaultPromptTokens, defaultAnswerTokens}}
	if engine == nil {
		return model
	}
	model.tokensPerSecond, model.secondsPerMillion = positive(engine.ReadTokensPerSecond), positive(engine.PairsMSPerMillion)/1000
	if engine.MemoryTokens > 0 {
		model.memoryTokens = min(engine.MemoryTokens, maxTokens)
	}
	model.passTokens = min(clamp(engine.Chunk, maxTokens)*clamp(engine.Stride, maxTokens), maxTokens)
	if engine.UsualPrompt > 0 {
		model.usual.PromptTokens = engine.UsualPrompt
	}
	if engine.UsualAnswer > 0 {
		model.usual.OutputTokens = engine.UsualAnswer
	}
	model.usual = model.Bounded(model.usual)
	return model
}

// Known reports whether the time to read a prompt can be predicted.
func (m Model) Known() bool { return m.tokensPerSecond > 0 }

// TokensPerSecond returns the prompt tokens that one rank reads in a second.
func (m Model) TokensPerSecond() float64 { return m.tokensPerSecond }

// PassTokens returns the prompt tokens that one rank reads at most in a pass.
func (m Model) PassTokens() int {
	if m.passTokens <= 0 {
		return maxTokens
	}
	return m.passTokens
}

// Bounded returns the request with usual values in place of those not stated, and no more
// tokens than a rank can hold.
func (m Model) Bounded(request Request) Request {
	if request.PromptTokens <= 0 {
		request.PromptTokens = m.usual.PromptTokens
	}
	if request.OutputTokens <= 0 {
		request.OutputTokens = m.usual.OutputTokens
	}
	request.PromptTokens = min(request.PromptTokens, m.memoryTokens)
	request.OutputTokens = min(request.OutputTokens, m.memoryTokens-request.PromptTokens)
	return request
}

// ReadTime returns how long a rank takes to read the prompt, 0 if unknown.
func (m Model) ReadTime(request Request) time.Duration {
	if !m.Known() {
		return 0
	}
	tokens := float64(m.Bounded(request).PromptTokens)
	seconds := tokens/m.tokensPerSecond + tokens*tokens/1e6*m.secondsPerMillion
	return time.Duration(min(seconds, maxReadTime.Seconds()) * float64(time.Second))
}

// UsualReadTime returns how long a rank takes to read a usual prompt, 0 if unknown.
func (m Model) UsualReadTime() time.Duration { return m.ReadTime(Request{}) }

// Passes returns the number of passes in which a rank without other prompts reads this one.
func (m Model) Passes(request Request) int {
	if m.passTokens <= 0 {
		return 1
	}
	tokens := m.Bounded(request).PromptTokens
	return max(1, (tokens+m.passTokens-1)/m.passTokens)
}

// IsLong reports whether the prompt takes more than longShare of what a rank can read in
// one pass.
func (m Model) IsLong(request Request) bool {
	return m.passTokens > 0 && float64(m.Bounded(request).PromptTokens) > longShare*float64(m.passTokens)
}

// Charge returns the tokens with which the request counts among those that one pass
// reads. It is no more than a rank reads in a pass: a caller who states a huge prompt
// can't keep those of others waiting for longer.
func (m Model) Charge(request Request) int {
	charge := max(m.Bounded(request).PromptTokens, int(leastChargeShare*float64(m.usual.PromptTokens)))
	if m.passTokens > 0 {
		charge = min(charge, m.passTokens)
	}
	return max(1, charge)
}

// positive returns the value, 0 if it is not a positive finite number.
func positive(value float64) float64 {
	if value > 0 && !math.IsInf(value, 0) {
		return value
	}
	return 0
}

func clamp(value, highest int) int { return min(max(0, value), highest) }
