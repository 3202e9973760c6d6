package wire

import "persimmonwind.dev/policy/once"

// ExecutionRequest asks an agent about an execution of non-idempotent work.
type ExecutionRequest struct {
	Stamp     Stamp
	Execution once.Execution
	WaitMS    int64 // Maximum time to wait for the execution to end.
}

// ExecutionReply returns the progress of an execution.
type ExecutionReply struct {
	Stamp    Stamp
	Progress once.Progress
	Answer   *once.Answer // Set once the backend server has answered.
}
