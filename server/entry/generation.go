package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/attempt"
	"persimmonwind.dev/server/entry/openai"
	"persimmonwind.dev/server/stream"
)

const (
	defaultTokens = 256
	maxTokens     = 128 << 10
)

// shape builds the answers of one endpoint.
type shape struct {
	object      string
	eventObject string
	prompt      func(openai.Request) (string, error)
	whole       func(text string) openai.Choice
	event       func(text string) openai.Choice
}

var chatShape = shape{
	object:      "chat.completion",
	eventObject: "chat.completion.chunk",
	prompt:      openai.Request.ChatPrompt,
	whole: func(text string) openai.Choice {
		return openai.Choice{Message: &openai.ChatText{Role: "assistant", Content: text}}
	},
	event: func(text string) openai.Choice {
		return openai.Choice{Delta: &openai.ChatText{Content: text}}
	},
}

var completionShape = shape{
	object:      "text_completion",
	eventObject: "text_completion",
	prompt:      openai.Request.TextPrompt,
	whole:       func(text string) openai.Choice { return openai.Choice{Text: &text} },
	event:       func(text string) openai.Choice { return openai.Choice{Text: &text} },
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation) *result.Error {
	return e.serveGeneration(w, r, snapshot, org, chatShape)
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation) *result.Error {
	return e.serveGeneration(w, r, snapshot, org, completionShape)
}

func (e *Entry) serveGeneration(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation, form shape) *result.Error {
	body, refusal := readBody(w, r)
	if refusal != nil {
		return refusal
	}
	var asked openai.Request
	if err := json.Unmarshal(body, &asked); err != nil {
		return result.Errorf(result.BadRequest, "The body is not valid JSON: %v.", err)
	}
	request, refusal := generationRequest(r, snapshot, org, asked, form)
	if refusal != nil {
		return refusal
	}
	boundAnswer(w, request.Deadline)
	answer := openai.Response{ID: request.ID, Created: time.Now().Unix(), Model: request.Model}
	if asked.Stream {
		answer.Object = form.eventObject
		return e.streamAnswer(w, r, request, answer, form, asked.StreamOptions.IncludeUsage)
	}
	answer.Object = form.object
	return e.wholeAnswer(w, r, request, answer, form)
}

func generationRequest(r *http.Request, snapshot *config.Snapshot, org config.Organisation, asked openai.Request, form shape) (attempt.Request, *result.Error) {
	request, refusal := newRequest(r, org)
	if refusal != nil {
		return request, refusal
	}
	prompt, err := form.prompt(asked)
	if err != nil {
		return request, result.Errorf(result.BadRequest, "%v", err)
	}
	model, adapter, _ := strings.Cut(asked.Model, ":")
	if _, ok := snapshot.Models[model]; !ok {
		return request, result.Errorf(result.UnknownModel, "Model %q does not exist.", asked.Model)
	}
	request.Model, request.Adapter, request.Prompt = model, adapter, prompt
	request.MaxTokens = asked.TokenLimit(defaultTokens)
	if request.MaxTokens > maxTokens {
		return request, result.Errorf(result.BadRequest, "max_tokens is %d; the most is %d.", request.MaxTokens, maxTokens)
	}
	if asked.Choices() > 1 {
		return request, result.Errorf(result.BadRequest, "n is %d; only one choice an answer is supported.", asked.Choices())
	}
	request.Idempotent = true
	return request, nil
}

func (e *Entry) wholeAnswer(w http.ResponseWriter, r *http.Request, request attempt.Request, answer openai.Response, form shape) *result.Error {
	var text strings.Builder
	finish := ""
	refusal := e.runner.Generate(r.Context(), request, func(piece stream.Piece) error {
		text.WriteString(piece.Text)
		if piece.End {
			finish = piece.Finish
			answer.Usage = openai.UsageOf(piece.Usage)
		}
		return nil
	})
	if refusal != nil {
		return refusal
	}
	choice := form.whole(text.String())
	choice.FinishReason = &finish
	answer.Choices = []openai.Choice{choice}
	writeJSON(w, answer)
	return nil
}

// streamAnswer sends server-sent events. Once the answer has begun, a failure
// is sent as an error event and the stream ends without [DONE].
func (e *Entry) streamAnswer(w http.ResponseWriter, r *http.Request, request attempt.Request, answer openai.Response, form shape, usage bool) *result.Error {
	events := &eventWriter{w: w}
	refusal := e.runner.Generate(r.Context(), request, func(piece stream.Piece) error {
		return sendPiece(events, answer, form, piece, usage)
	})
	if refusal != nil && !events.begun {
		return refusal
	}
	if refusal != nil {
		_ = events.write(openai.ErrorOf(refusal))
		_ = events.flush()
		return refusal
	}
	events.done()
	return nil
}

func sendPiece(events *eventWriter, answer openai.Response, form shape, piece stream.Piece, usage bool) error {
	choice := form.event(piece.Text)
	if piece.End {
		choice.FinishReason = &piece.Finish
	}
	answer.Choices = []openai.Choice{choice}
	if err := events.write(answer); err != nil {
		return err
	}
	if piece.End && usage {
		answer.Choices = []openai.Choice{}
		answer.Usage = openai.UsageOf(piece.Usage)
		return events.write(answer)
	}
	if piece.End || piece.More {
		return nil
	}
	return events.flush()
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w     http.ResponseWriter
	begun bool
}

// write writes one event; it may wait in a buffer until flush or done.
func (e *eventWriter) write(value any) error {
	if !e.begun {
		e.begun = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-cache")
	}
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", body); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return nil
}

func (e *eventWriter) flush() error { return http.NewResponseController(e.w).Flush() }

// done ends the stream as whole.
func (e *eventWriter) done() {
	_, _ = fmt.Fprint(e.w, "data: [DONE]\n\n")
	_ = e.flush()
}
