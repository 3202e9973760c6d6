package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"persimmonwind.dev/policy/answer"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/stream"
	"persimmonwind.dev/server/wire"
)

const (
	cancelTimeout = 2 * time.Second
	maxResumes    = 3 // Consecutive resumes of a stream without a new token in between.
	resumePause   = 20 * time.Millisecond
)

// generate runs one generation on the engine and relays its answer to the
// entry. It reports whether the answer was complete.
func (a *Agent) generate(ctx context.Context, w http.ResponseWriter, slot *slot, work wire.Work, body []byte) bool {
	var request ports.Generation
	if err := json.Unmarshal(body, &request); err != nil || a.engine == nil {
		refuse(w, result.Errorf(result.BadRequest, "work %q is not a generation for this backend server", work.RequestID))
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	request.ID = work.AnswerID()
	pieces, err := a.engine.Submit(ctx, request)
	if err != nil {
		slot.fail(ctx, err)
		refuse(w, backendError(err))
		return false
	}
	r := newRelay(a.engine, request, w)
	r.next = (&observer{slot: slot}).next
	if err := r.run(ctx, pieces); err != nil {
		a.cancel(request.ID)
		r.sendFailure(err)
		return false
	}
	return true
}

// cancel cancels a generation that nobody waits for, so that the engine is free
// for other work.
func (a *Agent) cancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.engine.Cancel(ctx, id)
}

// relay copies one generation's pieces to the entry and resumes a broken
// stream.
type relay struct {
	engine     ports.Engine
	next       func(context.Context, *stream.Reader) (stream.Piece, error)
	id         string
	writer     *stream.Writer
	assembler  answer.Assembler[stream.Piece]
	sentPieces int   // Number of pieces sent to the entry.
	sendErr    error // Error of a failed write to the entry; nil while the entry can be reached.
}

func newRelay(engine ports.Engine, request ports.Generation, w http.ResponseWriter) *relay {
	flusher, _ := w.(http.Flusher)
	return &relay{
		engine: engine, id: request.ID, writer: stream.NewWriter(w, flusher.Flush),
		next:      func(_ context.Context, pieces *stream.Reader) (stream.Piece, error) { return pieces.Next() },
		assembler: answer.ResumeAt[stream.Piece](request.From),
	}
}

// run copies pieces until the answer ends; a stream that breaks is resumed
// after the last token sent.
func (r *relay) run(ctx context.Context, pieces *stream.Reader) error {
	for resumes := 0; ; resumes++ {
		before := r.assembler.Delivered()
		err := r.copyPieces(ctx, pieces)
		_ = pieces.Close()
		r.writer.Flush()
		if r.assembler.Delivered() > before {
			resumes = 0
		}
		if err == nil || r.sendErr != nil || ctx.Err() != nil || resumes == maxResumes {
			return err
		}
		time.Sleep(resumePause)
		r.assembler.DropPending()
		resumed, resumeErr := r.engine.Resume(ctx, r.id, r.assembler.Delivered())
		if resumeErr != nil {
			return errors.Join(err, resumeErr)
		}
		pieces = resumed
	}
}

func (r *relay) copyPieces(ctx context.Context, pieces *stream.Reader) error {
	for {
		piece, err := r.next(ctx, pieces)
		if errors.Is(err, io.EOF) {
			return r.assembler.CheckComplete()
		}
		if err != nil {
			return err
		}
		due, err := r.assembler.Accept(r.id, stream.PartOf(piece))
		if err != nil {
			return err
		}
		if err := r.send(due, piece.More); err != nil {
			return err
		}
		if r.assembler.Ended() {
			return nil
		}
	}
}

// send sends the pieces; more reports that another one is already available.
func (r *relay) send(pieces []stream.Piece, more bool) error {
	if len(pieces) == 0 && !more {
		r.writer.Flush()
	}
	for index, piece := range pieces {
		piece.Seq = r.sentPieces
		piece.More = more || index < len(pieces)-1
		if err := r.writer.Write(piece); err != nil {
			r.sendErr = err
			return err
		}
		r.sentPieces++
	}
	return nil
}

// sendFailure ends the answer with an error piece, which tells the entry that the
// answer is truncated. If the entry can't be reached, it aborts the response
// instead.
func (r *relay) sendFailure(err error) {
	if r.sendErr != nil {
		panic(http.ErrAbortHandler)
	}
	_ = r.writer.Write(stream.Piece{
		ID: r.id, Seq: r.sentPieces, From: r.assembler.Delivered(),
		End: true, Code: result.CutAnswer, Detail: err.Error(),
	})
}
