package attempt

import (
	"context"
	"errors"
	"io"
	"time"

	"persimmonwind.dev/policy/answer"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/stream"
	"persimmonwind.dev/server/wait"
	"persimmonwind.dev/server/wire"
)

const (
	maxContinuations  = 4
	continuationPause = 200 * time.Millisecond // Pause before the next continuation after a refusal.
)

// Generate runs a model's generation and passes its pieces to sink. An answer
// that is cut off is continued on another backend server after the tokens
// already delivered.
func (r *Runner) Generate(ctx context.Context, request Request, sink Sink) *result.Error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	g := &generation{runner: r, request: request, sink: sink}
	for continuation := 0; ; continuation++ {
		err := r.retry(ctx, g.request, func(target route.Target, work wire.Work) (bool, *result.Error) {
			return g.attempt(ctx, target, work)
		})
		if err == nil {
			return nil
		}
		if deadlineErr := deadlineError(ctx, err); deadlineErr != nil {
			return deadlineErr
		}
		if !g.canContinue(err) || continuation == maxContinuations {
			return g.finalError(err)
		}
		if err.NotRun() {
			wait.For(ctx, continuationPause)
		}
	}
}

// deadlineError returns the final error if the caller's deadline has passed and
// the work may have run, otherwise nil.
func deadlineError(ctx context.Context, err *result.Error) *result.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || err.NotRun() {
		return nil
	}
	return result.Errorf(result.DeadlineExceeded, "%s", err.Detail)
}

// generation is the state of one request for a generation across all its attempts.
type generation struct {
	runner    *Runner
	request   Request
	sink      Sink
	assembler answer.Assembler[stream.Piece]
	sinkErr   error // Error of the sink; set once the caller can't be reached.
}

// canContinue reports whether the answer may be continued on another backend
// server after err.
func (g *generation) canContinue(err *result.Error) bool {
	if g.sinkErr != nil || !g.request.Idempotent {
		return false
	}
	switch err.Code {
	case result.CutAnswer, result.BackendFailed, result.OutcomeUnknown:
		return true
	default:
		// An answer that has started is continued even after a refusal, if that is
		// retryable.
		return g.assembler.Delivered() > 0 && err.NotRun() && result.Describe(err.Code).Retryable
	}
}

// finalError returns the result of an answer that is not continued. Once tokens
// have been delivered, the work has run and the answer is reported as cut off.
func (g *generation) finalError(err *result.Error) *result.Error {
	if g.assembler.Delivered() == 0 {
		return err
	}
	return result.Errorf(result.CutAnswer, "after %d tokens: %v", g.assembler.Delivered(), err)
}

// attempt makes one attempt; started reports to the retry loop that the attempt
// delivered tokens of the answer, which can then only be continued.
func (g *generation) attempt(ctx context.Context, target route.Target, work wire.Work) (started bool, refusal *result.Error) {
	g.request.priorAttempts = max(g.request.priorAttempts, work.Attempt)
	before := g.assembler.Delivered()
	g.assembler.DropPending()
	ctx, watchdog := newWatchdog(ctx, firstPieceTimeout)
	defer watchdog.stop()
	defer g.runner.liveness.watch(target.Control, watchdog)()
	pieces, refusal := g.runner.agents.openGeneration(ctx, target, work, g.remaining())
	if refusal == nil {
		defer pieces.Close()
		refusal = g.forward(work.AnswerID(), pieces, watchdog)
	}
	if refusal != nil && !refusal.NotRun() {
		g.request.failedServers = append(g.request.failedServers, target.BackendServer)
	}
	return g.assembler.Delivered() > before, refusal
}

// remaining returns the generation that continues the answer after the tokens
// already delivered.
func (g *generation) remaining() ports.Generation {
	return ports.Generation{
		Model: g.request.Model, Adapter: g.request.Adapter, Prompt: g.request.Prompt,
		MaxTokens: g.request.MaxTokens, Priority: g.request.Priority, From: g.assembler.Delivered(),
	}
}

// forward passes the pieces to the sink until the end piece.
func (g *generation) forward(id string, pieces *stream.Reader, watchdog *watchdog) *result.Error {
	for {
		piece, err := pieces.Next()
		if errors.Is(err, io.EOF) {
			err = g.assembler.CheckComplete()
		}
		if err != nil {
			return result.Errorf(result.CutAnswer, "%v", err)
		}
		watchdog.reset(nextPieceTimeout)
		if piece.End && piece.Code != result.OK {
			return result.Errorf(piece.Code, "%s", piece.Detail)
		}
		if err := g.accept(id, piece); err != nil {
			return err
		}
		if g.assembler.Ended() {
			return nil
		}
	}
}

func (g *generation) accept(id string, piece stream.Piece) *result.Error {
	ready, err := g.assembler.Accept(id, stream.PartOf(piece))
	if err != nil {
		return result.Errorf(result.CutAnswer, "%v", err)
	}
	for index, next := range ready {
		next.More = piece.More || index < len(ready)-1
		if next.Usage != nil {
			next.Usage.CompletionTokens = g.assembler.Delivered()
		}
		if err := g.sink(next); err != nil {
			g.sinkErr = err
			return result.Errorf(result.Cancelled, "pass piece to caller: %v", err)
		}
	}
	return nil
}
