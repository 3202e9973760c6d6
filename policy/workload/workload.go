// Package workload predicts the work that a request causes at a model engine from the
// numbers of tokens that its caller states and from the engine's cost model.
package workload

// Request is the size of a request as its caller states it.
type Request struct {
	PromptTokens int // Tokens of the prompt; 0 if not stated.
	OutputTokens int // Expected tokens of the answer; 0 if not stated.
}
