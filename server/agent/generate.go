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
	maxResumes    = 3 // Without a new token in between.
	resumePause   = 20 * time.Millisecond
)

// generate carries one generation from the engine to the entry.
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
	c := newCarrier(a.engine, request, w)
	c.next = (&observer{slot: slot}).next
	if err := c.carry(ctx, pieces); err != nil {
		a.cancel(request.ID)
		c.sendFailure(err)
		return false
	}
	return true
}

// cancel frees the engine of a generation that nobody waits for.
func (a *Agent) cancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.engine.Cancel(ctx, id)
}

// carrier copies one generation's pieces and resumes a broken stream.
type carrier struct {
	engine    ports.Engine
	next      func(context.Context, *stream.Reader) (stream.Piece, error)
	id        string
	writer    *stream.Writer
	assembler answer.Assembler[stream.Piece]
	sent      int   // Pieces sent.
	sendErr   error // Set once the entry can't be reached.
}

func newCarrier(engine ports.Engine, request ports.Generation, w http.ResponseWriter) *carrier {
	flusher, _ := w.(http.Flusher)
	return &carrier{
		engine: engine, id: request.ID, writer: stream.NewWriter(w, flusher.Flush),
		next:      func(_ context.Context, pieces *stream.Reader) (stream.Piece, error) { return pieces.Next() },
		assembler: answer.ResumeAt[stream.Piece](request.From),
	}
}

// carry copies pieces to the end; a stream that breaks is resumed behind the
// last token sent.
func (c *carrier) carry(ctx context.Context, pieces *stream.Reader) error {
	for resumes := 0; ; resumes++ {
		before := c.assembler.Delivered()
		err := c.copyPieces(ctx, pieces)
		_ = pieces.Close()
		c.writer.Flush()
		if c.assembler.Delivered() > before {
			resumes = 0
		}
		if err == nil || c.sendErr != nil || ctx.Err() != nil || resumes == maxResumes {
			return err
		}
		time.Sleep(resumePause)
		c.assembler.DropPending()
		resumed, resumeErr := c.engine.Resume(ctx, c.id, c.assembler.Delivered())
		if resumeErr != nil {
			return errors.Join(err, resumeErr)
		}
		pieces = resumed
	}
}

func (c *carrier) copyPieces(ctx context.Context, pieces *stream.Reader) error {
	for {
		piece, err := c.next(ctx, pieces)
		if errors.Is(err, io.EOF) {
			return c.assembler.CheckComplete()
		}
		if err != nil {
			return err
		}
		due, err := c.assembler.Accept(c.id, stream.PartOf(piece))
		if err != nil {
			return err
		}
		if err := c.send(due, piece.More); err != nil {
			return err
		}
		if c.assembler.Ended() {
			return nil
		}
	}
}

// send sends the pieces; more tells that another one is at hand.
func (c *carrier) send(pieces []stream.Piece, more bool) error {
	if len(pieces) == 0 && !more {
		c.writer.Flush()
	}
	for index, piece := range pieces {
		piece.Seq = c.sent
		piece.More = more || index < len(pieces)-1
		if err := c.writer.Write(piece); err != nil {
			c.sendErr = err
			return err
		}
		c.sent++
	}
	return nil
}

// sendFailure ends the answer as cut.
func (c *carrier) sendFailure(err error) {
	if c.sendErr != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.writer.Write(stream.Piece{
		ID: c.id, Seq: c.sent, From: c.assembler.Delivered(),
		End: true, Code: result.CutAnswer, Detail: err.Error(),
	})
}
