package engine

import (
	"encoding/json"
	"errors"
	"net/http"

	"persimmonwind.dev/server/stream"
)

var errCutByFault = errors.New("stream cut by an injected fault")

// StreamFaults describes faults to inject into the pieces that the engine sends.
// Each fault affects every n-th piece, counted over all streams; zero disables it.
type StreamFaults struct {
	CutEvery       int `json:"cut_every"`       // Cut the connection at every n-th piece.
	DuplicateEvery int `json:"duplicate_every"` // Send every n-th piece twice.
	SwapEvery      int `json:"swap_every"`      // Send every n-th piece after its successor.
	ForeignEvery   int `json:"foreign_every"`   // Send a piece of another answer in place of every n-th.
}

// SetStreamFaults replaces the stream faults. Streams that have already started
// keep the faults that they started with.
func (e *Engine) SetStreamFaults(faults StreamFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamFaults = faults
}

// RunningGenerations returns the number of generations that hold a slot.
func (e *Engine) RunningGenerations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runningCount
}

func (e *Engine) serveStreamFaults(w http.ResponseWriter, r *http.Request) {
	var faults StreamFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetStreamFaults(faults)
}

func isEveryNth(count, every int) bool { return every > 0 && count%every == 0 }

// withStreamFaults returns a function that applies the current faults to write.
func (e *Engine) withStreamFaults(write func(stream.Piece) error) func(stream.Piece) error {
	e.mu.Lock()
	faults := e.streamFaults
	e.mu.Unlock()
	if faults == (StreamFaults{}) {
		return write
	}
	writer := &faultyWriter{engine: e, faults: faults, write: write}
	return writer.writePiece
}

// faultyWriter applies faults to one stream.
type faultyWriter struct {
	engine       *Engine
	faults       StreamFaults
	write        func(stream.Piece) error
	delayedPiece *stream.Piece // Piece that is held back until after its successor.
}

func (s *faultyWriter) writePiece(piece stream.Piece) error {
	count := int(s.engine.sentPieceCount.Add(1))
	if isEveryNth(count, s.faults.CutEvery) {
		return errCutByFault
	}
	if isEveryNth(count, s.faults.ForeignEvery) {
		return s.write(stream.Piece{ID: "foreign", From: piece.From, Tokens: piece.Tokens, Text: "foreign "})
	}
	if isEveryNth(count, s.faults.SwapEvery) && s.delayedPiece == nil && !piece.End {
		s.delayedPiece = &piece
		return nil
	}
	if err := s.write(piece); err != nil {
		return err
	}
	if isEveryNth(count, s.faults.DuplicateEvery) {
		if err := s.write(piece); err != nil {
			return err
		}
	}
	return s.writeDelayed()
}

func (s *faultyWriter) writeDelayed() error {
	if s.delayedPiece == nil {
		return nil
	}
	delayedPiece := *s.delayedPiece
	s.delayedPiece = nil
	return s.write(delayedPiece)
}
